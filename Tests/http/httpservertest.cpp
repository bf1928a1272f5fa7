#include "http/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(HttpServerTest)

namespace
{

class EchoTargetHandler : public HttpHandler
{
public:
    HttpResponse handle(const HttpRequest &request) override
    {
        HttpResponse response;
        response.body = "target " + request.target;
        return response;
    }
    HttpResponse refuse(Refusal refusal) override
    {
        HttpResponse response;
        response.status = 400;
        response.body = std::string(refusalCode(refusal));
        return response;
    }
};

}

// Guards against a response to a HEAD request with a body: its bytes would stand before the next response on the
// connection.
BOOST_AUTO_TEST_CASE(headResponseHasNoBody)
{
    const auto worker = Worker::create();
    EchoTargetHandler handler;
    Counters counters;
    const auto server = HttpServer::create({ worker.get() }, "127.0.0.1:0", {}, handler, counters).value();
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({ boost::asio::ip::address_v4::loopback(), server->port() });
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("HEAD /first HTTP/1.1\r\nHost: h\r\n\r\n"
                                                       "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::string received;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "target /second");
    BOOST_TEST(received.find("target /first") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}
