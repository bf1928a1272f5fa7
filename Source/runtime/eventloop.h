#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace Lycheewall
{

/// Runs @p io until it is stopped or has no more work. An exception that a handler throws ends that handler only: it is
/// passed to @p handleError, and the loop continues. Thread safety: one thread for each @p io.
void runEventLoop(boost::asio::io_context &io, const std::function<void(const std::exception &)> &handleError);

}
