#include "catalogue/catalogueerror.h"
#include "configuration/settingstable.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace Lycheewall;

namespace
{

const std::string minimal = "instance: i1\n"
                            "zone: z1\n"
                            "region: r1\n"
                            "caller-address: \"127.0.0.1:1\"\n"
                            "peer-address: \"127.0.0.1:2\"\n"
                            "platform-addresses: [\"127.0.0.1:3\"]\n";

std::vector<CatalogueProblem> problemsOf(const std::string &text)
{
    auto result = Settings::parse(text, "daemon.yaml");
    return result ? std::vector<CatalogueProblem>() : result.error();
}

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = minimal;
    return text.replace(text.find(from), from.size(), to);
}

}

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(absentKeysHaveTheDefaultsOfTheDesign)
{
    BOOST_REQUIRE(problemsOf(minimal).empty());
    const Settings settings = Settings::parse(minimal, "daemon.yaml").value();
    BOOST_TEST(settings.instance.value() == "i1");
    BOOST_TEST(settings.platformAddresses.size() == 1U);
    BOOST_TEST(settings.operatorAddress == "127.0.0.1:20900");
    BOOST_TEST(settings.keep.count() == 10000);
    BOOST_TEST(settings.lease.count() == 1500);
    BOOST_TEST(settings.leaseRenew.count() == 300);
    BOOST_TEST(settings.gossip.count() == 500);
    BOOST_TEST(settings.freshness.count() == 3000);
    BOOST_TEST(settings.defaultDeadline.count() == 2000);
    BOOST_TEST(settings.maxDeadline.count() == 5000);
    BOOST_TEST(settings.maxBodyBytes == 1024U * 1024U);
    BOOST_TEST(settings.maxHeaderBytes == 8U * 1024U);
    BOOST_TEST(settings.maxConnections == 1024U);
    BOOST_TEST(settings.idle.count() == 30000);
    BOOST_TEST((settings.logLevel == LogLevel::Info));
    BOOST_TEST(Settings().keep.count() == 10000);
}

// Guards against a table row whose member, range or default belongs to another key.
BOOST_AUTO_TEST_CASE(eachIntegerIsReadWithinItsRangeOnly)
{
    for (const SettingRow &row : settingsTable()) {
        if (row.type != SettingType::Integer) {
            continue;
        }
        const std::string key(row.key);
        BOOST_TEST(std::stoll(std::string(row.absent)) >= row.min);
        BOOST_TEST(std::stoll(std::string(row.absent)) <= row.max);
        const auto low = problemsOf(minimal + key + ": " + std::to_string(row.min - 1) + "\n");
        const auto high = problemsOf(minimal + key + ": " + std::to_string(row.max + 1) + "\n");
        BOOST_REQUIRE(low.size() == 1U);
        BOOST_REQUIRE(high.size() == 1U);
        BOOST_TEST(low.front().message().find(key + " must be at least") != std::string::npos);
        BOOST_TEST(high.front().message().find(key + " must be at most") != std::string::npos);
        BOOST_TEST((high.front().code == CatalogueError::OutOfRange));
    }
    const std::string text = minimal + "idle-ms: 777\nworker-threads: 9\nmax-body-bytes: 2048\nlog-level: warn\n";
    const Settings settings = Settings::parse(text, "daemon.yaml").value();
    BOOST_TEST(settings.idle.count() == 777);
    BOOST_TEST(settings.workerThreads == 9);
    BOOST_TEST(settings.maxBodyBytes == 2048U);
    BOOST_TEST((settings.logLevel == LogLevel::Warning));
}

BOOST_AUTO_TEST_CASE(faultsNameLineAndExpectation)
{
    const std::vector<std::pair<std::string, std::string>> faults {
        { minimal + "idle: 5\n",
          "daemon.yaml:7: settings: unknown key \"idle\"; the nearest known key is \"idle-ms\"" },
        { minimal + "log-level: loud\n",
          "daemon.yaml:7: settings: log-level must be one of debug, info, warn, error, got \"loud\"" },
        { minimal + "operator-address: \"127.0.0.1:0\"\n",
          "daemon.yaml:7: settings: operator-address must be \"ip:port\" with a port from 1 to 65535, got "
          "\"127.0.0.1:0\"" },
        { minimal + "operator-address: \"127.0.0.1:2\"\n",
          "daemon.yaml:7: settings: operator-address must differ from caller-address and peer-address, got "
          "\"127.0.0.1:2\"" },
        { minimal + "lease-renew-ms: 800\n",
          "daemon.yaml:7: settings: lease-renew-ms must be at most half of lease-ms, which is 750, got 800" },
        { minimal + "freshness-ms: 900\n",
          "daemon.yaml:1: settings: gossip-ms must be at most half of freshness-ms, which is 450, got 500" },
        { minimal + "max-deadline-ms: 1000\n",
          "daemon.yaml:1: settings: default-deadline-ms must be at most max-deadline-ms, which is 1000, got 2000" },
        { replaced("zone: z1\n", ""), "daemon.yaml:1: settings: key \"zone\" is missing or has no value" },
        { replaced("instance: i1", "instance: a b"),
          "daemon.yaml:1: settings: instance must be " + std::string("a name of 1 to 64 letters, digits, '.', '_' or ")
              + "'-' that begins with a letter or digit, got \"a b\"" },
        { replaced("127.0.0.1:2", "127.0.0.1:1"),
          "daemon.yaml:5: settings: peer-address must differ from caller-address" },
        { replaced("[\"127.0.0.1:3\"]", "[]"),
          "daemon.yaml:6: settings: platform-addresses must have 1 to 16 entries, got 0" },
        { replaced("127.0.0.1:3", "platform"),
          "daemon.yaml:6: settings: entries of platform-addresses must be \"ip:port\" with a port from 1 to 65535, got "
          "\"platform\"" },
    };
    for (const auto &[text, message] : faults) {
        const auto problems = problemsOf(text);
        BOOST_REQUIRE_MESSAGE(problems.size() == 1U, message);
        BOOST_TEST(problems.front().message() == message);
    }
    BOOST_TEST(!problemsOf("").empty());
    BOOST_TEST(!problemsOf("- a").empty());
}

BOOST_AUTO_TEST_CASE(loadReadsExamplesAndRefusesWhatIsNoFile)
{
    for (const std::string name : { "songlam", "craglanka" }) {
        auto result = Settings::load(std::string(LYCHEEWALL_EXAMPLES) + '/' + name + "/daemon.yaml");
        BOOST_REQUIRE(result);
        BOOST_TEST(result.value().instance.value() == name + "-1");
    }
    for (const std::string path : { "", "/nonexistent/daemon.yaml", LYCHEEWALL_EXAMPLES }) {
        auto result = Settings::load(path);
        BOOST_REQUIRE(!result);
        BOOST_TEST((result.error().front().code == CatalogueError::Unreadable));
    }
    auto endless = Settings::load("/dev/zero");
    BOOST_REQUIRE(!endless);
    BOOST_TEST((endless.error().front().code == CatalogueError::TooLarge));
}

// Guards against a help page that no longer matches the table; `build/Tests/test_configuration` prints the new text.
BOOST_AUTO_TEST_CASE(helpPageIsThatOfTheTable)
{
    std::ifstream file(std::string(LYCHEEWALL_EXAMPLES) + "/../Help/settings.md");
    std::ostringstream page;
    page << file.rdbuf();
    BOOST_TEST(page.str() == Settings::help());
}

BOOST_AUTO_TEST_SUITE_END()
