#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

namespace Lycheewall
{

/**
 * Makes the calling thread run both fibers and the handlers of @p context. Handlers run while no fiber is ready, and
 * periodically while fibers are.
 * Precondition: called once per thread, before the first fiber of that thread; @p context outlives the thread.
 */
void installFiberScheduler(const std::shared_ptr<boost::asio::io_context> &context);

}
