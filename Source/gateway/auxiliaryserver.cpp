#include "gateway/auxiliaryserver.h"

#include "core/log.h"
#include "runtime/httppayload.h"
#include "runtime/listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace Lycheewall
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr auto idleTimeout = std::chrono::seconds(30);
constexpr auto writeTimeout = std::chrono::seconds(5);
/// Length of the accept queue; a full queue delays the connections of callers by seconds.
constexpr int backlog = 1024;
constexpr std::uint32_t headerLimit = 16 * 1024;

}

class AuxiliaryServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, Handler &requestHandler)
        : stream(std::move(socket))
        , handler(requestHandler)
    {
    }

    void read()
    {
        this->parser.emplace();
        this->parser->header_limit(headerLimit);
        this->stream.expires_after(idleTimeout);
        http::async_read(this->stream,
                         this->buffer,
                         *this->parser,
                         [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                             if (!error) {
                                 self->handle();
                             }
                         });
    }

private:
    void handle()
    {
        this->stream.expires_never();
        const auto &message = this->parser->get();
        this->keepAlive = message.keep_alive();
        this->handler(std::string(message.target()),
                      [self = this->shared_from_this()](const AuxiliaryResponse &handlerResponse) {
                          self->write(handlerResponse);
                      });
    }

    void write(const AuxiliaryResponse &handlerResponse)
    {
        this->response = {};
        this->response.result(static_cast<unsigned>(handlerResponse.status));
        this->response.set(http::field::content_type, handlerResponse.contentType);
        this->response.body() = handlerResponse.body;
        this->response.keep_alive(this->keepAlive);
        preparePayload(this->response, this->parser->get().method());
        this->stream.expires_after(writeTimeout);
        http::async_write(this->stream,
                          this->response,
                          [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                              if (!error && self->keepAlive) {
                                  self->read();
                              }
                          });
    }

    beast::tcp_stream stream;
    Handler &handler;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::empty_body>> parser;
    http::response<http::string_body> response;
    bool keepAlive = true;
};

Result<std::unique_ptr<AuxiliaryServer>>
AuxiliaryServer::create(asio::io_context &io, const std::string &address, Handler handler)
{
    std::unique_ptr<AuxiliaryServer> server(new AuxiliaryServer(io, std::move(handler)));
    const auto listening = listenOn(server->acceptor, address, backlog);
    if (!listening) {
        return listening.error();
    }
    server->accept();
    return server;
}

AuxiliaryServer::AuxiliaryServer(asio::io_context &io, Handler requestHandler)
    : acceptor(io)
    , handler(std::move(requestHandler))
{
}

std::uint16_t AuxiliaryServer::port() const
{
    return this->acceptor.local_endpoint().port();
}

void AuxiliaryServer::accept()
{
    this->acceptor.async_accept([this](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            Log::component("side").warn("Could not accept a connection to an auxiliary server: " + error.message()
                                        + ".");
        } else {
            std::make_shared<Connection>(std::move(socket), this->handler)->read();
        }
        this->accept();
    });
}

}
