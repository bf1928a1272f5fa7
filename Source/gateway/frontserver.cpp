#include "gateway/frontserver.h"

#include "core/log.h"
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
constexpr Duration acceptRetryDelay = Milliseconds(50);

}

Result<std::unique_ptr<FrontServer>>
FrontServer::create(asio::io_context &io, const std::string &address, FrontContext &context)
{
    std::unique_ptr<FrontServer> server(new FrontServer(io, context));
    const auto listening = listenOn(server->acceptor, address, backlog);
    if (!listening) {
        return listening.error();
    }
    server->accept();
    return server;
}

FrontServer::FrontServer(asio::io_context &io, FrontContext &frontContext)
    : acceptor(io)
    , acceptTimer(io)
    , context(frontContext)
{
}

void FrontServer::accept()
{
    this->acceptor.async_accept([this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            this->handleAcceptError(error);
            return;
        }
        this->addConnection(std::move(socket));
        this->accept();
    });
}

void FrontServer::handleAcceptError(const boost::system::error_code &error)
{
    this->context.counters.counter("lycheewall_front_accept_errors_total").add();
    Log::component("front").warn("Could not accept a caller connection: " + error.message() + ".");
    if (error == asio::error::no_descriptors) {
        this->context.budget->releaseDescriptors();
    }
    // The connection stays in the queue, so that the next accept would fail at once.
    this->acceptTimer.expires_after(acceptRetryDelay);
    this->acceptTimer.async_wait([this](const boost::system::error_code &waitError) {
        if (!waitError && this->acceptor.is_open()) {
            this->accept();
        }
    });
}

void FrontServer::addConnection(asio::ip::tcp::socket socket)
{
    const auto connection = std::make_shared<FrontConnection>(
        std::move(socket), this->context, [this](FrontConnection *closedConnection) {
            this->connections.erase(closedConnection);
        });
    this->connections[connection.get()] = connection;
    if (!connection->start()) {
        this->connections.erase(connection.get());
    }
}

void FrontServer::finishRequests()
{
    const auto currentConnections = this->connections;
    for (const auto &[key, connection] : currentConnections) {
        connection->finishEarly();
    }
}

std::size_t FrontServer::connectionCount() const
{
    return this->connections.size();
}

void FrontServer::closeIdleConnections()
{
    const auto currentConnections = this->connections;
    for (const auto &[key, connection] : currentConnections) {
        connection->closeIfIdle();
    }
}

std::uint16_t FrontServer::port() const
{
    return this->acceptor.local_endpoint().port();
}

void FrontServer::stopAccepting()
{
    // Closing the listening socket would reset the connections in its queue, whose callers may have sent a request.
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket = this->acceptor.accept(error);
        if (!error) {
            this->addConnection(std::move(socket));
        }
    }
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

}
