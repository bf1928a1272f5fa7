#include "http/clientconnection.h"

#include "runtime/await.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <sys/socket.h>

namespace Lycheewall
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

ClientConnection::ClientConnection(Worker &owner)
    : ownWorker(owner)
    , socket(owner.context())
    , timer(owner.context())
{
}

Worker &ClientConnection::worker() const
{
    return this->ownWorker;
}

bool ClientConnection::connect(const asio::ip::tcp::endpoint &address, Duration bound)
{
    this->close();
    this->buffer.clear();
    this->busy = true;
    this->armTimer(bound);
    const auto error = awaitCompletion([&](auto handler) { this->socket.async_connect(address, std::move(handler)); });
    this->disarmTimer();
    this->busy = false;
    if (error || this->timedOut) {
        this->close();
        return false;
    }
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    return true;
}

ExchangeResult ClientConnection::exchange(const std::string &request, Duration bound, std::uint32_t answerBytes)
{
    ExchangeResult result;
    this->busy = true;
    this->armTimer(bound);
    const auto [writeError, written] = awaitValue<std::size_t>(
        [&](auto handler) { asio::async_write(this->socket, asio::buffer(request), std::move(handler)); });
    boost::system::error_code error = writeError;
    bool keepAlive = false;
    if (!error) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(answerBytes);
        parser.body_limit(answerBytes);
        error = awaitValue<std::size_t>([&](auto handler) {
                    http::async_read(this->socket, this->buffer, parser, std::move(handler));
                }).first;
        keepAlive = !error && parser.get().keep_alive();
        result.response = parser.release();
    }
    this->disarmTimer();
    this->busy = false;
    if (!error) {
        result.end = ExchangeEnd::Done;
    } else if (writeError && written == 0) {
        result.end = ExchangeEnd::NotSent;
    } else if (this->timedOut) {
        result.end = ExchangeEnd::TimedOut;
    } else if (error == http::error::body_limit || error == http::error::header_limit) {
        result.end = ExchangeEnd::TooLarge;
    }
    if (!keepAlive) {
        this->close();
    }
    return result;
}

bool ClientConnection::usable()
{
    if (!this->socket.is_open() || this->buffer.size() > 0) {
        return false;
    }
    char byte = 0;
    const auto received = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::watch(std::function<void()> ended)
{
    this->endedCallback = std::move(ended);
    this->watchSocket();
}

void ClientConnection::watchSocket()
{
    // A wait that an answer has not ended yet stays in force for the next idle time.
    if (this->watching || !this->socket.is_open()) {
        return;
    }
    this->watching = true;
    this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                            [self = this->shared_from_this()](const boost::system::error_code &error) {
                                self->watching = false;
                                if (self->busy || !self->endedCallback || error == asio::error::operation_aborted) {
                                    return;
                                }
                                if (self->usable()) {
                                    self->watchSocket();
                                    return;
                                }
                                self->close();
                                std::exchange(self->endedCallback, nullptr)();
                            });
}

void ClientConnection::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void ClientConnection::armTimer(Duration bound)
{
    this->timedOut = false;
    const std::uint64_t number = ++this->boundNumber;
    this->timer.expires_after(bound);
    this->timer.async_wait([self = this->shared_from_this(), number](const boost::system::error_code &error) {
        if (!error && self->boundNumber == number) {
            self->timedOut = true;
            self->close();
        }
    });
}

void ClientConnection::disarmTimer()
{
    ++this->boundNumber;
    this->timer.cancel();
}

}
