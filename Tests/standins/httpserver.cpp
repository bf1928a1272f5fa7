#include "httpserver.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

namespace Standins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

/// Values of the platform have at most 1 MB, bodies of control requests are smaller.
constexpr std::uint64_t maxBodyBytes = 4 * 1024 * 1024;

}

HttpResponse textResponse(int status, std::string body)
{
    HttpResponse response(http::int_to_status(status), 11, std::move(body));
    response.set(http::field::content_type, "application/json");
    return response;
}

HttpResponse jsonResponse(int status, const nlohmann::json &body)
{
    return textResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

RequestTarget::RequestTarget(std::string_view text)
{
    const std::size_t questionMark = text.find('?');
    std::istringstream segments { std::string(text.substr(0, questionMark)) };
    for (std::string segment; std::getline(segments, segment, '/');) {
        if (!segment.empty()) {
            this->path.push_back(segment);
        }
    }
    if (questionMark == std::string_view::npos) {
        return;
    }
    std::istringstream pairs { std::string(text.substr(questionMark + 1)) };
    for (std::string pair; std::getline(pairs, pair, '&');) {
        const std::size_t equals = std::min(pair.find('='), pair.size());
        this->parameters[pair.substr(0, equals)] = equals < pair.size() ? pair.substr(equals + 1) : "";
    }
}

std::string RequestTarget::segment(std::size_t index) const
{
    return index < this->path.size() ? this->path[index] : "";
}

std::string RequestTarget::parameter(const std::string &name, const std::string &defaultValue) const
{
    const auto found = this->parameters.find(name);
    return found == this->parameters.end() ? defaultValue : found->second;
}

double RequestTarget::number(const std::string &name, double defaultValue) const
{
    const std::string text = this->parameter(name);
    return text.empty() ? defaultValue : std::strtod(text.c_str(), nullptr);
}

HttpConnection::HttpConnection(tcp::socket socket, HttpServer *server)
    : socket(std::move(socket))
    , server(server)
{
}

void HttpConnection::readNext()
{
    this->parser.emplace();
    this->parser->body_limit(maxBodyBytes);
    http::async_read(this->socket,
                     this->buffer,
                     *this->parser,
                     [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                         if (error) {
                             self->close();
                             return;
                         }
                         self->pendingRequests.push_back(self->parser->release());
                         self->readNext();
                         self->dispatchNext();
                     });
}

void HttpConnection::dispatchNext()
{
    if (this->busy || this->unresponsive || this->pendingRequests.empty() || !this->socket.is_open()) {
        return;
    }
    this->busy = true;
    ++this->requestCount;
    HttpRequest request = std::move(this->pendingRequests.front());
    this->pendingRequests.pop_front();
    this->server->requestHandler(shared_from_this(), std::move(request));
}

void HttpConnection::reply(HttpResponse newResponse)
{
    if (this->unresponsive || !this->socket.is_open()) {
        return;
    }
    this->response = std::move(newResponse);
    this->response.prepare_payload();
    http::async_write(
        this->socket, this->response, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (error || !self->response.keep_alive()) {
                self->close();
                return;
            }
            self->busy = false;
            self->dispatchNext();
        });
}

void HttpConnection::close()
{
    if (!this->socket.is_open()) {
        return;
    }
    boost::system::error_code ignored;
    this->socket.close(ignored);
    const ConnectionPointer self = shared_from_this();
    if (this->server->connections.erase(self) > 0) {
        this->server->closeHandler(self);
    }
}

HttpServer::HttpServer(asio::io_context &context)
    : acceptor(context)
{
}

std::uint16_t HttpServer::listen(std::uint16_t port)
{
    const tcp::endpoint address(asio::ip::address_v4::loopback(), port);
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen();
    this->acceptNext();
    return this->acceptor.local_endpoint().port();
}

void HttpServer::stopListening()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

void HttpServer::acceptNext()
{
    this->acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !this->acceptor.is_open()) {
            return;
        }
        if (!error) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            auto connection = std::make_shared<HttpConnection>(std::move(socket), this);
            if (this->acceptHandler(connection)) {
                this->connections.insert(connection);
                connection->readNext();
            }
        }
        this->acceptNext();
    });
}

void HttpServer::closeAll()
{
    const std::vector<ConnectionPointer> open(this->connections.begin(), this->connections.end());
    for (const ConnectionPointer &connection : open) {
        connection->close();
    }
}

void HttpServer::makeUnresponsive()
{
    for (const ConnectionPointer &connection : this->connections) {
        connection->unresponsive = true;
    }
}

std::size_t HttpServer::connectionCount() const
{
    return this->connections.size();
}

std::vector<std::string> joinRepeatedFlags(int argc, char **argv, const std::string &name)
{
    std::vector<std::string> arguments;
    std::string joined;
    const std::string prefix = "--" + name + "=";
    for (int index = 0; index < argc; ++index) {
        const std::string argument = argv[index];
        if (argument == "--" + name && index + 1 < argc) {
            joined += (joined.empty() ? "" : ",") + std::string(argv[++index]);
        } else if (argument.rfind(prefix, 0) == 0) {
            joined += (joined.empty() ? "" : ",") + argument.substr(prefix.size());
        } else {
            arguments.push_back(argument);
        }
    }
    if (!joined.empty()) {
        arguments.push_back(prefix + joined);
    }
    return arguments;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        if (!item.empty()) {
            items.push_back(item);
        }
    }
    return items;
}

void parseArguments(int argc, char **argv, const std::string &name)
{
    std::vector<std::string> arguments = joinRepeatedFlags(argc, argv, name);
    std::vector<char *> pointers;
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    int count = static_cast<int>(pointers.size());
    char **values = pointers.data();
    gflags::ParseCommandLineFlags(&count, &values, false);
}

void runUntilSignal(asio::io_context &context, const std::string &text)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    std::cout << "ready " << text << std::endl;
    context.run();
}

}
