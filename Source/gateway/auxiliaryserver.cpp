#include "gateway/auxiliaryserver.h"

#include "core/log.h"
#include "gateway/requestmemory.h"
#include "runtime/httppayload.h"

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
/// Most bytes of one read. Requests are usually shorter, so one read receives them whole.
constexpr std::size_t readSize = 1024;
constexpr std::uint32_t headerLimit = 16 * 1024;
/// Time from the first bytes of a request to its end.
constexpr auto requestTimeout = std::chrono::seconds(5);

void reportAcceptError(const boost::system::error_code &error)
{
    Log::component("side").warn("Could not accept a connection to an auxiliary server: " + error.message() + ".");
}

}

class AuxiliaryServer::Connection : public std::enable_shared_from_this<Connection>, private ConnectionBudget::Holder
{
public:
    Connection(asio::ip::tcp::socket socket,
               std::shared_ptr<ConnectionBudget> connectionBudget,
               Handler &requestHandler)
        : stream(std::move(socket))
        , budget(std::move(connectionBudget))
        , handler(requestHandler)
    {
    }
    ~Connection() override
    {
        this->budget->remove(*this);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Starts reading requests. The connection is closed if there are too many.
    void start()
    {
        if (this->budget->add(*this)) {
            this->beginRequest();
        }
    }

private:
    using Phase = ConnectionBudget::Phase;

    void beginRequest()
    {
        this->parser.emplace();
        this->parser->header_limit(headerLimit);
        this->parser->eager(true);
        this->stream.expires_after(idleTimeout);
        if (!this->updateBudget(Phase::Idle)) {
            return;
        }
        if (this->buffer.size() > 0) {
            this->parse();
        } else {
            this->read();
        }
    }

    void read()
    {
        this->stream.async_read_some(
            this->buffer.prepare(readSize),
            [self = this->shared_from_this()](const beast::error_code &error, std::size_t size) {
                // The read may have ended before the connection was closed.
                if (!error && self->phase != Phase::Closed) {
                    self->buffer.commit(size);
                    self->parse();
                }
            });
    }

    void parse()
    {
        beast::error_code error;
        while (this->buffer.size() > 0 && !error && !this->parser->is_done()) {
            this->buffer.consume(this->parser->put(this->buffer.data(), error));
        }
        if (error && error != http::error::need_more) {
            return;
        }
        if (this->parser->is_done()) {
            this->handle();
            return;
        }
        if (this->phase == Phase::Idle) {
            this->stream.expires_after(requestTimeout);
        }
        if (this->updateBudget(Phase::Receiving)) {
            this->read();
        }
    }

    void handle()
    {
        this->stream.expires_never();
        // Idle, not serving: the connection may be ended while the handler works, as the request can be repeated.
        if (!this->updateBudget(Phase::Idle)) {
            return;
        }
        const auto &message = this->parser->get();
        this->keepAlive = message.keep_alive();
        this->handler(std::string(message.target()),
                      [self = this->shared_from_this()](const AuxiliaryResponse &handlerResponse) {
                          self->write(handlerResponse);
                      });
    }

    void write(const AuxiliaryResponse &handlerResponse)
    {
        if (this->phase == Phase::Closed) {
            return;
        }
        const bool hasRoom = this->budget->makeRoomForResponse(handlerResponse.body.size());
        if (!hasRoom || this->phase == Phase::Closed) {
            this->endForShortage(ConnectionBudget::Resource::Memory);
            return;
        }
        this->response = {};
        this->response.result(static_cast<unsigned>(handlerResponse.status));
        this->response.set(http::field::content_type, handlerResponse.contentType);
        this->response.body() = handlerResponse.body;
        this->response.keep_alive(this->keepAlive);
        preparePayload(this->response, this->parser->get().method());
        if (!this->updateBudget(Phase::Sending)) {
            return;
        }
        this->stream.expires_after(writeTimeout);
        http::async_write(this->stream,
                          this->response,
                          [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                              if (!error && self->keepAlive && self->phase != Phase::Closed) {
                                  self->response = {};
                                  self->beginRequest();
                              }
                          });
    }

    /// Reports to the budget what the connection does and holds. Returns false if the budget has closed it.
    bool updateBudget(Phase newPhase)
    {
        this->phase = newPhase;
        const std::size_t bytes = sizeof(Connection) + socketMemoryBytes + this->buffer.capacity()
            + (this->parser ? memoryOf(this->parser->get()) : 0) + this->response.body().capacity();
        this->budget->update(*this, newPhase, bytes);
        return this->phase != Phase::Closed;
    }

    void endForShortage(ConnectionBudget::Resource /*resource*/) override
    {
        // No pending operation uses the parser. The others release their memory when the event loop has ended them.
        this->parser.reset();
        this->stream.close();
        this->updateBudget(Phase::Closed);
    }

    beast::tcp_stream stream;
    std::shared_ptr<ConnectionBudget> budget;
    Handler &handler;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::empty_body>> parser;
    http::response<http::string_body> response;
    Phase phase = Phase::Idle;
    bool keepAlive = true;
};

Result<std::unique_ptr<AuxiliaryServer>> AuxiliaryServer::create(asio::io_context &io,
                                                                 const std::string &address,
                                                                 std::shared_ptr<ConnectionBudget> budget,
                                                                 Handler handler)
{
    std::unique_ptr<AuxiliaryServer> server(new AuxiliaryServer(io, std::move(budget), std::move(handler)));
    const auto listening = server->acceptor.listen(address);
    if (!listening) {
        return listening.error();
    }
    return server;
}

AuxiliaryServer::AuxiliaryServer(asio::io_context &io,
                                 std::shared_ptr<ConnectionBudget> connectionBudget,
                                 Handler requestHandler)
    : budget(std::move(connectionBudget))
    , handler(std::move(requestHandler))
    , acceptor(io,
               this->budget,
               { [this](asio::ip::tcp::socket socket) { this->addConnection(std::move(socket)); }, &reportAcceptError })
{
}

std::uint16_t AuxiliaryServer::port() const
{
    return this->acceptor.port();
}

void AuxiliaryServer::addConnection(asio::ip::tcp::socket socket)
{
    std::make_shared<Connection>(std::move(socket), this->budget, this->handler)->start();
}

}
