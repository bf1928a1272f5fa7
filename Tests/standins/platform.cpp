// Stand-in for the configuration service of the platform. Values are read and watched on the main ports and published
// on the control port.
#include "httpserver.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <ctime>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>

DEFINE_string(port, "0", "main ports; may be repeated, 0 for any free port");
DEFINE_string(extra_port, "", "more main ports, comma-separated");
DEFINE_int32(control_port, 0, "port for publications, modes and call counts");
DEFINE_string(catalogue, "", "file with version 1 of the value catalogue");
DEFINE_string(instances, "", "file with version 1 of the value instances");

namespace
{

using namespace Standins;
namespace http = boost::beast::http;

/// Limit of the platform for the size of a value, 1 MB.
constexpr std::size_t maxValueBytes = 1024 * 1024;
constexpr double maxWaitMs = 60'000;

struct Value
{
    std::uint64_t version = 0;
    /// Response body {"version", "text"}, encoded once per publication.
    std::string encoded;
};

using Values = std::map<std::string, Value>;

Value makeValue(std::uint64_t version, const std::string &text)
{
    return { version, jsonResponse(200, { { "version", version }, { "text", text } }).body() };
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        std::cerr << "cannot read " << path << std::endl;
        std::exit(2);
    }
    return { std::istreambuf_iterator<char>(stream), {} };
}

/// Counts calls per second of CLOCK_BOOTTIME.
class CallCounter
{
public:
    void recordCall()
    {
        ++this->total;
        ++this->bySecond[currentSecond()];
    }

    nlohmann::json report() const
    {
        std::uint64_t peak = 0;
        nlohmann::json seconds = nlohmann::json::array();
        for (const auto &[when, calls] : this->bySecond) {
            peak = std::max(peak, calls);
            seconds.push_back({ when, calls });
        }
        const auto last = this->bySecond.find(currentSecond() - 1);
        return { { "total", this->total },
                 { "last-second", last == this->bySecond.end() ? 0 : last->second },
                 { "peak-per-second", peak },
                 { "per-second", seconds } };
    }

private:
    static std::int64_t currentSecond()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time.tv_sec;
    }

    std::uint64_t total = 0;
    std::map<std::int64_t, std::uint64_t> bySecond;
};

/// One main port, through which the values are read. Each has its own mode: ok, down, stale or slow.
class ReadPath
{
public:
    ReadPath(boost::asio::io_context &context, const Values &values, CallCounter &calls, std::uint16_t port)
        : context(context)
        , values(values)
        , calls(calls)
        , server(context)
    {
        this->server.acceptHandler = [this](const ConnectionPointer &) {
            return this->mode != "down";
        };
        this->server.requestHandler = [this](const ConnectionPointer &connection, const HttpRequest &request) {
            this->handleRequest(connection, request);
        };
        this->server.closeHandler = [this](const ConnectionPointer &connection) {
            this->watches.erase(connection);
        };
        this->boundPort = this->server.listen(port);
    }

    std::uint16_t port() const
    {
        return this->boundPort;
    }

    std::size_t openWatches() const
    {
        return this->watches.size();
    }

    void setMode(const std::string &name, double delayMs)
    {
        this->mode = name;
        this->delay = std::chrono::microseconds(static_cast<std::int64_t>(delayMs * 1000));
        this->frozenValues = this->values;
        if (name == "down") {
            this->server.closeAll();
        }
        this->completeWatches();
    }

    /// Responds to the watches whose value has a newer version than the client knows.
    void completeWatches()
    {
        for (auto entry = this->watches.begin(); entry != this->watches.end();) {
            const auto next = std::next(entry);
            const Value &value = this->current().at(entry->second.name);
            if (value.version > entry->second.after) {
                const ConnectionPointer connection = entry->first;
                this->watches.erase(entry);
                this->respond(connection, textResponse(200, value.encoded));
            }
            entry = next;
        }
    }

private:
    struct Watch
    {
        std::string name;
        std::uint64_t after = 0;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    const Values &current() const
    {
        return this->mode == "stale" ? this->frozenValues : this->values;
    }

    void handleRequest(const ConnectionPointer &connection, const HttpRequest &request)
    {
        this->calls.recordCall();
        const RequestTarget target(request.target());
        const std::string name = target.segment(2);
        const bool known = target.segment(0) == "v1" && target.segment(1) == "values" && target.path.size() == 3
            && this->values.count(name) > 0;
        if (request.method() != http::verb::get || !known) {
            const int status = request.method() != http::verb::get ? 405 : 404;
            this->respond(connection, jsonResponse(status, { { "error", "only GET /v1/values/<name> is offered" } }));
            return;
        }
        const Value &value = this->current().at(name);
        const auto after = std::strtoull(target.parameter("after", "0").c_str(), nullptr, 10);
        const double waitMs = std::min(target.number("wait-ms", 0), maxWaitMs);
        if (value.version > after) {
            this->respond(connection, textResponse(200, value.encoded));
        } else if (waitMs > 0) {
            this->startWatch(connection, name, after, waitMs);
        } else {
            this->respond(connection, textResponse(304, ""));
        }
    }

    void startWatch(const ConnectionPointer &connection, const std::string &name, std::uint64_t after, double waitMs)
    {
        auto timer = std::make_unique<boost::asio::steady_timer>(this->context);
        timer->expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(waitMs)));
        timer->async_wait([this, connection](const boost::system::error_code &error) {
            if (!error && this->watches.erase(connection) > 0) {
                this->respond(connection, textResponse(304, ""));
            }
        });
        this->watches[connection] = { name, after, std::move(timer) };
    }

    void respond(const ConnectionPointer &connection, HttpResponse response)
    {
        if (this->mode != "slow") {
            connection->reply(std::move(response));
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(this->context, this->delay);
        timer->async_wait([timer, connection, response = std::move(response)](const boost::system::error_code &) {
            connection->reply(response);
        });
    }

    boost::asio::io_context &context;
    const Values &values;
    CallCounter &calls;
    HttpServer server;
    std::uint16_t boundPort = 0;
    std::string mode = "ok";
    std::chrono::microseconds delay { 0 };
    /// The values at the time when the mode was set. The mode "stale" returns these.
    Values frozenValues;
    std::map<ConnectionPointer, Watch> watches;
};

class Platform
{
public:
    explicit Platform(boost::asio::io_context &context)
        : control(context)
    {
        this->values["catalogue"] = makeValue(1, readFile(FLAGS_catalogue));
        this->values["instances"] = makeValue(1, readFile(FLAGS_instances));
        std::string text = "port=";
        for (const std::string &port : splitList(FLAGS_port + "," + FLAGS_extra_port)) {
            const auto number = static_cast<std::uint16_t>(std::stoi(port));
            this->readPaths.push_back(std::make_unique<ReadPath>(context, this->values, this->calls, number));
            text += (this->readPaths.size() > 1 ? "," : "") + std::to_string(this->readPaths.back()->port());
        }
        this->control.requestHandler = [this](const ConnectionPointer &connection, const HttpRequest &request) {
            connection->reply(this->command(RequestTarget(request.target()), request));
        };
        const std::uint16_t port = this->control.listen(static_cast<std::uint16_t>(FLAGS_control_port));
        this->readyText = text + " control=" + std::to_string(port);
    }

    std::string readyText;

private:
    HttpResponse command(const RequestTarget &target, const HttpRequest &request)
    {
        const bool post = request.method() == http::verb::post;
        if (!post && target.segment(0) == "calls") {
            return this->report();
        }
        if (post && target.segment(0) == "publish" && this->values.count(target.segment(1)) > 0) {
            return this->publish(target.segment(1), request.body());
        }
        static const std::set<std::string> modes { "ok", "down", "stale", "slow" };
        if (post && target.segment(0) == "mode" && modes.count(target.segment(1)) > 0) {
            return this->setMode(target);
        }
        return jsonResponse(404, { { "error", "unknown command " + std::string(request.target()) } });
    }

    HttpResponse publish(const std::string &name, const std::string &text)
    {
        if (text.size() > maxValueBytes) {
            return jsonResponse(413, { { "error", "a value holds at most 1 MB" } });
        }
        Value &value = this->values[name];
        value = makeValue(value.version + 1, text);
        for (const auto &path : this->readPaths) {
            path->completeWatches();
        }
        return jsonResponse(200, { { "version", value.version } });
    }

    HttpResponse setMode(const RequestTarget &target)
    {
        const std::string port = target.parameter("port");
        int changed = 0;
        for (const auto &path : this->readPaths) {
            if (port.empty() || port == std::to_string(path->port())) {
                path->setMode(target.segment(1), target.number("ms", 0));
                ++changed;
            }
        }
        return jsonResponse(changed > 0 ? 200 : 404, { { "ports", changed } });
    }

    HttpResponse report() const
    {
        nlohmann::json report = this->calls.report();
        std::size_t openWatches = 0;
        for (const auto &path : this->readPaths) {
            openWatches += path->openWatches();
        }
        report["waiting"] = openWatches;
        return jsonResponse(200, report);
    }

    Values values;
    CallCounter calls;
    std::vector<std::unique_ptr<ReadPath>> readPaths;
    HttpServer control;
};

}

int main(int argc, char **argv)
{
    parseArguments(argc, argv, "port");
    boost::asio::io_context context(1);
    Platform platform(context);
    runUntilSignal(context, platform.readyText);
    return 0;
}
