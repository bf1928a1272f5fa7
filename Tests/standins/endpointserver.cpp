#include "endpointserver.h"

#include <boost/algorithm/string/predicate.hpp>
#include <cmath>

namespace Standins
{

namespace http = boost::beast::http;
using boost::algorithm::icontains;

namespace
{

/// A cold endpoint needs this many times longer.
constexpr double coldFactor = 4;
constexpr auto fallenTime = std::chrono::seconds(2);
/// Spread of the service time: standard deviation of its logarithm.
constexpr double serviceSigma = 0.3;

std::chrono::nanoseconds milliseconds(double value)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(value * 1e6));
}

std::string randomName()
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
    std::string attempt;
    std::string request;
    std::string organisation;
    std::uint64_t snapshot = 0;
    std::string shard;
    std::string body;
    Clock::time_point deadline = Clock::time_point::max();
};

EndpointServer::EndpointServer(boost::asio::io_context &context, EndpointSettings settings, RunLog &log)
    : context(context)
    , own(std::move(settings))
    , runLog(log)
    , server(context)
    , random(this->own.seed)
    , incarnation(randomName())
    , coldUntil(Clock::now() + milliseconds(this->own.coldMs))
{
    for (const auto &[version, documents] : this->own.documents) {
        this->versions.insert(version);
    }
    this->server.accepted = [this](const ConnectionPointer &connection) {
        return this->acceptConnection(connection);
    };
    this->server.requested = [this](const ConnectionPointer &connection, const HttpRequest &request) {
        this->request(connection, request);
    };
    this->server.closed = [this](const ConnectionPointer &connection) {
        const auto found = this->active.find(connection);
        if (found != this->active.end()) {
            this->cancel(RunPointer(found->second), "connection-closed");
        }
    };
}

void EndpointServer::listen()
{
    this->own.port = this->server.listen(this->own.port);
}

const EndpointSettings &EndpointServer::settings() const
{
    return this->own;
}

bool EndpointServer::acceptConnection(const ConnectionPointer &connection)
{
    const std::size_t count = this->server.connectionCount() + 1;
    this->maxConnections = std::max(this->maxConnections, count);
    if (count <= static_cast<std::size_t>(this->own.connections)) {
        return true;
    }
    ++this->capViolations;
    connection->marked = true;
    return this->answersAboveCap;
}

void EndpointServer::inspect(const HttpRequest &request)
{
    const auto holdsKey = [this](std::string_view text) {
        return std::any_of(this->own.callerKeys.begin(), this->own.callerKeys.end(), [&](const std::string &key) {
            return text.find(key) != std::string_view::npos;
        });
    };
    for (const auto &field : request) {
        const bool suspicious = icontains(field.name_string(), "authorization")
            || icontains(field.name_string(), "api-key") || icontains(field.name_string(), "cookie")
            || icontains(field.value(), "bearer ") || holdsKey(field.value());
        this->keyHeaders += suspicious ? 1 : 0;
    }
    this->keyHeaders += holdsKey(request.body()) ? 1 : 0;
}

void EndpointServer::request(const ConnectionPointer &connection, const HttpRequest &request)
{
    this->inspect(request);
    const std::string_view path = request.target();
    if (request.method() == http::verb::post && path == "/run") {
        const RunPointer run = this->makeRun(connection, request);
        if (connection->requests > 1 || this->own.connectMs <= 0) {
            this->arrive(run);
            return;
        }
        run->timer.expires_after(milliseconds(this->own.connectMs));
        run->timer.async_wait([this, run](const boost::system::error_code &error) {
            if (!error && run->state == Run::State::Waiting) {
                this->arrive(run);
            }
        });
    } else if (request.method() == http::verb::post && path.substr(0, 8) == "/cancel/") {
        const auto found = this->attempts.find(std::string(path.substr(8)));
        const RunPointer run = found == this->attempts.end() ? nullptr : found->second;
        if (run) {
            const bool ran = this->cancel(run, "cancel");
            HttpResponse answer = jsonResponse(ran ? 409 : 503, { { "error", "cancelled" } });
            if (!ran) {
                answer.set("Lycheewall-Not-Run", "shed");
            }
            run->connection->reply(std::move(answer));
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
    run->attempt = std::string(request["Lycheewall-Attempt"]);
    run->request = std::string(request["Lycheewall-Request"]);
    run->organisation = std::string(request["Lycheewall-Organisation"]);
    run->snapshot = std::strtoull(std::string(request["Lycheewall-Snapshot"]).c_str(), nullptr, 10);
    run->shard = std::string(request["Lycheewall-Shard"]);
    run->body = request.body();
    const std::string remaining(request["Lycheewall-Deadline-Ms"]);
    if (!remaining.empty()) {
        run->deadline = Clock::now() + milliseconds(std::strtod(remaining.c_str(), nullptr));
    }
    this->active[connection] = run;
    this->attempts[run->attempt] = run;
    return run;
}

std::string EndpointServer::refusal(const Run &run)
{
    const auto now = Clock::now();
    if (run.connection->marked) {
        return "connections";
    }
    if (this->draining) {
        return "draining";
    }
    if (this->shedding || now < this->fallenUntil || run.deadline <= now) {
        return "shed";
    }
    const bool here = this->versions.count(run.snapshot) > 0 && this->own.documents.count(run.snapshot) > 0;
    if (this->own.sharded && (!here || run.shard != this->own.group)) {
        return "version";
    }
    if (this->isCold() && this->running >= this->own.coldSlots) {
        ++this->coldViolations;
        this->fallenUntil = now + fallenTime;
        return "cold";
    }
    const bool full = this->running >= this->capacity() && this->queue.size() >= this->own.queueBound;
    return full ? "shed" : "";
}

void EndpointServer::arrive(const RunPointer &run)
{
    const std::string reason = this->refusal(*run);
    if (!reason.empty()) {
        this->refuse(run, reason);
    } else if (this->running < this->capacity() && this->queue.empty()) {
        this->begin(run);
    } else {
        this->queue.push_back(run);
    }
}

void EndpointServer::begin(const RunPointer &run)
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
    std::lognormal_distribution<double> spread(-serviceSigma * serviceSigma / 2, serviceSigma);
    double time = this->own.serviceMs * this->scale * spread(this->random);
    if (std::uniform_real_distribution<double>()(this->random) < this->own.stragglerShare) {
        time *= this->own.stragglerFactor;
    }
    return milliseconds(this->isCold() ? time * coldFactor : time);
}

void EndpointServer::finish(const RunPointer &run)
{
    this->forget(run);
    --this->running;
    ++this->finished;
    this->log(*run, "finished", "");
    const auto found = this->own.documents.find(run->snapshot);
    const std::string documents = std::to_string(found == this->own.documents.end() ? 0 : found->second);
    const std::string snapshot = std::to_string(run->snapshot);
    const std::string echo = nlohmann::json::accept(run->body) ? run->body : jsonString(run->body);
    HttpResponse answer = textResponse(200,
                                       "{\"documents\":" + documents + ",\"result\":[{\"group\":"
                                           + jsonString(run->shard) + ",\"snapshot\":" + snapshot
                                           + ",\"request\":" + jsonString(run->request) + ",\"echo\":" + echo + "}]}");
    answer.set("Lycheewall-Snapshot", snapshot);
    answer.set("Lycheewall-Shard", run->shard);
    answer.set("Lycheewall-Incarnation", this->incarnation);
    run->connection->reply(std::move(answer));
    this->startQueued();
}

void EndpointServer::refuse(const RunPointer &run, const std::string &reason)
{
    this->forget(run);
    ++this->refused;
    this->log(*run, "refused", reason);
    HttpResponse answer = jsonResponse(503, { { "error", reason } });
    answer.set("Lycheewall-Not-Run", reason);
    answer.set("Lycheewall-Incarnation", this->incarnation);
    answer.keep_alive(!run->connection->marked);
    run->connection->reply(std::move(answer));
}

bool EndpointServer::cancel(const RunPointer &run, const std::string &reason)
{
    const bool ran = run->state == Run::State::Running;
    this->forget(run);
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

void EndpointServer::forget(const RunPointer &run)
{
    run->state = Run::State::Ended;
    this->active.erase(run->connection);
    const auto attempt = this->attempts.find(run->attempt);
    if (attempt != this->attempts.end() && attempt->second == run) {
        this->attempts.erase(attempt);
    }
    const auto place = std::find(this->queue.begin(), this->queue.end(), run);
    if (place != this->queue.end()) {
        this->queue.erase(place);
    }
}

void EndpointServer::cancelAll(const std::string &reason)
{
    // Waiting runs first, so that none starts in the place of a cancelled one.
    for (const auto state : { Run::State::Waiting, Run::State::Running }) {
        const auto copy = this->active;
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
            this->refuse(run, "shed");
        } else {
            this->begin(run);
        }
    }
}

bool EndpointServer::isCold() const
{
    return Clock::now() < this->coldUntil;
}

int EndpointServer::capacity() const
{
    return this->isCold() ? this->own.coldSlots : this->own.slots;
}

void EndpointServer::restart(double coldMs)
{
    this->cancelAll("restart");
    this->server.closeAll();
    this->incarnation = randomName();
    this->fallenUntil = {};
    this->coldUntil = Clock::now() + milliseconds(coldMs);
}

nlohmann::json EndpointServer::health()
{
    if (this->healthReport.is_null() || Clock::now() - this->healthTaken >= this->healthLag) {
        this->healthTaken = Clock::now();
        const char *state = this->draining ? "draining" : (this->isCold() ? "cold" : "ok");
        const double load = static_cast<double>(this->running) / this->own.slots;
        this->healthReport = { { "state", state },
                               { "load", load },
                               { "running", this->running },
                               { "queued", this->queue.size() },
                               { "slots", this->own.slots },
                               { "versions", this->versions },
                               { "incarnation", this->incarnation } };
    }
    nlohmann::json report = this->healthReport;
    report.update(this->falseHealth);
    return report;
}

void EndpointServer::snapshot(const Target &target, const std::string &body)
{
    const auto version = static_cast<std::uint64_t>(target.number("version", 0));
    const nlohmann::json documents = nlohmann::json::parse(body);
    if (documents.contains(this->own.group)) {
        this->own.documents[version] = documents.at(this->own.group);
    }
}

const std::map<std::string, EndpointServer::Command> &EndpointServer::commands()
{
    using Self = EndpointServer;
    using Text = std::string;
    static const std::map<Text, Command> table {
        { "drain",
          [](Self &self, const Target &to, const Text &) {
              self.draining = to.get("on", "1") != "0";
          } },
        { "shed",
          [](Self &self, const Target &to, const Text &) {
              self.shedding = to.get("on", "1") != "0";
          } },
        { "scale",
          [](Self &self, const Target &to, const Text &) {
              self.scale = to.number("factor", 1);
          } },
        { "service",
          [](Self &self, const Target &to, const Text &) {
              self.own.serviceMs = to.number("ms", self.own.serviceMs);
              self.own.stragglerShare = to.number("straggler-share", self.own.stragglerShare);
          } },
        { "connect",
          [](Self &self, const Target &to, const Text &) {
              self.own.connectMs = to.number("ms", 0);
          } },
        { "connections",
          [](Self &self, const Target &to, const Text &) {
              self.own.connections = static_cast<int>(to.number("cap", self.own.connections));
              self.answersAboveCap = to.get("answer", "0") != "0";
          } },
        { "cold",
          [](Self &self, const Target &to, const Text &) {
              self.coldUntil = Clock::now() + milliseconds(to.number("ms", self.own.coldMs));
          } },
        { "restart",
          [](Self &self, const Target &to, const Text &) {
              self.restart(to.number("ms", self.own.coldMs));
          } },
        { "stop",
          [](Self &self, const Target &, const Text &) {
              self.server.stopListening();
              self.restart(0);
          } },
        { "start",
          [](Self &self, const Target &to, const Text &) {
              self.server.listen(self.own.port);
              self.restart(to.number("ms", self.own.coldMs));
          } },
        { "silence",
          [](Self &self, const Target &, const Text &) {
              self.server.silence();
          } },
        { "snapshot",
          [](Self &self, const Target &to, const Text &body) {
              self.snapshot(to, body);
          } },
        { "versions",
          [](Self &self, const Target &to, const Text &) {
              std::set<std::uint64_t> versions;
              for (const Text &version : splitList(to.get("list"))) {
                  versions.insert(std::stoull(version));
              }
              self.versions = std::move(versions);
          } },
        { "health",
          [](Self &self, const Target &to, const Text &body) {
              self.healthLag = std::chrono::milliseconds(static_cast<int>(to.number("lag-ms", 0)));
              self.falseHealth = body.empty() ? nlohmann::json::object() : nlohmann::json::parse(body);
          } },
    };
    return table;
}

std::string EndpointServer::command(const std::string &name, const Target &target, const std::string &body)
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
    return { { "pool", this->own.pool },
             { "group", this->own.group },
             { "zone", this->own.zone },
             { "port", this->own.port },
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
             { "key-headers", this->keyHeaders } };
}

void EndpointServer::log(const Run &run, const char *event, const std::string &reason)
{
    const auto found = this->own.documents.find(run.snapshot);
    std::string line;
    line.reserve(320);
    line += "{\"time\":" + std::to_string(bootTimeNanoseconds());
    line += ",\"event\":\"" + std::string(event) + "\",\"reason\":\"" + reason;
    line += "\",\"endpoint\":" + jsonString(this->own.id) + ",\"zone\":" + jsonString(this->own.zone);
    line += ",\"pool\":" + jsonString(this->own.pool) + ",\"attempt\":" + jsonString(run.attempt);
    line += ",\"request\":" + jsonString(run.request) + ",\"organisation\":" + jsonString(run.organisation);
    line += ",\"snapshot\":" + std::to_string(run.snapshot) + ",\"shard\":" + jsonString(run.shard);
    line += ",\"documents\":" + std::to_string(found == this->own.documents.end() ? 0 : found->second) + "}\n";
    this->runLog.append(line);
}

}
