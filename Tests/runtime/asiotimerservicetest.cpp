#include "runtime/asiotimerservice.h"
#include "core/log.h"
#include "runtime/worker.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
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

// Guards against a memory leak: the owner of a subscription that the callback itself keeps alive must end once the
// timer has fired.
BOOST_AUTO_TEST_CASE(firedTimerReleasesItsCallback)
{
    struct Owner
    {
        Subscription timer;
    };
    boost::asio::io_context context;
    AsioTimerService service(context);
    auto owner = std::make_shared<Owner>();
    const std::weak_ptr<Owner> observer = owner;
    int fired = 0;
    owner->timer = service.after(Milliseconds(1), [owner, &fired] { ++fired; });
    owner.reset();
    context.run();
    BOOST_TEST(fired == 1);
    BOOST_TEST(observer.expired());
}

// Guards against a callback that runs after its subscription was destroyed, against a callback that cannot destroy its
// own subscription, and against data races when several threads destroy subscriptions. Each round destroys a
// subscription, waits until the context has run one handler posted after that, and only then sets the flag: a callback
// that sees the flag set ran too late.
BOOST_AUTO_TEST_CASE(cancelledTimersDoNotFire)
{
    const auto worker = Worker::create();
    AsioTimerService service(worker->context());
    std::atomic<int> firedAfterCancel { 0 };
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (int round = 0; round < 300; ++round) {
                auto cancelled = std::make_shared<std::atomic<bool>>(false);
                auto timer = service.every(std::chrono::microseconds(50),
                                           [&firedAfterCancel, cancelled] { firedAfterCancel += cancelled->load(); });
                std::this_thread::sleep_for(std::chrono::microseconds(round % 200));
                timer.reset();
                std::promise<void> passed;
                boost::asio::post(worker->context(), [&] { passed.set_value(); });
                passed.get_future().get();
                cancelled->store(true);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    BOOST_TEST(firedAfterCancel == 0);
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

// Guards against a log4cxx configuration that throws or writes nothing. The test checks the former; the line itself is
// visible on standard error.
BOOST_AUTO_TEST_CASE(logWritesThroughLog4cxx)
{
    Log::configure(LogLevel::Info);
    BOOST_CHECK_NO_THROW(Log::component("runtime").info("log line of a test"));
    Log::setSink(nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
