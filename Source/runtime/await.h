#pragma once

#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <utility>

namespace Lycheewall
{

/**
 * Starts an Asio operation and suspends the calling fiber until its handler has run.
 * @p start receives a handler with the signature void(error_code, Value). Returns the arguments of the handler.
 * Precondition: called in a fiber of a thread that has called installFiberScheduler(), and the operation's handler runs
 * on that thread.
 */
template<typename Value, typename Start> std::pair<boost::system::error_code, Value> awaitValue(Start &&start)
{
    auto promise = std::make_shared<boost::fibers::promise<std::pair<boost::system::error_code, Value>>>();
    auto future = promise->get_future();
    std::forward<Start>(start)([promise](const boost::system::error_code &error, Value value) {
        promise->set_value({ error, std::move(value) });
    });
    return future.get();
}

/// Like awaitValue(), for handlers with the signature void(error_code).
template<typename Start> boost::system::error_code awaitCompletion(Start &&start)
{
    auto promise = std::make_shared<boost::fibers::promise<boost::system::error_code>>();
    auto future = promise->get_future();
    std::forward<Start>(start)([promise](const boost::system::error_code &error) { promise->set_value(error); });
    return future.get();
}

}
