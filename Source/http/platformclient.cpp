#include "http/platformclient.h"

#include "core/log.h"
#include "http/clientconnection.h"
#include "http/platformclienterror.h"
#include "runtime/socketaddress.h"

#include <boost/fiber/future.hpp>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <numeric>

namespace Lycheewall
{

namespace
{

/// A value of 1 MB may grow sixfold by the escapes of JSON.
constexpr std::uint32_t maxAnswerBytes = 8U * 1024 * 1024;
/// Idle connections kept per path: one for watches and one for reads.
constexpr std::size_t maxIdle = 2;

using ConnectionPtr = std::shared_ptr<ClientConnection>;

struct Call
{
    ValueName name = ValueName::Catalogue;
    bool watch = false;
    ValueVersion after;
    Duration wait {};
};

std::string requestText(const Call &call, const std::string &address)
{
    std::string text = "GET /v1/values/" + std::string(valueNameText(call.name));
    if (call.watch) {
        text += "?after=" + std::to_string(call.after.value());
        text += "&wait-ms=" + std::to_string(toMilliseconds(call.wait));
    }
    return text + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
}

PlatformClientError exchangeError(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::TimedOut:
        return PlatformClientError::Timeout;
    case ExchangeEnd::TooLarge:
        return PlatformClientError::AnswerTooLarge;
    default:
        return PlatformClientError::ConnectionLost;
    }
}

Result<VersionedValue> readValue(const Call &call,
                                 const boost::beast::http::response<boost::beast::http::string_body> &response)
{
    namespace http = boost::beast::http;
    if (call.watch && response.result() == http::status::not_modified) {
        return VersionedValue { call.after, {} };
    }
    if (response.result() != http::status::ok) {
        return failure(make_error_code(PlatformClientError::BadStatus));
    }
    nlohmann::json body = nlohmann::json::parse(response.body(), nullptr, false);
    const bool valid = body.is_object() && body.contains("version") && body["version"].is_number_unsigned()
        && body.contains("text") && body["text"].is_string();
    if (!valid) {
        return failure(make_error_code(PlatformClientError::BadAnswer));
    }
    VersionedValue value;
    value.version = ValueVersion(body["version"].get<std::uint64_t>());
    value.text = std::move(body["text"].get_ref<std::string &>());
    return value;
}

}

/// The state of the client. Connections are used on the worker's thread only; the rest is guarded by the mutex.
class PlatformClient::Core : public std::enable_shared_from_this<PlatformClient::Core>
{
public:
    Core(Worker &clientWorker, const Clock &bootClock, Counters &counterRegistry, PlatformClientSettings clientSettings)
        : worker(clientWorker)
        , clock(bootClock)
        , counters(counterRegistry)
        , settings(std::move(clientSettings))
        , idle(this->settings.addresses.size())
    {
        for (const std::string &address : this->settings.addresses) {
            this->known.emplace_back().address = address;
        }
    }

    Result<VersionedValue> call(const Call &request)
    {
        using Promise = boost::fibers::promise<Result<VersionedValue>>;
        auto promise = std::make_shared<Promise>();
        auto future = promise->get_future();
        this->worker.spawn(
            [self = this->shared_from_this(), promise, request] { promise->set_value(self->tryPaths(request)); });
        return future.get();
    }

    std::vector<PlatformPath> paths() const
    {
        const std::lock_guard lock(this->mutex);
        return this->known;
    }

    void closeIdle()
    {
        boost::fibers::promise<void> done;
        auto future = done.get_future();
        this->worker.spawn([this, &done] {
            for (auto &connections : this->idle) {
                for (const ConnectionPtr &connection : connections) {
                    connection->close();
                }
                connections.clear();
            }
            done.set_value();
        });
        future.get();
    }

private:
    /// The paths in the order to try: those not avoided first, among them untried ones, then the faster ones.
    std::vector<std::size_t> ranking() const
    {
        const TimePoint now = this->clock.now();
        const std::lock_guard lock(this->mutex);
        std::vector<std::size_t> order(this->known.size());
        std::iota(order.begin(), order.end(), 0);
        const auto rank = [&](std::size_t index) {
            const PlatformPath &path = this->known[index];
            const TimePoint avoided = path.avoidedUntil > now ? path.avoidedUntil : TimePoint();
            return std::make_pair(avoided, path.answerTime);
        };
        std::stable_sort(
            order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return rank(left) < rank(right); });
        return order;
    }

    Result<VersionedValue> tryPaths(const Call &request)
    {
        Result<VersionedValue> result = failure(make_error_code(PlatformClientError::NoAddress));
        for (const std::size_t index : this->ranking()) {
            const TimePoint begun = this->clock.now();
            result = this->tryPath(index, request);
            if (result) {
                result = this->checkOrder(index, request, std::move(result).value());
            }
            if (result) {
                this->noteAnswer(index, request, result.value(), this->clock.now() - begun);
                return result;
            }
            this->noteFailure(index, result.error());
        }
        return result;
    }

    Result<VersionedValue> tryPath(std::size_t index, const Call &request)
    {
        const std::string &address = this->settings.addresses[index];
        const auto endpoint = parseAddress(address);
        if (!endpoint) {
            return failure(make_error_code(PlatformClientError::BadAddress));
        }
        const std::string text = requestText(request, address);
        const Duration bound = request.wait + this->settings.answerBound;
        ConnectionPtr connection = this->takeIdle(index);
        ExchangeResult exchanged;
        if (connection && connection->usable()) {
            exchanged = connection->exchange(text, bound, maxAnswerBytes);
        }
        // A kept connection may have been closed meanwhile; a read may be repeated, so a new one is tried.
        if (exchanged.end == ExchangeEnd::Lost || exchanged.end == ExchangeEnd::NotSent) {
            connection = std::make_shared<ClientConnection>(this->worker);
            if (!connection->connect(endpoint.value(), this->settings.answerBound)) {
                return failure(make_error_code(PlatformClientError::ConnectFailed));
            }
            exchanged = connection->exchange(text, bound, maxAnswerBytes);
        }
        if (exchanged.end != ExchangeEnd::Done) {
            return failure(make_error_code(exchangeError(exchanged.end)));
        }
        this->keep(index, connection);
        return readValue(request, exchanged.response);
    }

    ConnectionPtr takeIdle(std::size_t index)
    {
        if (this->idle[index].empty()) {
            return nullptr;
        }
        ConnectionPtr connection = this->idle[index].back();
        this->idle[index].pop_back();
        return connection;
    }

    void keep(std::size_t index, const ConnectionPtr &connection)
    {
        if (connection->usable() && this->idle[index].size() < maxIdle) {
            this->idle[index].push_back(connection);
        } else {
            connection->close();
        }
    }

    /// Refuses a value that is older than one that any path gave before.
    Result<VersionedValue> checkOrder(std::size_t index, const Call &request, VersionedValue value)
    {
        const std::lock_guard lock(this->mutex);
        ValueVersion &highest = this->highestSeen[request.name];
        if (value.version < highest) {
            ++this->known[index].backwards;
            return failure(make_error_code(PlatformClientError::WentBackwards));
        }
        highest = value.version;
        return value;
    }

    void noteAnswer(std::size_t index, const Call &request, const VersionedValue &value, Duration elapsed)
    {
        constexpr int smoothing = 8;
        const std::lock_guard lock(this->mutex);
        PlatformPath &path = this->known[index];
        ++path.answers;
        path.avoidedUntil = TimePoint();
        // A watch that ended by a change does not tell how fast the path answers.
        const bool changed = request.watch && value.version != request.after;
        if (!changed) {
            const Duration sample = std::max<Duration>(elapsed - request.wait, std::chrono::nanoseconds(1));
            const bool first = path.answerTime == Duration::zero();
            path.answerTime = first ? sample : path.answerTime + (sample - path.answerTime) / smoothing;
        }
    }

    void noteFailure(std::size_t index, const std::error_code &error)
    {
        this->counters.counter("lycheewall_platform_failures_total", error.message()).add();
        Log::component("platform").warn("read from " + this->settings.addresses[index] + " failed: " + error.message());
        const TimePoint until = this->clock.now() + this->settings.avoidFor;
        const std::lock_guard lock(this->mutex);
        PlatformPath &path = this->known[index];
        ++path.failures;
        path.avoidedUntil = until;
        // Counts as a slow answer, so that a silent path does not cost its bound again each time it may be tried.
        path.answerTime = std::max(path.answerTime, this->settings.answerBound);
    }

    Worker &worker;
    const Clock &clock;
    Counters &counters;
    const PlatformClientSettings settings;
    std::vector<std::vector<ConnectionPtr>> idle;
    mutable std::mutex mutex;
    std::vector<PlatformPath> known;
    std::map<ValueName, ValueVersion> highestSeen;
};

PlatformClient::PlatformClient(Worker &worker, const Clock &clock, Counters &counters, PlatformClientSettings settings)
    : core(std::make_shared<Core>(worker, clock, counters, std::move(settings)))
{
}

PlatformClient::~PlatformClient()
{
    this->core->closeIdle();
}

Result<VersionedValue> PlatformClient::read(ValueName name)
{
    Call request;
    request.name = name;
    return this->core->call(request);
}

Result<VersionedValue> PlatformClient::watch(ValueName name, ValueVersion after, Duration wait)
{
    return this->core->call({ name, true, after, wait });
}

std::vector<PlatformPath> PlatformClient::paths() const
{
    return this->core->paths();
}

}
