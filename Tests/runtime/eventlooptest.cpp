#include "runtime/eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(EventLoopTest)

// Guards against an unexpected error in the handling of one message that ends the whole process.
BOOST_AUTO_TEST_CASE(exceptionEndsOnlyItsHandler)
{
    boost::asio::io_context io;
    int handled = 0;
    std::vector<std::string> errors;
    boost::asio::post(io, [] { throw std::out_of_range("unexpected"); });
    boost::asio::post(io, [&handled] { ++handled; });
    runEventLoop(io, [&errors](const std::exception &error) { errors.emplace_back(error.what()); });
    BOOST_TEST(handled == 1);
    BOOST_REQUIRE(errors.size() == 1U);
    BOOST_TEST(errors.front() == "unexpected");
}

// Guards against a loop that continues after it was stopped.
BOOST_AUTO_TEST_CASE(stopEndsTheLoop)
{
    boost::asio::io_context io;
    const auto work = boost::asio::make_work_guard(io);
    boost::asio::post(io, [&io] {
        io.stop();
        throw std::runtime_error("after stop");
    });
    int errors = 0;
    runEventLoop(io, [&errors](const std::exception & /*error*/) { ++errors; });
    BOOST_TEST(errors == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}
