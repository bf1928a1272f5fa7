#include "runtime/asiotimerservice.h"
#include "core/log.h"
#include "runtime/worker.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace Lycheewall;

namespace
{

bool waitUntil(const std::function<bool()> &condition)
{
    for (int round = 0; round < 2000 && !condition(); ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return condition();
}

}

BOOST_AUTO_TEST_SUITE(AsioTimerServiceTest)

// Guards against timers that fire early, only once, or on a thread other than the context's.
BOOST_AUTO_TEST_CASE(timersFireOnTheContextThread)
{
    const auto worker = Worker::create();
    AsioTimerService service(worker->context());
    std::promise<std::thread::id> workerThread;
    boost::asio::post(worker->context(), [&] { workerThread.set_value(std::this_thread::get_id()); });
    const auto start = std::chrono::steady_clock::now();
    std::promise<std::thread::id> firedOn;
    const auto once = service.after(Milliseconds(20), [&] { firedOn.set_value(std::this_thread::get_id()); });
    BOOST_TEST((firedOn.get_future().get() == workerThread.get_future().get()));
    BOOST_TEST((std::chrono::steady_clock::now() - start >= Milliseconds(20)));
    std::atomic<int> fired { 0 };
    auto periodic = service.every(Milliseconds(2), [&] { ++fired; });
    BOOST_TEST(waitUntil([&] { return fired >= 5; }));
    periodic.reset();
}

// Guards against a callback that runs although its subscription ended, against a subscription that a callback cannot
// end, and against data races when many threads end subscriptions. Each callback marks its flag; after a subscription
// has ended and the context has been passed once, the flag must not change any more.
BOOST_AUTO_TEST_CASE(endedSubscriptionsStayQuiet)
{
    const auto worker = Worker::create();
    AsioTimerService service(worker->context());
    std::atomic<int> late { 0 };
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (int round = 0; round < 300; ++round) {
                auto ended = std::make_shared<std::atomic<bool>>(false);
                auto timer = service.every(std::chrono::microseconds(50), [&late, ended] { late += ended->load(); });
                std::this_thread::sleep_for(std::chrono::microseconds(round % 200));
                timer.reset();
                std::promise<void> passed;
                boost::asio::post(worker->context(), [&] { passed.set_value(); });
                passed.get_future().get();
                ended->store(true);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(late == 0);
    Subscription self;
    std::atomic<int> calls { 0 };
    std::promise<void> installed;
    boost::asio::post(worker->context(), [&] {
        self = service.every(Milliseconds(1), [&] {
            ++calls;
            self.reset();
        });
        installed.set_value();
    });
    installed.get_future().get();
    BOOST_TEST(waitUntil([&] { return calls == 1; }));
    std::this_thread::sleep_for(Milliseconds(10));
    BOOST_TEST(calls == 1);
}

// Guards against a configuration of log4cxx that throws or writes nothing; the lines go to standard error.
BOOST_AUTO_TEST_CASE(logWritesThroughLog4cxx)
{
    Log::configure(LogLevel::Info);
    BOOST_CHECK_NO_THROW(Log::component("runtime").info("log line of a test"));
    Log::setSink(nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
