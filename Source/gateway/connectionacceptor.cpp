#include "gateway/connectionacceptor.h"

#include "runtime/listener.h"

#include <boost/asio/io_context.hpp>

namespace Lycheewall
{

namespace asio = boost::asio;

namespace
{

/// Length of the accept queue; a full queue delays the connections of callers by seconds.
constexpr int backlog = 1024;
/// Delay of the next accept after one that has failed.
constexpr Duration retryDelay = Milliseconds(50);

}

ConnectionAcceptor::ConnectionAcceptor(asio::io_context &io,
                                       std::shared_ptr<ConnectionBudget> connectionBudget,
                                       Handlers acceptorHandlers)
    : acceptor(io)
    , retryTimer(io)
    , budget(std::move(connectionBudget))
    , handlers(std::move(acceptorHandlers))
{
}

Result<void> ConnectionAcceptor::listen(const std::string &address)
{
    const auto listening = listenOn(this->acceptor, address, backlog);
    if (listening) {
        this->accept();
    }
    return listening;
}

void ConnectionAcceptor::accept()
{
    this->acceptor.async_accept([this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            this->handleError(error);
            return;
        }
        this->handlers.accepted(std::move(socket));
        this->accept();
    });
}

void ConnectionAcceptor::handleError(const boost::system::error_code &error)
{
    this->handlers.failed(error);
    if (error == asio::error::no_descriptors) {
        this->budget->releaseDescriptors();
    }
    // The connection stays in the queue, so that the next accept would fail at once.
    this->retryTimer.expires_after(retryDelay);
    this->retryTimer.async_wait([this](const boost::system::error_code &waitError) {
        if (!waitError && this->acceptor.is_open()) {
            this->accept();
        }
    });
}

void ConnectionAcceptor::stop()
{
    // Closing the listening socket would reset the connections in its queue, whose callers may have sent a request.
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket = this->acceptor.accept(error);
        if (!error) {
            this->handlers.accepted(std::move(socket));
        }
    }
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

std::uint16_t ConnectionAcceptor::port() const
{
    return this->acceptor.local_endpoint().port();
}

}
