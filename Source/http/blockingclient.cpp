#include "http/blockingclient.h"

#include "runtime/socketaddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Lycheewall
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

http::request<http::string_body> compose(const std::string &address, const HttpRequest &request)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11, request.body);
    message.set(http::field::host, address);
    message.set(http::field::content_type, "application/json");
    if (request.authorization) {
        message.set(http::field::authorization, *request.authorization);
    }
    message.prepare_payload();
    return message;
}

}

Result<HttpResponse> BlockingClient::exchange(const std::string &address, const HttpRequest &request, int seconds)
{
    const auto target = parseAddress(address);
    if (!target) {
        return target.error();
    }
    asio::io_context context;
    beast::tcp_stream stream(context);
    stream.expires_after(std::chrono::seconds(seconds));
    const auto message = compose(address, request);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    beast::error_code outcome;
    stream.async_connect(target.value(), [&](const beast::error_code &connected) {
        outcome = connected;
        if (connected) {
            return;
        }
        http::async_write(stream, message, [&](const beast::error_code &written, std::size_t) {
            outcome = written;
            if (written) {
                return;
            }
            http::async_read(
                stream, buffer, response, [&](const beast::error_code &read, std::size_t) { outcome = read; });
        });
    });
    context.run();
    if (outcome) {
        return std::error_code(outcome);
    }
    HttpResponse answer;
    answer.status = static_cast<int>(response.result_int());
    answer.contentType = std::string(response[http::field::content_type]);
    answer.body = response.body();
    return answer;
}

}
