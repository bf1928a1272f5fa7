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

/// Runs @p io until @p condition holds; false when it does not within two seconds.
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

/// Runs @p io for a short time.
inline void runFor(boost::asio::io_context &io, std::chrono::milliseconds time)
{
    io.restart();
    io.run_for(time);
}

/// A raw HTTP server on loopback: counts requests and answers each with bytes that the test gives.
class TestPeer
{
public:
    /// Gets the number of the request, from 1, and returns the bytes to send.
    using Answer = std::function<std::string(int number)>;

    TestPeer(boost::asio::io_context &io, Answer answerBytes)
        : acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 })
        , answer(std::move(answerBytes))
    {
        this->accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    int requests = 0;
    int connections = 0;
    int closed = 0;
    bool closeAfterAnswer = false;

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
                                              ++this->closed;
                                              return;
                                          }
                                          connection->buffer.erase(0, size);
                                          this->reply(connection);
                                      });
    }

    void reply(const std::shared_ptr<Connection> &connection)
    {
        const auto bytes = std::make_shared<std::string>(this->answer(++this->requests));
        boost::asio::async_write(connection->socket,
                                 boost::asio::buffer(*bytes),
                                 [this, connection, bytes](boost::system::error_code, std::size_t) {
                                     if (this->closeAfterAnswer) {
                                         connection->socket.close();
                                         return;
                                     }
                                     this->read(connection);
                                 });
    }

    boost::asio::ip::tcp::acceptor acceptor;
    Answer answer;
};

}
