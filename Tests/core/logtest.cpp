#include "core/log.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Lycheewall;

namespace
{

std::vector<std::string> lines;

void collect(LogLevel /*level*/, const std::string &component, const std::string &message)
{
    lines.push_back(component + ": " + message);
}

}

BOOST_AUTO_TEST_SUITE(LogTest)

// Guards against a fault that floods the log with thousands of equal messages a second, against a lost count of the
// suppressed messages, and against distinct messages that are suppressed when the limiter is full.
BOOST_AUTO_TEST_CASE(repeatedMessagesAreWrittenOncePerSecondWithSuppressedCount)
{
    LogLimiter limiter;
    TimePoint now { std::chrono::seconds(100) };
    BOOST_TEST(limiter.admit("a", now).value() == 0U);
    BOOST_TEST(!limiter.admit("a", now + Milliseconds(1)).has_value());
    BOOST_TEST(!limiter.admit("a", now + Milliseconds(999)).has_value());
    BOOST_TEST(limiter.admit("b", now).value() == 0U);
    BOOST_TEST(limiter.admit("a", now + Milliseconds(1000)).value() == 2U);
    for (int other = 0; other < 1000; ++other) {
        BOOST_TEST(limiter.admit(std::to_string(other), now).value() == 0U);
    }
}

// Guards against log injection by line breaks, and against a change of the level that has no effect at run time.
BOOST_AUTO_TEST_CASE(messagesAreSingleLineAndFilteredByLevel)
{
    Log::setSink(&collect);
    Log::setLevel(LogLevel::Warning);
    Log::component("lease").info("left out");
    Log::component("lease").warn("first\nsecond");
    Log::setLevel(LogLevel::Debug);
    Log::component("peer").debug("shown");
    Log::setSink(nullptr);
    BOOST_TEST(lines == (std::vector<std::string> { "lease: first second", "peer: shown" }),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
