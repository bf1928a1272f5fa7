#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

namespace Lycheewall
{

/**
 * Makes the calling thread run fibers and the handlers of @p context side by side: handlers run while no fiber is
 * ready. Precondition: called once per thread, before the first fiber of that thread; @p context outlives the thread.
 */
void installFiberScheduler(const std::shared_ptr<boost::asio::io_context> &context);

}
