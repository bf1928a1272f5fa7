#include "gateway/peerfeed.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

namespace Lycheewall
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view listTarget = "/feed/list";
constexpr std::string_view watchTarget = "/feed/watch?after=";
constexpr std::chrono::milliseconds listTimeout { 1500 };
/// Time for the way there and back, beside the wait.
constexpr std::chrono::milliseconds answerTime { 500 };
constexpr Duration longestWait = std::chrono::seconds(5);
/// A watch is answered without changes when the knowledge became newer by this much.
constexpr Duration worthTelling = Milliseconds(300);
constexpr int statusGone = 410;
constexpr int statusOk = 200;
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

std::vector<FeedEvent> eventsOf(const Json &list)
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

AuxiliaryResponse cborAnswer(const std::vector<FeedEvent> &events, Revision at, Duration age)
{
    AuxiliaryResponse answer;
    answer.contentType = "application/cbor";
    Json::to_cbor(Json { { "e", toJson(events) }, { "at", at }, { "age", toMilliseconds(age) } }, answer.body);
    return answer;
}

Result<FeedBatch> batchOf(const Result<HttpClientResponse> &reply)
{
    if (!reply) {
        return reply.error();
    }
    if (reply.value().status == statusGone) {
        return make_error_code(FeedError::HistoryCompacted);
    }
    if (reply.value().status != statusOk) {
        return make_error_code(FeedError::Busy);
    }
    const Json json = Json::from_cbor(reply.value().body, true, false);
    try {
        FeedBatch batch;
        batch.events = eventsOf(json.at("e"));
        batch.revision = json.at("at").get<Revision>();
        batch.age = Milliseconds(json.at("age").get<std::int64_t>() + 1);
        return batch;
    } catch (const Json::exception &) {
        return make_error_code(FeedError::MalformedResponse);
    }
}

}

PeerFeedSource::PeerFeedSource(boost::asio::io_context &io, const std::string &address)
    : caller(io, address)
{
}

void PeerFeedSource::list(const std::string & /*afterKey*/, std::function<void(Result<FeedPage>)> done)
{
    this->caller.get(
        std::string(listTarget), listTimeout, [done = std::move(done)](const Result<HttpClientResponse> &reply) {
            const auto batch = batchOf(reply);
            if (!batch) {
                done(batch.error());
                return;
            }
            FeedPage page;
            page.items = batch.value().events;
            page.revision = batch.value().revision;
            page.age = batch.value().age;
            done(std::move(page));
        });
}

void PeerFeedSource::watch(Revision after, Duration wait, std::function<void(Result<FeedBatch>)> done)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    const std::string target
        = std::string(watchTarget) + std::to_string(after) + "&wait=" + std::to_string(waitMs.count());
    this->caller.get(target, waitMs + answerTime, [done = std::move(done)](const Result<HttpClientResponse> &reply) {
        done(batchOf(reply));
    });
}

void PeerFeedSource::cancel()
{
    this->caller.cancel();
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
    if (target == listTarget) {
        respond(cborAnswer(this->replica.items(), this->replica.revision(), this->freshness.age()));
        return;
    }
    unsigned long long after = 0;
    long waitMs = 0;
    if (std::sscanf(target.c_str(), "/feed/watch?after=%llu&wait=%ld", &after, &waitMs) != 2) {
        respond({ statusNotFound, "text/plain", "unknown" });
        return;
    }
    const Duration wait = std::min<Duration>(Milliseconds(std::max(0L, waitMs)), longestWait);
    this->watch(after, wait, std::move(respond));
}

void PeerFeedServer::watch(Revision after, Duration wait, AuxiliaryServer::Respond respond)
{
    Waiter waiter;
    waiter.after = after;
    waiter.askedAt = this->clock.now();
    waiter.knownUntil = this->freshness.confirmedUntil();
    waiter.respond = std::move(respond);
    const auto changes = this->replica.changesAfter(after);
    if (!changes || !changes.value().empty() || wait == Duration::zero()) {
        this->answer(waiter);
        return;
    }
    const std::uint64_t id = this->nextWaiter++;
    waiter.timer = this->timers.after(wait, [this, id] {
        const auto entry = this->waiters.find(id);
        if (entry != this->waiters.end()) {
            const Waiter due = std::move(entry->second);
            this->waiters.erase(entry);
            this->answer(due);
        }
    });
    this->waiters.emplace(id, std::move(waiter));
}

void PeerFeedServer::answer(const Waiter &waiter) const
{
    const auto changes = this->replica.changesAfter(waiter.after);
    if (!changes) {
        waiter.respond({ statusGone, "text/plain", "gone" });
        return;
    }
    // The reader counts the age from the moment of its question; negative when the knowledge is newer.
    const Duration held = this->clock.now() - waiter.askedAt;
    waiter.respond(cborAnswer(changes.value(), this->replica.revision(), this->freshness.age() - held));
}

bool PeerFeedServer::isDue(const Waiter &waiter) const
{
    const auto changes = this->replica.changesAfter(waiter.after);
    const std::optional<TimePoint> knownUntil = this->freshness.confirmedUntil();
    const bool newer = waiter.knownUntil && knownUntil && *knownUntil - *waiter.knownUntil >= worthTelling;
    return newer || !changes || !changes.value().empty();
}

void PeerFeedServer::advanced()
{
    std::vector<std::uint64_t> due;
    for (const auto &[id, waiter] : this->waiters) {
        if (this->isDue(waiter)) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due) {
        const auto entry = this->waiters.find(id);
        const Waiter waiter = std::move(entry->second);
        this->waiters.erase(entry);
        this->answer(waiter);
    }
}

}
