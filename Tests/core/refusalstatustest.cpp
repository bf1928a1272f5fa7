#include "core/refusalstatus.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(RefusalStatusTest)

// Guards against a refusal for any reason whose status promises "not run" for a request that may have run.
BOOST_AUTO_TEST_CASE(noRefusalPromisesNotRunForARequestThatMayHaveRun)
{
    for (std::size_t number = 1; number < refusalCount; ++number) {
        const auto reason = static_cast<Refusal>(number);
        for (const Execution execution : { Execution::Unknown, Execution::Ran }) {
            const int status = refusalStatus(reason, execution);
            const bool isPromise = status == 408 || status == 421 || status == 429 || status == 503;
            BOOST_TEST(!isPromise, refusalCode(reason) << ": " << status);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
