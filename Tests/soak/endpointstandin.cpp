#include "endpointstandin.h"

#include <array>
#include <functional>
#include <iomanip>
#include <sstream>

namespace Soak
{

namespace
{

/// Mean time that an endpoint works on a request.
constexpr double meanWorkMs = 12;
/// One in this many requests takes ten times as long.
constexpr int tailOneIn = 50;
/// One in this many requests fails after it has run, with one of these statuses.
constexpr std::size_t failureOneIn = 20;
constexpr std::array<int, 4> failures { 500, 503, 429, 408 };
constexpr std::size_t recordBytes = 16;
constexpr std::size_t recordsPerPart = 4;

}

EndpointStandin::EndpointStandin(boost::asio::io_context &context,
                                 Observations &allObservations,
                                 std::string id,
                                 std::string serviceName,
                                 std::string endpointZone,
                                 std::vector<StatementSpan> statementSpans,
                                 unsigned seed)
    : io(context)
    , observations(allObservations)
    , endpointId(std::move(id))
    , service(std::move(serviceName))
    , zoneName(std::move(endpointZone))
    , spans(std::move(statementSpans))
    , random(seed)
    , server(context)
    , port(0)
{
    this->server.requestHandler
        = [this](const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request) {
              this->handle(connection, request);
          };
    this->port = this->server.listen(0);
}

const std::string &EndpointStandin::id() const
{
    return this->endpointId;
}

std::string EndpointStandin::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

const std::string &EndpointStandin::zone() const
{
    return this->zoneName;
}

std::string EndpointStandin::entry(const std::string &publishedAddress, int start) const
{
    constexpr std::int64_t firstStartMs = 1700000000123;
    const nlohmann::json entry { { "Service", this->service },
                                 { "Address", publishedAddress },
                                 { "Zone", this->zoneName },
                                 { "Version", "v1" },
                                 { "Slots", 8 },
                                 { "State", "ready" },
                                 { "WarmupLeftMs", 0 },
                                 { "Sequence", 1 },
                                 { "born", firstStartMs + start } };
    return entry.dump();
}

void EndpointStandin::restart()
{
    this->spans.clear();
}

std::string EndpointStandin::stampOf(const std::string &attemptId, const std::string &endpoint)
{
    return attemptId + "." + endpoint;
}

std::string EndpointStandin::bodyOf(const std::string &stamp)
{
    std::ostringstream body;
    for (std::size_t record = 0; record < recordsPerPart; ++record) {
        body << std::hex << std::setfill('0') << std::setw(recordBytes)
             << std::hash<std::string>()(stamp + std::to_string(record));
    }
    return body.str();
}

int EndpointStandin::statusOf(const std::string &stamp)
{
    const std::size_t hash = std::hash<std::string>()(stamp);
    return hash % failureOneIn == 0 ? failures[hash / failureOneIn % failures.size()] : 200;
}

const StatementSpan *EndpointStandin::currentSpan(Statement::Kind kind) const
{
    const double now = elapsedSeconds();
    for (const StatementSpan &span : this->spans) {
        if (span.kind == kind && now >= span.from && now < span.until) {
            return &span;
        }
    }
    return nullptr;
}

void EndpointStandin::addStatements(Standins::HttpResponse &response, const std::string &attemptId, bool isRefusal)
{
    const auto say = [&](Statement::Kind kind, double value, const char *field, const std::string &text) {
        response.set(field, text);
        this->observations.record(
            Statement { elapsedSeconds(), instanceOf(attemptId), this->endpointId, attemptId, kind, value });
    };
    if (const StatementSpan *limit = this->currentSpan(Statement::Kind::RateLimit)) {
        say(Statement::Kind::RateLimit, limit->value, "Server-Limit", std::to_string(limit->value));
    }
    if (this->currentSpan(Statement::Kind::Leaving) != nullptr) {
        say(Statement::Kind::Leaving, 0, "Server-Leaving", "1");
    }
    const StatementSpan *backoff = this->currentSpan(Statement::Kind::Backoff);
    if (backoff != nullptr && isRefusal) {
        say(Statement::Kind::Backoff, backoff->value, "Retry-After", std::to_string(backoff->value));
    }
}

void EndpointStandin::handle(const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request)
{
    const std::string attemptId(request["X-Lycheewall-Attempt-Id"]);
    const bool isTarget = request["X-Lycheewall-Target-Instance"] == this->endpointId;
    const bool isRefusal = !isTarget || this->currentSpan(Statement::Kind::Backoff) != nullptr;
    this->observations.record(Arrival { elapsedSeconds(),
                                        attemptId,
                                        this->endpointId,
                                        this->service,
                                        !isRefusal,
                                        std::string(request["X-Lycheewall-Tenant"]),
                                        request.count("Authorization") > 0 });
    if (isRefusal) {
        Standins::HttpResponse refusal = Standins::textResponse(isTarget ? 503 : 421, "");
        refusal.set("X-Lycheewall-Attempt-Id", attemptId);
        refusal.set("X-Lycheewall-Not-Executed", "1");
        this->addStatements(refusal, attemptId, true);
        connection->reply(std::move(refusal));
        return;
    }
    std::exponential_distribution<double> work(1 / meanWorkMs);
    const bool isTail = std::uniform_int_distribution<int>(1, tailOneIn)(this->random) == 1;
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->io);
    timer->expires_after(std::chrono::microseconds(static_cast<int>(1000 * work(this->random) * (isTail ? 10 : 1))));
    timer->async_wait([this, timer, connection, attemptId](const boost::system::error_code &) {
        const std::string stamp = stampOf(attemptId, this->endpointId);
        Standins::HttpResponse response = Standins::textResponse(statusOf(stamp), bodyOf(stamp));
        response.set("X-Lycheewall-Attempt-Id", attemptId);
        response.set("X-Lycheewall-Server-Stamp", stamp);
        this->addStatements(response, attemptId, false);
        connection->reply(std::move(response));
    });
}

}
