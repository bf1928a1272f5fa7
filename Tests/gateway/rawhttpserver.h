#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace Lycheewall
{

/// Runs @p io until @p condition is true. Returns false if it is not true within two seconds.
inline bool runUntil(boost::asio::io_context &io, const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        io.restart();
        io.run_for(std::chrono::milliseconds(2));
    }
    return true;
}

/// Runs @p io for @p time.
inline void runFor(boost::asio::io_context &io, std::chrono::milliseconds time)
{
    io.restart();
    io.run_for(time);
}

/// An HTTP server on the loopback interface. It counts requests and responds to each with the bytes that the test
/// supplies.
class RawHttpServer
{
public:
    /// Gets the number of the request, counted from 1, and returns the bytes of the response.
    using ResponseFactory = std::function<std::string(int number)>;

    RawHttpServer(boost::asio::io_context &io, ResponseFactory responseFactory)
        : acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 })
        , makeResponse(std::move(responseFactory))
    {
        this->accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    int requests = 0;
    int connections = 0;
    int closedConnections = 0;
    bool closeAfterResponse = false;

private:
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        boost::asio::ip::tcp::socket socket;
        std::string buffer;
    };

    void accept()
    {
        this->acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            ++this->connections;
            this->read(std::make_shared<Connection>(std::move(socket)));
            this->accept();
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(connection->socket,
                                      boost::asio::dynamic_buffer(connection->buffer),
                                      "\r\n\r\n",
                                      [this, connection](boost::system::error_code error, std::size_t size) {
                                          if (error) {
                                              ++this->closedConnections;
                                              return;
                                          }
                                          connection->buffer.erase(0, size);
                                          this->respond(connection);
                                      });
    }

    void respond(const std::shared_ptr<Connection> &connection)
    {
        const auto bytes = std::make_shared<std::string>(this->makeResponse(++this->requests));
        boost::asio::async_write(connection->socket,
                                 boost::asio::buffer(*bytes),
                                 [this, connection, bytes](boost::system::error_code, std::size_t) {
                                     if (this->closeAfterResponse) {
                                         connection->socket.close();
                                         return;
                                     }
                                     this->read(connection);
                                 });
    }

    boost::asio::ip::tcp::acceptor acceptor;
    ResponseFactory makeResponse;
};

}
