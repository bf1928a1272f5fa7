#include "http/callerjson.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(CallerJsonTest)

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
