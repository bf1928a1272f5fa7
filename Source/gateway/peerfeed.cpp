#include "gateway/peerfeed.h"

#include "core/cborparser.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <optional>

namespace Lycheewall
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view listTarget = "/feed/list?after=";
constexpr std::string_view watchTarget = "/feed/watch?after=";
/// Time until a page begins to arrive.
constexpr std::chrono::milliseconds listTimeout { 1500 };
/// Added to the wait of a watch: time until the response begins to arrive.
constexpr std::chrono::milliseconds roundTripAllowance { 500 };
constexpr Duration maxWatchTimeout = std::chrono::seconds(5);
/// Size of the entries in a response, apart from a single larger one.
constexpr std::size_t maxResponseBytes = std::size_t { 128 } * 1024;
constexpr int hexBase = 16;
/// Fields that each request to watch has. The era follows them, except in requests of older programs.
constexpr int requiredWatchFields = 2;
/// A watch gets a response without changes when the replica became fresher by this much.
constexpr Duration minimumFreshnessGain = Milliseconds(300);
constexpr int statusGone = 410;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusNotReady = 503;

Json toJson(const std::vector<FeedEvent> &events)
{
    Json list = Json::array();
    for (const FeedEvent &event : events) {
        list.push_back(Json::array(
            { event.key, event.revision, event.deleted, Json::binary({ event.value.begin(), event.value.end() }) }));
    }
    return list;
}

std::vector<FeedEvent> eventsFromJson(const Json &list)
{
    std::vector<FeedEvent> events;
    for (const Json &item : list) {
        FeedEvent event;
        event.key = item.at(0).get<std::string>();
        event.revision = item.at(1).get<Revision>();
        event.deleted = item.at(2).get<bool>();
        const auto &bytes = item.at(3).get_binary();
        event.value.assign(bytes.begin(), bytes.end());
        events.push_back(std::move(event));
    }
    return events;
}

/// Encodes any key as letters and digits.
std::string toHex(const std::string &text)
{
    static const char *digits = "0123456789abcdef";
    std::string hex;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        hex.push_back(digits[byte / hexBase]);
        hex.push_back(digits[byte % hexBase]);
    }
    return hex;
}

/// Returns std::nullopt if @p hex was not made by toHex().
std::optional<std::string> fromHex(const std::string &hex)
{
    if (hex.size() % 2 != 0 || hex.find_first_not_of("0123456789abcdef") != std::string::npos) {
        return std::nullopt;
    }
    std::string text;
    for (std::size_t position = 0; position < hex.size(); position += 2) {
        text.push_back(static_cast<char>(std::stoi(hex.substr(position, 2), nullptr, hexBase)));
    }
    return text;
}

AuxiliaryResponse cborResponse(const FeedBatch &batch)
{
    AuxiliaryResponse response;
    response.contentType = "application/cbor";
    const Json json { { "e", toJson(batch.events) },
                      { "at", batch.position.revision },
                      { "era", batch.position.era.value() },
                      { "age", toMilliseconds(batch.age) },
                      { "more", batch.hasMore } };
    Json::to_cbor(json, response.body);
    return response;
}

Result<FeedBatch> parseBatch(const Result<HttpClientResponse> &response)
{
    if (!response) {
        return response.error();
    }
    if (response.value().status == statusGone) {
        return make_error_code(FeedError::HistoryCompacted);
    }
    if (response.value().status != statusOk) {
        return make_error_code(FeedError::Busy);
    }
    const auto parsed = parseCbor(response.value().body);
    if (!parsed) {
        return make_error_code(FeedError::MalformedResponse);
    }
    const Json &json = parsed.value();
    try {
        FeedBatch batch;
        batch.events = eventsFromJson(json.at("e"));
        // Instances of older programs name no era.
        batch.position = { StoreEra(json.value("era", std::uint64_t { 0 })), json.at("at").get<Revision>() };
        // The age was truncated to milliseconds; the data must not appear fresher than it is.
        batch.age = Milliseconds(json.at("age").get<std::int64_t>() + 1);
        batch.hasMore = json.value("more", false);
        return batch;
    } catch (const Json::exception &) {
        return make_error_code(FeedError::MalformedResponse);
    }
}

}

PeerFeedSource::PeerFeedSource(boost::asio::io_context &io, const std::string &address)
    : client(io, address)
{
}

void PeerFeedSource::list(const std::string &afterKey, std::function<void(Result<FeedPage>)> done)
{
    this->client.get(std::string(listTarget) + toHex(afterKey),
                     listTimeout,
                     [done = std::move(done)](const Result<HttpClientResponse> &response) {
                         const auto batch = parseBatch(response);
                         if (!batch) {
                             done(batch.error());
                             return;
                         }
                         FeedPage page;
                         page.items = batch.value().events;
                         page.position = batch.value().position;
                         page.age = batch.value().age;
                         page.hasMore = batch.value().hasMore;
                         done(std::move(page));
                     });
}

void PeerFeedSource::watch(FeedPosition after, Duration timeout, std::function<void(Result<FeedBatch>)> done)
{
    const auto timeoutMs = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    const std::string target = std::string(watchTarget) + std::to_string(after.revision)
        + "&wait=" + std::to_string(timeoutMs.count()) + "&era=" + std::to_string(after.era.value());
    this->client.get(
        target, timeoutMs + roundTripAllowance, [done = std::move(done)](const Result<HttpClientResponse> &response) {
            done(parseBatch(response));
        });
}

void PeerFeedSource::cancelUnanswered()
{
    this->client.cancelUnanswered();
}

PeerFeedServer::PeerFeedServer(const Clock &serverClock,
                               TimerService &timerService,
                               const FeedReplica &feedReplica,
                               const FeedFreshness &feedFreshness)
    : clock(serverClock)
    , timers(timerService)
    , replica(feedReplica)
    , freshness(feedFreshness)
{
}

void PeerFeedServer::handle(const std::string &target, AuxiliaryServer::Respond respond)
{
    if (this->replica.isEmpty()) {
        respond({ statusNotReady, "text/plain", "empty" });
        return;
    }
    if (target.rfind(listTarget, 0) == 0) {
        const auto afterKey = fromHex(target.substr(listTarget.size()));
        if (!afterKey) {
            respond({ statusBadRequest, "text/plain", "the key is not in hexadecimal digits" });
            return;
        }
        this->list(*afterKey, respond);
        return;
    }
    unsigned long long revision = 0;
    long timeoutMs = 0;
    unsigned long long era = 0;
    const int fields
        = std::sscanf(target.c_str(), "/feed/watch?after=%llu&wait=%ld&era=%llu", &revision, &timeoutMs, &era);
    if (fields < requiredWatchFields) {
        respond({ statusNotFound, "text/plain", "unknown" });
        return;
    }
    const bool namesEra = fields > requiredWatchFields;
    const FeedPosition after = namesEra ? FeedPosition { StoreEra(era), revision } : this->positionOf(revision);
    if (this->replica.position().era < after.era) {
        respond({ statusNotReady, "text/plain", "older era" });
        return;
    }
    const Duration timeout = std::min<Duration>(Milliseconds(std::max(0L, timeoutMs)), maxWatchTimeout);
    this->watch(after, timeout, std::move(respond));
}

FeedPosition PeerFeedServer::positionOf(Revision revision) const
{
    // A reader of an older program knows revisions only and is served as the store serves a watch: a revision that the
    // current era has not reached is of an older one.
    const FeedPosition current = this->replica.position();
    return { revision <= current.revision ? current.era : StoreEra(), revision };
}

void PeerFeedServer::list(const std::string &afterKey, const AuxiliaryServer::Respond &respond) const
{
    const FeedPage page = this->replica.listAfter(afterKey, maxResponseBytes);
    respond(cborResponse({ page.items, page.position, this->freshness.replicaAge(), page.hasMore }));
}

void PeerFeedServer::watch(FeedPosition after, Duration timeout, AuxiliaryServer::Respond respond)
{
    PendingWatch pending;
    pending.after = after;
    pending.receivedAt = this->clock.now();
    pending.confirmedUntil = this->freshness.confirmedUntil();
    pending.respond = std::move(respond);
    if (this->replica.hasChangesAfter(after) || timeout == Duration::zero()) {
        this->respondTo(pending);
        return;
    }
    const std::uint64_t id = this->nextWatchId++;
    pending.timer = this->timers.after(timeout, [this, id] {
        const auto entry = this->pendingWatches.find(id);
        if (entry != this->pendingWatches.end()) {
            const PendingWatch expired = std::move(entry->second);
            this->pendingWatches.erase(entry);
            this->respondTo(expired);
        }
    });
    this->pendingWatches.emplace(id, std::move(pending));
}

void PeerFeedServer::respondTo(const PendingWatch &pending) const
{
    auto changes = this->replica.changesAfter(pending.after, maxResponseBytes);
    if (!changes) {
        pending.respond({ statusGone, "text/plain", "gone" });
        return;
    }
    // The reader counts the age from the time of its request. The age is negative if the replica was confirmed later.
    const Duration elapsed = this->clock.now() - pending.receivedAt;
    changes.value().age = this->freshness.replicaAge() - elapsed;
    pending.respond(cborResponse(changes.value()));
}

bool PeerFeedServer::hasUpdate(const PendingWatch &pending) const
{
    const std::optional<TimePoint> confirmedUntil = this->freshness.confirmedUntil();
    const bool isFresher
        = pending.confirmedUntil && confirmedUntil && *confirmedUntil - *pending.confirmedUntil >= minimumFreshnessGain;
    return isFresher || this->replica.hasChangesAfter(pending.after);
}

void PeerFeedServer::replicaUpdated()
{
    std::vector<std::uint64_t> completed;
    for (const auto &[id, pending] : this->pendingWatches) {
        if (this->hasUpdate(pending)) {
            completed.push_back(id);
        }
    }
    for (const std::uint64_t id : completed) {
        const auto entry = this->pendingWatches.find(id);
        const PendingWatch pending = std::move(entry->second);
        this->pendingWatches.erase(entry);
        this->respondTo(pending);
    }
}

}
