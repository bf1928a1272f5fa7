#include "forwarding/endpointstatementhandler.h"

#include "core/log.h"
#include "core/manualclock.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

std::vector<std::string> logLines;

void collectLine(LogLevel /*level*/, const std::string & /*component*/, const std::string &message)
{
    logLines.push_back(message);
}

struct Fixture
{
    Fixture()
    {
        logLines.clear();
        Log::setSink(&collectLine);
        this->endpoint.record.id = EndpointId("e");
        this->endpoint.record.service = ServiceId("s");
    }
    ~Fixture()
    {
        Log::setSink(nullptr);
    }

    void apply(const EndpointStatement &statement)
    {
        this->handler.apply(this->endpoint, statement, this->clock.now(), true);
        this->clock.advance(std::chrono::seconds(2));
        forgetRepeats();
    }

    /// Makes the logger forget which messages it has written, as some time does: it remembers a limited number.
    static void forgetRepeats()
    {
        for (int other = 0; other < 1000; ++other) {
            Log::component("endpoint").info("another message " + std::to_string(other));
        }
    }

    static std::size_t linesWith(const std::string &text)
    {
        return static_cast<std::size_t>(std::count_if(logLines.begin(), logLines.end(), [&text](const auto &line) {
            return line.find(text) != std::string::npos;
        }));
    }

    ManualClock clock;
    Counters counters;
    Random random { 1 };
    EndpointStatementHandler handler { clock, counters, random };
    ServiceEndpoint endpoint;
};

}

BOOST_FIXTURE_TEST_SUITE(EndpointStatementHandlerTest, Fixture)

// Guards against a log line for each response of an endpoint that keeps sending a value that cannot be read.
BOOST_AUTO_TEST_CASE(invalidValueIsLoggedOncePerEndpointAndField)
{
    EndpointStatement statement;
    statement.malformedFields = { "Limit" };
    for (int response = 0; response < 10; ++response) {
        this->apply(statement);
    }
    statement.malformedFields = { "Limit", "Leaving" };
    this->apply(statement);
    BOOST_TEST(linesWith("invalid value of Limit") == 1U);
    BOOST_TEST(linesWith("invalid value of Leaving") == 1U);
    BOOST_TEST(this->counters.counter("lycheewall_endpoint_bad_statements_total").value() == 12U);
}

// Guards against a limit, a backoff or a shutdown of an endpoint that cannot be found in the log, or that fills it.
BOOST_AUTO_TEST_CASE(logsBeginAndEndOfEachForm)
{
    EndpointStatement limited;
    limited.rateLimit.requestsPerSecond = 12;
    this->apply(limited);
    this->apply(limited);
    this->apply({});
    EndpointStatement leaving;
    leaving.isLeaving = true;
    this->apply(leaving);
    this->apply(leaving);
    BOOST_TEST(linesWith("takes at most 12") == 1U);
    BOOST_TEST(linesWith("no rate limit any more") == 1U);
    BOOST_TEST(linesWith("shuts down") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}
