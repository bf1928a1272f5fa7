#include "entrydecoder.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall::Platform
{

BOOST_AUTO_TEST_SUITE(OddEntriesTest)

namespace
{

FeedChange decodeServer(const std::string &value, const std::string &id = "i-1")
{
    FeedEvent event;
    event.key = "servers/" + id;
    event.value = value;
    return StoreEntryDecoder().decode(event);
}

std::string serverWith(const std::string &field, const std::string &value)
{
    std::string text = "{";
    for (const auto &[name, standard] : { std::pair<std::string, std::string> { "Service", "\"s\"" },
                                          { "Address", "\"10.0.0.1:80\"" },
                                          { "Zone", "\"z\"" },
                                          { "Slots", "2" },
                                          { "State", "\"ready\"" },
                                          { "WarmupLeftMs", "0" },
                                          { "born", "1700000000123" } }) {
        text += (text.size() > 1 ? "," : "") + ("\"" + name + "\":") + (name == field ? value : standard);
    }
    return text + "}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

}

// Guards against a decoder that exhausts its stack on a deeply nested entry, which ends the process.
BOOST_AUTO_TEST_CASE(ignoresDeeplyNestedEntries)
{
    constexpr std::size_t depth = 400'000;
    BOOST_TEST(std::holds_alternative<IgnoredChange>(decodeServer(nested(depth))));
    BOOST_TEST(std::holds_alternative<IgnoredChange>(decodeServer(std::string(depth, '['))));
    BOOST_TEST(std::holds_alternative<IgnoredChange>(decodeServer(serverWith("Slots", nested(depth)))));
    // An unknown field may hold anything.
    BOOST_TEST(std::holds_alternative<EndpointUpdate>(
        decodeServer("{\"New\":" + nested(1000) + "," + serverWith("", "").substr(1))));
}

// Guards against numbers that overflow a duration or an integer: the value is undefined, and differs by processor.
BOOST_AUTO_TEST_CASE(ignoresNumbersOutOfRange)
{
    for (const char *number : { "1e300", "-1e300", "1e999", "99999999999999999999", "9223372036854775807", "-1" }) {
        for (const char *field : { "Slots", "WarmupLeftMs" }) {
            BOOST_TEST(std::holds_alternative<IgnoredChange>(decodeServer(serverWith(field, number))),
                       field << ' ' << number);
        }
    }
    for (const char *number : { "1e300", "1e999", "99999999999999999999", "1.5", "\"1\"" }) {
        BOOST_TEST(std::holds_alternative<IgnoredChange>(decodeServer(serverWith("born", number))), number);
    }
    BOOST_TEST(std::holds_alternative<IgnoredChange>(decodeServer(serverWith("Slots", "1.5"))));
}

// Guards against an endpoint that is chosen although no connection to it can ever be opened.
BOOST_AUTO_TEST_CASE(ignoresAddressesThatCannotBeReached)
{
    for (const char *address : { "10.0.0.1:99999",
                                 "10.0.0.1:-1",
                                 "10.0.0.1:0",
                                 "10.0.0.1:",
                                 "10.0.0.1",
                                 "host:80",
                                 ":80",
                                 "10.0.0.1:80x",
                                 "" }) {
        BOOST_TEST(std::holds_alternative<IgnoredChange>(
                       decodeServer(serverWith("Address", '"' + std::string(address) + '"'))),
                   address);
    }
    BOOST_TEST(std::holds_alternative<EndpointUpdate>(decodeServer(serverWith("Address", "\"[::1]:80\""))));
}

// Guards against an entry whose id ends the header field that names the endpoint, so that the rest of the id becomes a
// field or a request of its own; and against names that cannot be told apart in a log.
BOOST_AUTO_TEST_CASE(ignoresNamesThatAreNoTokens)
{
    const std::string valid = serverWith("", "");
    BOOST_TEST(std::holds_alternative<EndpointUpdate>(decodeServer(valid, "i-7f3a91c2")));
    for (const char *id : { "", "i\r\nX-Lycheewall-Tenant: other", "i 1", "i\t1", "\x7f", "i\xc3\xa9" }) {
        BOOST_TEST(std::holds_alternative<IgnoredChange>(decodeServer(valid, id)), id);
    }
    for (const char *field : { "Service", "Zone" }) {
        for (const char *name : { "\"\"", "\"a\\nb\"", "\"a b\"", "\"a\\u0000\"" }) {
            BOOST_TEST(std::holds_alternative<IgnoredChange>(decodeServer(serverWith(field, name))), name);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
