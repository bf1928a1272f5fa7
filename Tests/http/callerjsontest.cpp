#include "http/callerjson.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(CallerJsonTest)

// Guards against a refusal for any reason whose status promises "not run" for a request that may have run.
BOOST_AUTO_TEST_CASE(noRefusalPromisesNotRunForARequestThatMayHaveRun)
{
    for (std::size_t number = 1; number < refusalCount; ++number) {
        const auto reason = static_cast<Refusal>(number);
        for (const Execution execution : { Execution::Unknown, Execution::Ran }) {
            const int status = CallerJson::statusOf(reason, execution);
            const bool isPromise = status == 408 || status == 421 || status == 429 || status == 503;
            BOOST_TEST(!isPromise, refusalCode(reason) << ": " << status);
        }
    }
}

// Guards against a refusal that does not tell its caller that the request has not run.
BOOST_AUTO_TEST_CASE(refusalOfARequestThatHasNotRunSaysSo)
{
    CallerAnswer answer;
    answer.refusal = Refusal::QueueFull;
    const HttpResponse response = CallerJson::refusal(answer, false);
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.body.find(R"("run":"not-run")") != std::string::npos);
    answer.execution = Execution::Unknown;
    BOOST_TEST(CallerJson::refusal(answer, false).body.find(R"("run":"unknown")") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}
