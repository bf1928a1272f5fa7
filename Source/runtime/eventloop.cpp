#include "runtime/eventloop.h"

namespace Lycheewall
{

void runEventLoop(boost::asio::io_context &io, const std::function<void(const std::exception &)> &handleError)
{
    bool hasEnded = false;
    while (!hasEnded) {
        try {
            io.run();
            hasEnded = true;
        } catch (const std::exception &error) {
            handleError(error);
        }
    }
}

}
