#include "gateway/frontserver.h"

#include "core/log.h"

#include <boost/asio/io_context.hpp>

namespace Lycheewall
{

namespace asio = boost::asio;

Result<std::unique_ptr<FrontServer>>
FrontServer::create(asio::io_context &io, const std::string &address, FrontContext &context)
{
    std::unique_ptr<FrontServer> server(new FrontServer(io, context));
    const auto listening = server->acceptor.listen(address);
    if (!listening) {
        return listening.error();
    }
    return server;
}

FrontServer::FrontServer(asio::io_context &io, FrontContext &frontContext)
    : context(frontContext)
    , acceptor(io,
               frontContext.budget,
               { [this](asio::ip::tcp::socket socket) { this->addConnection(std::move(socket)); },
                 [this](const boost::system::error_code &error) {
                     this->reportAcceptError(error);
                 } })
{
}

void FrontServer::reportAcceptError(const boost::system::error_code &error)
{
    this->context.counters.counter("lycheewall_front_accept_errors_total").add();
    Log::component("front").warn("Could not accept a caller connection: " + error.message() + ".");
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
    return this->acceptor.port();
}

void FrontServer::stopAccepting()
{
    this->acceptor.stop();
}

}
