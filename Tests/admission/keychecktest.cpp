#include "admission/keycheck.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iomanip>
#include <sstream>

using namespace Lycheewall;

namespace
{

std::string hex(const KeyHash &hash)
{
    std::ostringstream text;
    for (const unsigned char byte : hash) {
        text << std::hex << std::setw(2) << std::setfill('0') << static_cast<unsigned>(byte);
    }
    return text.str();
}

std::string poolText(const std::string &id, int port)
{
    return "  " + id + ":\n    owner: t\n    class: interactive\n    slots: 1\n    connections: 3\n"
        + "    open: " + (id == "public" ? "true" : "false") + "\n    endpoints:\n      - { id: e" + id
        + ", address: \"127.0.0.1:" + std::to_string(port) + "\", zone: z }\n";
}

std::string organisationText(const std::string &id, const std::vector<std::string> &keys)
{
    std::string text = "  " + id + ": { owner: o, class: editing, rate: 1, burst: 1, pools: [closed], keys: [";
    for (const std::string &key : keys) {
        text += "\"sha256:" + hex(KeyCheck::hash(key)) + "\", ";
    }
    return text + "] }\n";
}

Catalogue catalogue(const std::string &organisations)
{
    return Catalogue::parse("deployment: d\nzones: [z]\npools:\n" + poolText("closed", 1) + poolText("other", 2)
                                + poolText("public", 3) + "organisations:\n" + organisations,
                            "test")
        .value();
}

const Catalogue present = catalogue(organisationText("a", { "key-a1", "key-a2" }) + organisationText("b", { "key-b" }));

Refusal refusal(const std::string &pool, const std::optional<std::string> &key)
{
    const auto result = KeyCheck::check(present, PoolId(pool), key);
    return result ? Refusal::None : result.error();
}

}

BOOST_AUTO_TEST_SUITE(KeyCheckTest)

// The first example of FIPS 180-2, "abc".
BOOST_AUTO_TEST_CASE(hashIsSha256)
{
    BOOST_TEST(hex(KeyCheck::hash("abc")) == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a key that is found only as the first or last of its organisation, or for the wrong organisation.
BOOST_AUTO_TEST_CASE(eachKeyNamesItsOrganisation)
{
    for (const auto &[key, organisation] :
         std::vector<std::pair<std::string, std::string>> { { "key-a1", "a" }, { "key-a2", "a" }, { "key-b", "b" } }) {
        const auto result = KeyCheck::check(present, PoolId("closed"), key);
        BOOST_REQUIRE(result);
        BOOST_TEST(result.value().value() == organisation);
    }
}

BOOST_AUTO_TEST_CASE(refusalsSayWhatIsWrong)
{
    BOOST_TEST((refusal("closed", std::nullopt) == Refusal::KeyMissing));
    BOOST_TEST((refusal("closed", "") == Refusal::KeyMissing));
    BOOST_TEST((refusal("closed", "key-c") == Refusal::KeyUnknown));
    BOOST_TEST((refusal("closed", hex(KeyCheck::hash("key-a1"))) == Refusal::KeyUnknown));
    BOOST_TEST((refusal("other", "key-a1") == Refusal::PoolForbidden));
    BOOST_TEST((refusal("other", "key-c") == Refusal::KeyUnknown));
    BOOST_TEST((refusal("none", "key-a1") == Refusal::UnknownPool));
}

// Guards against an open pool that refuses, or that charges an organisation because a key happened to be sent.
BOOST_AUTO_TEST_CASE(openPoolNeedsNoKey)
{
    for (const std::optional<std::string> &key :
         { std::optional<std::string>(), std::optional<std::string>("key-a1") }) {
        const auto result = KeyCheck::check(present, PoolId("public"), key);
        BOOST_REQUIRE(result);
        BOOST_TEST(result.value().value().empty());
    }
}

BOOST_AUTO_TEST_CASE(withdrawnKeyIsUnknownWithTheNextCatalogue)
{
    const Catalogue next = catalogue(organisationText("a", { "key-a2" }) + organisationText("b", {}));
    BOOST_TEST((KeyCheck::check(next, PoolId("closed"), "key-a1").error() == Refusal::KeyUnknown));
    BOOST_TEST((KeyCheck::check(next, PoolId("closed"), "key-b").error() == Refusal::KeyUnknown));
    BOOST_TEST(KeyCheck::check(next, PoolId("closed"), "key-a2").has_value());
}

// Guards against demo keys that no longer match the hashes of the example catalogues.
BOOST_AUTO_TEST_CASE(demoKeysOpenTheExamples)
{
    for (const std::string name : { "songlam", "craglanka" }) {
        const std::string folder = std::string(LYCHEEWALL_EXAMPLES) + '/' + name;
        std::ifstream file(folder + "/catalogue.yaml");
        std::ostringstream text;
        text << file.rdbuf();
        const auto result = Catalogue::parse(text.str(), name);
        BOOST_REQUIRE(result);
        std::ifstream keys(folder + "/demo-keys.yaml");
        std::size_t checked = 0;
        for (std::string line; std::getline(keys, line);) {
            const std::size_t colon = line.find(": ");
            if (line.front() == '#' || colon == std::string::npos) {
                continue;
            }
            const OrganisationId id(line.substr(0, colon));
            const Organisation *organisation = result.value().findOrganisation(id);
            BOOST_REQUIRE(organisation != nullptr);
            const auto owner = KeyCheck::check(result.value(), *organisation->pools.begin(), line.substr(colon + 2));
            BOOST_REQUIRE(owner);
            BOOST_TEST(owner.value() == id);
            ++checked;
        }
        BOOST_TEST(checked == result.value().organisations().size());
    }
}

BOOST_AUTO_TEST_SUITE_END()
