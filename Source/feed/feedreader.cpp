#include "feed/feedreader.h"

#include "core/log.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

Log &logger()
{
    static Log &log = Log::component("feed");
    return log;
}

}

FeedReader::FeedReader(const FeedReaderSettings &readerSettings, Context readerContext)
    : settings(readerSettings)
    , context(std::move(readerContext))
    , storePause(readerSettings.initialStoreBackoff)
{
}

void FeedReader::start()
{
    this->again(Duration::zero());
    this->checkTimer = this->context.timers.every(this->settings.revisionCheckInterval, [this] { this->check(); });
}

bool FeedReader::readsFromStore() const
{
    return this->usingStore && !this->failing;
}

void FeedReader::again(Duration pause)
{
    this->timer = this->context.timers.after(pause, [this] { this->step(); });
}

bool FeedReader::chooseSource()
{
    const TimePoint now = this->context.clock.now();
    const bool storeWorks = now >= this->storeAvoidedUntil;
    this->usingStore = true;
    this->peer.reset();
    if (storeWorks && this->context.sourcePolicy.shouldReadStore()) {
        return true;
    }
    for (const FeedPeer &candidate : this->context.sourcePolicy.candidatePeers()) {
        if (now >= this->peersAvoidedUntil[candidate.instance]) {
            this->peer = candidate.source;
            this->peerName = candidate.instance;
            this->usingStore = false;
            return true;
        }
    }
    return storeWorks;
}

FeedSource &FeedReader::source()
{
    return this->usingStore ? this->context.store : *this->peer;
}

void FeedReader::step()
{
    if (!this->listing.started && !this->chooseSource()) {
        this->again(this->settings.peerRetryDelay);
        return;
    }
    const TimePoint now = this->context.clock.now();
    if (this->mustList || this->context.replica.isEmpty()) {
        this->list(now);
    } else {
        this->watch(now);
    }
}

void FeedReader::list(TimePoint startedAt)
{
    const std::string after = this->listing.items.empty() ? std::string() : this->listing.items.back().key;
    this->source().list(after, [this, startedAt](const Result<FeedPage> &page) { this->listed(startedAt, page); });
}

void FeedReader::listed(TimePoint startedAt, const Result<FeedPage> &page)
{
    if (!page || !this->usable(page.value().age)) {
        this->listing = Listing();
        this->failed(page ? make_error_code(FeedError::Busy) : page.error());
        return;
    }
    if (!this->listing.started) {
        this->listing.started = true;
        // Later pages may hold newer entries; changes since the first page come with the watch.
        this->listing.at = page.value().revision;
    }
    this->listing.items.insert(this->listing.items.end(), page.value().items.begin(), page.value().items.end());
    if (page.value().hasMore && !page.value().items.empty()) {
        this->again(Duration::zero());
        return;
    }
    const Listing whole = std::move(this->listing);
    this->listing = Listing();
    if (whole.at < this->context.replica.revision()) {
        // This source is behind; nothing of it is news.
        this->failed(make_error_code(FeedError::Busy));
        return;
    }
    this->mustList = false;
    this->worked();
    this->confirm(startedAt - page.value().age);
    this->context.replica.replace(whole.items, whole.at);
    this->context.updated();
    this->again(Duration::zero());
}

Duration FeedReader::watchWait() const
{
    if (!this->usingStore) {
        return this->settings.peerWatchTimeout;
    }
    return this->failing ? this->settings.recoveryWatchTimeout : this->settings.storeWatchTimeout;
}

void FeedReader::watch(TimePoint startedAt)
{
    this->source().watch(this->context.replica.revision(),
                         this->watchWait(),
                         [this, startedAt](const Result<FeedBatch> &batch) { this->watched(startedAt, batch); });
}

void FeedReader::watched(TimePoint startedAt, const Result<FeedBatch> &batch)
{
    if (!batch && batch.error() == make_error_code(FeedError::HistoryCompacted)) {
        logger().info("The history after revision " + std::to_string(this->context.replica.revision())
                      + " is gone; listing all entries.");
        this->mustList = true;
        this->again(Duration::zero());
        return;
    }
    if (!batch || !this->usable(batch.value().age)) {
        this->failed(batch ? make_error_code(FeedError::Busy) : batch.error());
        return;
    }
    this->worked();
    if (!this->usingStore) {
        this->confirm(startedAt - batch.value().age);
    }
    this->context.replica.apply(batch.value());
    this->confirmPending();
    this->context.updated();
    const bool early = this->context.clock.now() - startedAt < this->settings.coalescingDelay;
    const bool pause = early || !batch.value().events.empty();
    this->again(pause ? this->settings.coalescingDelay : Duration::zero());
}

void FeedReader::check()
{
    if (this->checking || !this->usingStore || this->failing || this->context.replica.isEmpty()) {
        return;
    }
    this->checking = true;
    this->context.revisionSource.currentRevision(
        [this, startedAt = this->context.clock.now()](const Result<Revision> &position) {
            this->checking = false;
            this->checked(startedAt, position);
        });
}

void FeedReader::checked(TimePoint startedAt, const Result<Revision> &position)
{
    if (!position) {
        this->context.counters.counter("lycheewall_feed_check_failures_total", position.error().message()).add();
        if (this->usingStore) {
            // The watch would not notice for seconds that the store is away.
            this->context.store.cancel();
        }
        return;
    }
    this->pending = Pending { position.value(), startedAt };
    this->confirmPending();
    this->context.updated();
}

void FeedReader::confirmPending()
{
    if (this->pending && this->context.replica.revision() >= this->pending->at) {
        this->confirm(this->pending->moment);
        this->pending.reset();
    }
}

bool FeedReader::usable(Duration age) const
{
    return this->usingStore || age <= this->settings.maxPeerAge;
}

void FeedReader::confirm(TimePoint moment)
{
    const bool wasAway = this->context.freshness.age() > this->settings.outageThreshold;
    this->context.freshness.confirm(moment);
    if (wasAway && this->context.freshness.age() <= this->settings.outageThreshold) {
        this->context.recovered();
    }
}

void FeedReader::worked()
{
    if (this->usingStore) {
        this->storePause = this->settings.initialStoreBackoff;
    }
    if (this->failing) {
        this->failing = false;
        logger().info("Reading the feed again, from "
                      + (this->usingStore ? std::string("the store.") : "instance " + this->peerName.value() + "."));
        if (this->usingStore) {
            this->check();
        }
    }
}

void FeedReader::failed(const std::error_code &error)
{
    const TimePoint now = this->context.clock.now();
    Duration pause = this->settings.peerRetryDelay;
    if (this->usingStore) {
        this->storeAvoidedUntil = now + this->storePause;
        this->storePause = std::min(2 * this->storePause, this->settings.maxStoreBackoff);
    } else {
        this->peersAvoidedUntil[this->peerName] = now + this->settings.peerBackoff;
        pause = Duration::zero();
    }
    this->failing = true;
    this->context.counters.counter("lycheewall_feed_failures_total", error.message()).add();
    logger().warn("Reading the feed from "
                  + (this->usingStore ? std::string("the store") : "instance " + this->peerName.value())
                  + " failed: " + error.message() + ".");
    this->again(pause);
}

}
