#include "runtime/listener.h"

#include "runtime/socketaddress.h"

namespace Lycheewall
{

Result<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address, int backlog)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        return endpoint.error();
    }
    boost::system::error_code error;
    acceptor.open(endpoint.value().protocol(), error);
    if (!error) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint.value(), error);
    }
    if (!error) {
        acceptor.listen(backlog, error);
    }
    if (error) {
        return std::error_code(error);
    }
    return success();
}

}
