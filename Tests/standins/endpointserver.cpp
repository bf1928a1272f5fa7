#include "endpointserver.h"

#include <boost/algorithm/string/predicate.hpp>
#include <cmath>

namespace Standins
{

namespace http = boost::beast::http;
using boost::algorithm::icontains;

namespace
{

/// Factor on the service time of a cold endpoint.
constexpr double coldFactor = 4;
/// How long a cold endpoint rejects all requests after it received more than its cold slots allow.
constexpr auto overloadTime = std::chrono::seconds(2);
/// Standard deviation of the logarithm of the service time.
constexpr double serviceTimeSigma = 0.3;

std::chrono::nanoseconds milliseconds(double value)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(value * 1e6));
}

std::string randomIncarnation()
{
    std::random_device device;
    return std::to_string(device()) + std::to_string(device());
}

}

struct EndpointServer::Run
{
    enum class State { Waiting, Running, Ended };

    Run(const ConnectionPointer &connection, boost::asio::io_context &context)
        : connection(connection)
        , timer(context)
    {
    }

    ConnectionPointer connection;
    boost::asio::steady_timer timer;
    State state = State::Waiting;
    std::string attemptId;
    std::string requestId;
    std::string organisation;
    std::uint64_t snapshot = 0;
    std::string shard;
    std::string body;
    Clock::time_point deadline = Clock::time_point::max();
};

EndpointServer::EndpointServer(boost::asio::io_context &context, EndpointSettings settings, RunLog &log)
    : context(context)
    , ownSettings(std::move(settings))
    , runLog(log)
    , server(context)
    , random(this->ownSettings.seed)
    , incarnation(randomIncarnation())
    , coldUntil(Clock::now() + milliseconds(this->ownSettings.coldMs))
{
    for (const auto &[version, documents] : this->ownSettings.documents) {
        this->versions.insert(version);
    }
    this->server.acceptHandler = [this](const ConnectionPointer &connection) {
        return this->acceptConnection(connection);
    };
    this->server.requestHandler = [this](const ConnectionPointer &connection, const HttpRequest &request) {
        this->handleRequest(connection, request);
    };
    this->server.closeHandler = [this](const ConnectionPointer &connection) {
        const auto found = this->runByConnection.find(connection);
        if (found != this->runByConnection.end()) {
            this->cancel(RunPointer(found->second), "connection-closed");
        }
    };
}

void EndpointServer::listen()
{
    this->ownSettings.port = this->server.listen(this->ownSettings.port);
}

const EndpointSettings &EndpointServer::settings() const
{
    return this->ownSettings;
}

bool EndpointServer::acceptConnection(const ConnectionPointer &connection)
{
    const std::size_t count = this->server.connectionCount() + 1;
    this->maxConnections = std::max(this->maxConnections, count);
    if (count <= static_cast<std::size_t>(this->ownSettings.connections)) {
        return true;
    }
    ++this->capViolations;
    connection->aboveCap = true;
    return this->respondsAboveCap;
}

void EndpointServer::countLeakedKeys(const HttpRequest &request)
{
    const auto holdsKey = [this](std::string_view text) {
        return std::any_of(this->ownSettings.callerKeys.begin(),
                           this->ownSettings.callerKeys.end(),
                           [&](const std::string &key) { return text.find(key) != std::string_view::npos; });
    };
    for (const auto &field : request) {
        const bool hasKey = icontains(field.name_string(), "authorization") || icontains(field.name_string(), "api-key")
            || icontains(field.name_string(), "cookie") || icontains(field.value(), "bearer ")
            || holdsKey(field.value());
        this->leakedKeys += hasKey ? 1 : 0;
    }
    this->leakedKeys += holdsKey(request.body()) ? 1 : 0;
}

void EndpointServer::handleRequest(const ConnectionPointer &connection, const HttpRequest &request)
{
    this->countLeakedKeys(request);
    const std::string_view path = request.target();
    if (request.method() == http::verb::post && path == "/run") {
        const RunPointer run = this->makeRun(connection, request);
        if (connection->requestCount > 1 || this->ownSettings.connectMs <= 0) {
            this->admit(run);
            return;
        }
        run->timer.expires_after(milliseconds(this->ownSettings.connectMs));
        run->timer.async_wait([this, run](const boost::system::error_code &error) {
            if (!error && run->state == Run::State::Waiting) {
                this->admit(run);
            }
        });
    } else if (request.method() == http::verb::post && path.substr(0, 8) == "/cancel/") {
        const auto found = this->runByAttempt.find(std::string(path.substr(8)));
        const RunPointer run = found == this->runByAttempt.end() ? nullptr : found->second;
        if (run) {
            const bool ran = this->cancel(run, "cancel");
            HttpResponse response = jsonResponse(ran ? 409 : 503, { { "error", "cancelled" } });
            if (!ran) {
                response.set("Lycheewall-Not-Run", "shed");
            }
            run->connection->reply(std::move(response));
        }
        connection->reply(jsonResponse(200, { { "cancelled", run != nullptr } }));
    } else if (request.method() == http::verb::get && path == "/health") {
        connection->reply(jsonResponse(200, this->health()));
    } else {
        connection->reply(jsonResponse(404, { { "error", "unknown route" } }));
    }
}

EndpointServer::RunPointer EndpointServer::makeRun(const ConnectionPointer &connection, const HttpRequest &request)
{
    const RunPointer run = std::make_shared<Run>(connection, this->context);
    run->attemptId = std::string(request["Lycheewall-Attempt"]);
    run->requestId = std::string(request["Lycheewall-Request"]);
    run->organisation = std::string(request["Lycheewall-Organisation"]);
    run->snapshot = std::strtoull(std::string(request["Lycheewall-Snapshot"]).c_str(), nullptr, 10);
    run->shard = std::string(request["Lycheewall-Shard"]);
    run->body = request.body();
    const std::string remaining(request["Lycheewall-Deadline-Ms"]);
    if (!remaining.empty()) {
        run->deadline = Clock::now() + milliseconds(std::strtod(remaining.c_str(), nullptr));
    }
    this->runByConnection[connection] = run;
    this->runByAttempt[run->attemptId] = run;
    return run;
}

std::string EndpointServer::rejectionReason(const Run &run)
{
    const auto now = Clock::now();
    if (run.connection->aboveCap) {
        return "connections";
    }
    if (this->draining) {
        return "draining";
    }
    if (this->shedding || now < this->overloadedUntil || run.deadline <= now) {
        return "shed";
    }
    const bool loaded = this->versions.count(run.snapshot) > 0 && this->ownSettings.documents.count(run.snapshot) > 0;
    if (this->ownSettings.sharded && (!loaded || run.shard != this->ownSettings.group)) {
        return "version";
    }
    if (this->isCold() && this->running >= this->ownSettings.coldSlots) {
        ++this->coldViolations;
        this->overloadedUntil = now + overloadTime;
        return "cold";
    }
    const bool full = this->running >= this->capacity() && this->queue.size() >= this->ownSettings.queueBound;
    return full ? "shed" : "";
}

void EndpointServer::admit(const RunPointer &run)
{
    const std::string reason = this->rejectionReason(*run);
    if (!reason.empty()) {
        this->reject(run, reason);
    } else if (this->running < this->capacity() && this->queue.empty()) {
        this->start(run);
    } else {
        this->queue.push_back(run);
    }
}

void EndpointServer::start(const RunPointer &run)
{
    run->state = Run::State::Running;
    ++this->started;
    ++this->running;
    this->maxConcurrent = std::max(this->maxConcurrent, this->running);
    this->lastStart = bootTimeNanoseconds();
    this->log(*run, "started", "");
    run->timer.expires_after(this->serviceTime());
    run->timer.async_wait([this, run](const boost::system::error_code &error) {
        if (!error && run->state == Run::State::Running) {
            this->finish(run);
        }
    });
}

EndpointServer::Clock::duration EndpointServer::serviceTime()
{
    std::lognormal_distribution<double> spread(-serviceTimeSigma * serviceTimeSigma / 2, serviceTimeSigma);
    double time = this->ownSettings.serviceMs * this->serviceTimeFactor * spread(this->random);
    if (std::uniform_real_distribution<double>()(this->random) < this->ownSettings.stragglerFraction) {
        time *= this->ownSettings.stragglerFactor;
    }
    return milliseconds(this->isCold() ? time * coldFactor : time);
}

void EndpointServer::finish(const RunPointer &run)
{
    this->remove(run);
    --this->running;
    ++this->finished;
    this->log(*run, "finished", "");
    const auto found = this->ownSettings.documents.find(run->snapshot);
    const std::string documents = std::to_string(found == this->ownSettings.documents.end() ? 0 : found->second);
    const std::string snapshot = std::to_string(run->snapshot);
    const std::string echo = nlohmann::json::accept(run->body) ? run->body : jsonString(run->body);
    HttpResponse response = textResponse(
        200,
        "{\"documents\":" + documents + ",\"result\":[{\"group\":" + jsonString(run->shard)
            + ",\"snapshot\":" + snapshot + ",\"request\":" + jsonString(run->requestId) + ",\"echo\":" + echo + "}]}");
    response.set("Lycheewall-Snapshot", snapshot);
    response.set("Lycheewall-Shard", run->shard);
    response.set("Lycheewall-Incarnation", this->incarnation);
    run->connection->reply(std::move(response));
    this->startQueued();
}

void EndpointServer::reject(const RunPointer &run, const std::string &reason)
{
    this->remove(run);
    ++this->refused;
    this->log(*run, "refused", reason);
    HttpResponse response = jsonResponse(503, { { "error", reason } });
    response.set("Lycheewall-Not-Run", reason);
    response.set("Lycheewall-Incarnation", this->incarnation);
    response.keep_alive(!run->connection->aboveCap);
    run->connection->reply(std::move(response));
}

bool EndpointServer::cancel(const RunPointer &run, const std::string &reason)
{
    const bool ran = run->state == Run::State::Running;
    this->remove(run);
    run->timer.cancel();
    if (ran) {
        --this->running;
        ++this->cancelled;
        this->log(*run, "cancelled", reason);
        this->startQueued();
    } else {
        ++this->refused;
        this->log(*run, "refused", reason);
    }
    return ran;
}

void EndpointServer::remove(const RunPointer &run)
{
    run->state = Run::State::Ended;
    this->runByConnection.erase(run->connection);
    const auto attempt = this->runByAttempt.find(run->attemptId);
    if (attempt != this->runByAttempt.end() && attempt->second == run) {
        this->runByAttempt.erase(attempt);
    }
    const auto position = std::find(this->queue.begin(), this->queue.end(), run);
    if (position != this->queue.end()) {
        this->queue.erase(position);
    }
}

void EndpointServer::cancelAll(const std::string &reason)
{
    // Waiting runs are cancelled first, so that none of them starts when a slot becomes free.
    for (const auto state : { Run::State::Waiting, Run::State::Running }) {
        const auto copy = this->runByConnection;
        for (const auto &[connection, run] : copy) {
            if (run->state == state) {
                this->cancel(run, reason);
            }
        }
    }
}

void EndpointServer::startQueued()
{
    while (!this->queue.empty() && this->running < this->capacity()) {
        const RunPointer run = this->queue.front();
        this->queue.pop_front();
        if (run->deadline <= Clock::now()) {
            this->reject(run, "shed");
        } else {
            this->start(run);
        }
    }
}

bool EndpointServer::isCold() const
{
    return Clock::now() < this->coldUntil;
}

int EndpointServer::capacity() const
{
    return this->isCold() ? this->ownSettings.coldSlots : this->ownSettings.slots;
}

void EndpointServer::restart(double coldMs)
{
    this->cancelAll("restart");
    this->server.closeAll();
    this->incarnation = randomIncarnation();
    this->overloadedUntil = {};
    this->coldUntil = Clock::now() + milliseconds(coldMs);
}

nlohmann::json EndpointServer::health()
{
    if (this->healthReport.is_null() || Clock::now() - this->healthReportTime >= this->healthMaxAge) {
        this->healthReportTime = Clock::now();
        const char *state = this->draining ? "draining" : (this->isCold() ? "cold" : "ok");
        const double load = static_cast<double>(this->running) / this->ownSettings.slots;
        this->healthReport = { { "state", state },
                               { "load", load },
                               { "running", this->running },
                               { "queued", this->queue.size() },
                               { "slots", this->ownSettings.slots },
                               { "versions", this->versions },
                               { "incarnation", this->incarnation } };
    }
    nlohmann::json report = this->healthReport;
    report.update(this->healthOverrides);
    return report;
}

void EndpointServer::publishSnapshot(const RequestTarget &target, const std::string &body)
{
    const auto version = static_cast<std::uint64_t>(target.number("version", 0));
    const nlohmann::json documents = nlohmann::json::parse(body);
    if (documents.contains(this->ownSettings.group)) {
        this->ownSettings.documents[version] = documents.at(this->ownSettings.group);
    }
}

const std::map<std::string, EndpointServer::Command> &EndpointServer::commands()
{
    using Self = EndpointServer;
    using Text = std::string;
    static const std::map<Text, Command> table {
        { "drain",
          [](Self &self, const RequestTarget &to, const Text &) {
              self.draining = to.parameter("on", "1") != "0";
          } },
        { "shed",
          [](Self &self, const RequestTarget &to, const Text &) {
              self.shedding = to.parameter("on", "1") != "0";
          } },
        { "scale",
          [](Self &self, const RequestTarget &to, const Text &) {
              self.serviceTimeFactor = to.number("factor", 1);
          } },
        { "service",
          [](Self &self, const RequestTarget &to, const Text &) {
              self.ownSettings.serviceMs = to.number("ms", self.ownSettings.serviceMs);
              self.ownSettings.stragglerFraction = to.number("straggler-share", self.ownSettings.stragglerFraction);
          } },
        { "connect",
          [](Self &self, const RequestTarget &to, const Text &) {
              self.ownSettings.connectMs = to.number("ms", 0);
          } },
        { "connections",
          [](Self &self, const RequestTarget &to, const Text &) {
              self.ownSettings.connections = static_cast<int>(to.number("cap", self.ownSettings.connections));
              self.respondsAboveCap = to.parameter("answer", "0") != "0";
          } },
        { "cold",
          [](Self &self, const RequestTarget &to, const Text &) {
              self.coldUntil = Clock::now() + milliseconds(to.number("ms", self.ownSettings.coldMs));
          } },
        { "restart",
          [](Self &self, const RequestTarget &to, const Text &) {
              self.restart(to.number("ms", self.ownSettings.coldMs));
          } },
        { "stop",
          [](Self &self, const RequestTarget &, const Text &) {
              self.server.stopListening();
              self.restart(0);
          } },
        { "start",
          [](Self &self, const RequestTarget &to, const Text &) {
              self.server.listen(self.ownSettings.port);
              self.restart(to.number("ms", self.ownSettings.coldMs));
          } },
        { "silence",
          [](Self &self, const RequestTarget &, const Text &) {
              self.server.makeUnresponsive();
          } },
        { "snapshot",
          [](Self &self, const RequestTarget &to, const Text &body) {
              self.publishSnapshot(to, body);
          } },
        { "versions",
          [](Self &self, const RequestTarget &to, const Text &) {
              std::set<std::uint64_t> versions;
              for (const Text &version : splitList(to.parameter("list"))) {
                  versions.insert(std::stoull(version));
              }
              self.versions = std::move(versions);
          } },
        { "health",
          [](Self &self, const RequestTarget &to, const Text &body) {
              self.healthMaxAge = std::chrono::milliseconds(static_cast<int>(to.number("lag-ms", 0)));
              self.healthOverrides = body.empty() ? nlohmann::json::object() : nlohmann::json::parse(body);
          } },
    };
    return table;
}

std::string EndpointServer::command(const std::string &name, const RequestTarget &target, const std::string &body)
{
    const auto found = commands().find(name);
    if (found == commands().end()) {
        return "unknown command " + name;
    }
    try {
        found->second(*this, target, body);
    } catch (const std::exception &problem) {
        return name + ": " + problem.what();
    }
    return "";
}

nlohmann::json EndpointServer::stats() const
{
    return { { "pool", this->ownSettings.pool },
             { "group", this->ownSettings.group },
             { "zone", this->ownSettings.zone },
             { "port", this->ownSettings.port },
             { "incarnation", this->incarnation },
             { "started", this->started },
             { "finished", this->finished },
             { "cancelled", this->cancelled },
             { "refused", this->refused },
             { "running", this->running },
             { "queued", this->queue.size() },
             { "connections", this->server.connectionCount() },
             { "cap-violations", this->capViolations },
             { "cold-violations", this->coldViolations },
             { "max-concurrent", this->maxConcurrent },
             { "max-connections", this->maxConnections },
             { "last-start", this->lastStart },
             { "key-headers", this->leakedKeys } };
}

void EndpointServer::log(const Run &run, const char *event, const std::string &reason)
{
    const auto found = this->ownSettings.documents.find(run.snapshot);
    std::string line;
    line.reserve(320);
    line += "{\"time\":" + std::to_string(bootTimeNanoseconds());
    line += ",\"event\":\"" + std::string(event) + "\",\"reason\":\"" + reason;
    line += "\",\"endpoint\":" + jsonString(this->ownSettings.id) + ",\"zone\":" + jsonString(this->ownSettings.zone);
    line += ",\"pool\":" + jsonString(this->ownSettings.pool) + ",\"attempt\":" + jsonString(run.attemptId);
    line += ",\"request\":" + jsonString(run.requestId) + ",\"organisation\":" + jsonString(run.organisation);
    line += ",\"snapshot\":" + std::to_string(run.snapshot) + ",\"shard\":" + jsonString(run.shard);
    line += ",\"documents\":" + std::to_string(found == this->ownSettings.documents.end() ? 0 : found->second) + "}\n";
    this->runLog.append(line);
}

}
