#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Soak
{

/// What each client of a crowd sends.
struct ClientBehaviour
{
    std::string bytes;
    /// Size of the pieces in which the bytes are written.
    std::size_t pieceBytes = std::size_t { 64 } * 1024;
    bool reads = true;
    /// Disconnects once everything was sent.
    bool leaves = false;
};

/**
 * Clients that send given bytes, keep their connections open and connect again when a connection ends. They run in a
 * thread of their own until the object goes away.
 */
class ClientCrowd
{
public:
    ClientCrowd(const boost::asio::ip::tcp::endpoint &server, int clients, ClientBehaviour behaviour);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// True once each client has sent everything or was disconnected at least once. Thread safety: any thread.
    bool allHaveSent() const;

private:
    class Client;

    boost::asio::io_context io;
    boost::asio::ip::tcp::endpoint server;
    ClientBehaviour behaviour;
    std::atomic<int> unfinished;
    std::vector<std::shared_ptr<Client>> clients;
    std::thread thread;
};

}
