#include "clientcrowd.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>

namespace Soak
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto reconnectDelay = 100ms;
/// A small buffer lets a client that does not read block the server after few bytes.
constexpr int receiveBufferBytes = 4096;

}

class ClientCrowd::Client : public std::enable_shared_from_this<Client>
{
public:
    explicit Client(ClientCrowd &owner)
        : crowd(owner)
        , socket(owner.io)
        , timer(owner.io)
    {
    }

    void connect()
    {
        boost::system::error_code error;
        this->socket = asio::ip::tcp::socket(this->crowd.io, asio::ip::tcp::v4());
        if (!this->crowd.behaviour.reads) {
            this->socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
        }
        const int number = ++this->connectionNumber;
        this->sent = 0;
        this->socket.async_connect(
            this->crowd.server,
            [self = this->shared_from_this(), number](const boost::system::error_code &connectError) {
                if (connectError) {
                    self->reconnect(number);
                    return;
                }
                self->write(number);
                self->awaitEnd(number);
            });
    }

private:
    void write(int number)
    {
        const std::string &bytes = this->crowd.behaviour.bytes;
        const std::size_t size = std::min(this->crowd.behaviour.pieceBytes, bytes.size() - this->sent);
        if (size == 0) {
            this->finish();
            if (this->crowd.behaviour.leaves) {
                this->reconnect(number);
            }
            return;
        }
        asio::async_write(
            this->socket,
            asio::buffer(bytes.data() + this->sent, size),
            [self = this->shared_from_this(), number](const boost::system::error_code &error, std::size_t written) {
                if (error) {
                    self->reconnect(number);
                } else if (number == self->connectionNumber) {
                    self->sent += written;
                    self->write(number);
                }
            });
    }

    /// Notices the end of the connection by reading, or without reading if the client does not read.
    void awaitEnd(int number)
    {
        if (!this->crowd.behaviour.reads) {
            this->socket.async_wait(asio::ip::tcp::socket::wait_error,
                                    [self = this->shared_from_this(), number](const boost::system::error_code &) {
                                        self->reconnect(number);
                                    });
            return;
        }
        this->socket.async_read_some(
            asio::buffer(this->received),
            [self = this->shared_from_this(), number](const boost::system::error_code &error, std::size_t) {
                if (error) {
                    self->reconnect(number);
                } else if (number == self->connectionNumber) {
                    self->awaitEnd(number);
                }
            });
    }

    void reconnect(int number)
    {
        if (number != this->connectionNumber) {
            return;
        }
        this->finish();
        ++this->connectionNumber;
        boost::system::error_code ignored;
        this->socket.close(ignored);
        this->timer.expires_after(reconnectDelay);
        this->timer.async_wait(
            [self = this->shared_from_this()](const boost::system::error_code &) { self->connect(); });
    }

    void finish()
    {
        if (!this->finished) {
            this->finished = true;
            --this->crowd.unfinished;
        }
    }

    ClientCrowd &crowd;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    int connectionNumber = 0;
    std::size_t sent = 0;
    bool finished = false;
    std::array<char, 4096> received {};
};

ClientCrowd::ClientCrowd(const asio::ip::tcp::endpoint &serverAddress, int clientCount, ClientBehaviour clientBehaviour)
    : server(serverAddress)
    , behaviour(std::move(clientBehaviour))
    , unfinished(clientCount)
{
    for (int number = 0; number < clientCount; ++number) {
        this->clients.push_back(std::make_shared<Client>(*this));
        this->clients.back()->connect();
    }
    this->thread = std::thread([this] { this->io.run(); });
}

ClientCrowd::~ClientCrowd()
{
    this->io.stop();
    this->thread.join();
    this->clients.clear();
}

bool ClientCrowd::allHaveSent() const
{
    return this->unfinished == 0;
}

}
