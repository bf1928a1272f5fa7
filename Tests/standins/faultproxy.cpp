// TCP proxy that injects faults on command: delay, closed connections, loss of all data in both directions or one, and
// connections that are accepted but not forwarded.
#include "httpserver.h"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(listen, 0, "port of a single route");
DEFINE_string(target, "", "ip:port behind a single route");
DEFINE_string(route, "", "P=ip:port; may be repeated, P = 0 for any free port");
DEFINE_int32(control_port, 0, "port for commands and statistics");

namespace
{

using namespace Standins;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t readSize = 16 * 1024;
/// A pipe that buffers more bytes than this pauses reading.
constexpr std::size_t maxBufferedBytes = 4 * 1024 * 1024;

enum Direction { Up, Down };

/// The faults that a route injects currently.
struct Faults
{
    std::chrono::microseconds delay { 0 };
    std::array<bool, 2> dropsData { false, false };
    bool blocked = false;
};

/// Forwarded and dropped bytes, by direction.
struct Traffic
{
    std::array<std::uint64_t, 2> passed { 0, 0 };
    std::array<std::uint64_t, 2> dropped { 0, 0 };
};

/// Both sockets of one forwarded connection and the buffered bytes. Thread safety: only the thread of the io_context.
class Tunnel : public std::enable_shared_from_this<Tunnel>
{
public:
    Tunnel(tcp::socket client, const Faults &faults, Traffic &traffic)
        : faults(faults)
        , traffic(traffic)
        , client(std::move(client))
        , server(this->client.get_executor())
        , pipes { Pipe(this->client, this->server), Pipe(this->server, this->client) }
    {
    }

    void connect(const tcp::endpoint &target)
    {
        this->server.async_connect(target, [self = shared_from_this()](const error_code &error) {
            if (error) {
                self->close();
                return;
            }
            error_code ignored;
            self->client.set_option(tcp::no_delay(true), ignored);
            self->server.set_option(tcp::no_delay(true), ignored);
            self->read(Up);
            self->read(Down);
        });
    }

    void blackhole()
    {
        for (Pipe &pipe : this->pipes) {
            pipe.dropping = true;
        }
    }

    void close()
    {
        error_code ignored;
        this->client.close(ignored);
        this->server.close(ignored);
        for (Pipe &pipe : this->pipes) {
            pipe.timer.cancel();
        }
        this->closed = true;
    }

    bool isClosed() const
    {
        return this->closed;
    }

private:
    using Clock = std::chrono::steady_clock;

    /// Bytes that are written when they are due; an empty string stands for the end of the stream.
    struct Chunk
    {
        Clock::time_point due;
        std::string bytes;
    };

    struct Pipe
    {
        Pipe(tcp::socket &from, tcp::socket &to)
            : from(from)
            , to(to)
            , timer(from.get_executor())
        {
        }

        tcp::socket &from;
        tcp::socket &to;
        boost::asio::steady_timer timer;
        std::string buffer = std::string(readSize, '\0');
        std::deque<Chunk> chunks;
        std::size_t bufferedBytes = 0;
        bool reading = false;
        bool delivering = false;
        /// True once bytes were dropped. A TCP stream has no gaps, so nothing can be forwarded after that, not even its
        /// end.
        bool dropping = false;
        bool endOfStream = false;
    };

    void read(Direction direction)
    {
        Pipe &pipe = this->pipes[direction];
        if (pipe.reading || pipe.endOfStream || pipe.bufferedBytes > maxBufferedBytes || this->closed) {
            return;
        }
        pipe.reading = true;
        const auto handler = [self = shared_from_this(), direction](const error_code &error, std::size_t size) {
            self->received(direction, error, size);
        };
        pipe.from.async_read_some(boost::asio::buffer(pipe.buffer), handler);
    }

    void received(Direction direction, const error_code &error, std::size_t size)
    {
        Pipe &pipe = this->pipes[direction];
        pipe.reading = false;
        pipe.endOfStream = error.failed();
        pipe.dropping = pipe.dropping || this->faults.dropsData[direction];
        if (pipe.dropping) {
            this->traffic.dropped[direction] += size;
        } else {
            pipe.bufferedBytes += size;
            pipe.chunks.push_back({ Clock::now() + this->faults.delay, pipe.buffer.substr(0, size) });
            this->deliver(direction);
        }
        this->read(direction);
    }

    void deliver(Direction direction)
    {
        Pipe &pipe = this->pipes[direction];
        if (pipe.dropping) {
            pipe.chunks.clear();
        }
        if (pipe.delivering || pipe.chunks.empty() || this->closed) {
            return;
        }
        pipe.delivering = true;
        if (pipe.chunks.front().due <= Clock::now()) {
            this->write(direction);
            return;
        }
        pipe.timer.expires_at(pipe.chunks.front().due);
        pipe.timer.async_wait([self = shared_from_this(), direction](const error_code &) {
            self->pipes[direction].delivering = false;
            self->deliver(direction);
        });
    }

    void write(Direction direction)
    {
        Pipe &pipe = this->pipes[direction];
        const auto bytes = std::make_shared<std::string>(std::move(pipe.chunks.front().bytes));
        pipe.chunks.pop_front();
        if (bytes->empty()) {
            error_code ignored;
            pipe.to.shutdown(tcp::socket::shutdown_send, ignored);
            if (this->pipes[0].endOfStream && this->pipes[1].endOfStream) {
                this->close();
            }
            return;
        }
        const auto handler = [self = shared_from_this(), direction, bytes](const error_code &error, std::size_t) {
            Pipe &pipe = self->pipes[direction];
            pipe.delivering = false;
            pipe.bufferedBytes -= bytes->size();
            self->traffic.passed[direction] += bytes->size();
            if (error && !pipe.dropping) {
                self->close();
                return;
            }
            self->deliver(direction);
            self->read(direction);
        };
        boost::asio::async_write(pipe.to, boost::asio::buffer(*bytes), handler);
    }

    const Faults &faults;
    Traffic &traffic;
    tcp::socket client;
    tcp::socket server;
    std::array<Pipe, 2> pipes;
    bool closed = false;
};

/// One listening port and the address that its connections are forwarded to.
class Route
{
public:
    Route(boost::asio::io_context &context, std::uint16_t port, const std::string &target)
        : acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), port))
    {
        const std::size_t colon = target.rfind(':');
        this->target = tcp::endpoint(boost::asio::ip::make_address(target.substr(0, colon)),
                                     static_cast<std::uint16_t>(std::stoi(target.substr(colon + 1))));
        this->accept();
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

    /// Returns false if the command is unknown.
    bool command(const std::string &name, const RequestTarget &target)
    {
        if (name == "delay") {
            this->faults.delay = std::chrono::microseconds(static_cast<std::int64_t>(target.number("ms", 0) * 1000));
        } else if (name == "cut") {
            this->closeConnections();
        } else if (name == "silence") {
            this->blackhole();
        } else if (name == "oneway"
                   && (target.parameter("direction") == "up" || target.parameter("direction") == "down")) {
            this->faults.dropsData[target.parameter("direction") == "up" ? Up : Down] = true;
        } else if (name == "block") {
            this->faults.blocked = true;
        } else if (name == "heal") {
            this->heal();
        } else {
            return false;
        }
        return true;
    }

    nlohmann::json stats()
    {
        this->dropClosed();
        return { { "open", this->tunnels.size() },
                 { "unanswered", this->unacceptedSockets.size() },
                 { "accepted", this->acceptedCount },
                 { "passed-up", this->traffic.passed[Up] },
                 { "dropped-up", this->traffic.dropped[Up] },
                 { "passed-down", this->traffic.passed[Down] },
                 { "dropped-down", this->traffic.dropped[Down] } };
    }

private:
    void accept()
    {
        this->acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
            if (!error && this->faults.blocked) {
                this->unacceptedSockets.push_back(std::move(socket));
            } else if (!error) {
                this->open(std::move(socket));
            }
            this->accept();
        });
    }

    void open(tcp::socket socket)
    {
        this->dropClosed();
        ++this->acceptedCount;
        const auto tunnel = std::make_shared<Tunnel>(std::move(socket), this->faults, this->traffic);
        this->tunnels.insert(tunnel);
        tunnel->connect(this->target);
    }

    void dropClosed()
    {
        for (auto entry = this->tunnels.begin(); entry != this->tunnels.end();) {
            entry = (*entry)->isClosed() ? this->tunnels.erase(entry) : std::next(entry);
        }
    }

    void closeConnections()
    {
        for (const auto &tunnel : this->tunnels) {
            tunnel->close();
        }
        this->unacceptedSockets.clear();
    }

    void blackhole()
    {
        for (const auto &tunnel : this->tunnels) {
            tunnel->blackhole();
        }
    }

    /// Removes all faults. Connections that lost bytes keep dropping data; those that were not forwarded are forwarded
    /// now.
    void heal()
    {
        this->faults = Faults();
        std::vector<tcp::socket> pending = std::move(this->unacceptedSockets);
        this->unacceptedSockets.clear();
        for (tcp::socket &socket : pending) {
            this->open(std::move(socket));
        }
    }

    tcp::acceptor acceptor;
    tcp::endpoint target;
    Faults faults;
    Traffic traffic;
    std::set<std::shared_ptr<Tunnel>> tunnels;
    std::vector<tcp::socket> unacceptedSockets;
    std::uint64_t acceptedCount = 0;
};

class Proxy
{
public:
    explicit Proxy(boost::asio::io_context &context)
        : control(context)
    {
        for (const std::string &route : splitList(FLAGS_route)) {
            const std::size_t equals = route.find('=');
            this->add(context, std::stoi(route.substr(0, equals)), route.substr(equals + 1));
        }
        if (!FLAGS_target.empty()) {
            this->add(context, FLAGS_listen, FLAGS_target);
        }
        this->control.requestHandler = [this](const ConnectionPointer &connection, const HttpRequest &request) {
            connection->reply(this->handleRequest(request));
        };
        const std::uint16_t port = this->control.listen(static_cast<std::uint16_t>(FLAGS_control_port));
        this->readyText += " control=" + std::to_string(port);
    }

    std::string readyText;

private:
    void add(boost::asio::io_context &context, int port, const std::string &target)
    {
        this->routes.push_back(std::make_unique<Route>(context, static_cast<std::uint16_t>(port), target));
        this->readyText += (this->readyText.empty() ? "port=" : ",") + std::to_string(this->routes.back()->port());
    }

    /// Handles POST /<port|all>/<command> and GET /stats.
    HttpResponse handleRequest(const HttpRequest &request)
    {
        const RequestTarget target(request.target());
        const bool post = request.method() == boost::beast::http::verb::post;
        nlohmann::json report = nlohmann::json::object();
        int matched = 0;
        for (const auto &route : this->routes) {
            const std::string port = std::to_string(route->port());
            if (post && (target.segment(0) == "all" || target.segment(0) == port)) {
                matched += route->command(target.segment(1), target) ? 1 : 0;
            }
            report[port] = route->stats();
        }
        const bool ok = post ? matched > 0 : target.segment(0) == "stats";
        return ok ? jsonResponse(200, report) : jsonResponse(404, { { "error", "unknown route or command" } });
    }

    std::vector<std::unique_ptr<Route>> routes;
    HttpServer control;
};

}

int main(int argc, char **argv)
{
    parseArguments(argc, argv, "route");
    try {
        boost::asio::io_context context(1);
        Proxy proxy(context);
        runUntilSignal(context, proxy.readyText);
    } catch (const std::exception &problem) {
        std::cerr << "fault_proxy: " << problem.what() << std::endl;
        return 2;
    }
    return 0;
}
