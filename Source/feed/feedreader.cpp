#include "feed/feedreader.h"

#include "core/log.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

Log &journal()
{
    static Log &log = Log::part("feed");
    return log;
}

}

FeedReader::FeedReader(const FeedReaderSettings &readerSettings, Context readerContext)
    : settings(readerSettings)
    , context(std::move(readerContext))
{
}

void FeedReader::start()
{
    this->again(Duration::zero());
}

bool FeedReader::usesStore() const
{
    return this->usingStore && !this->failing;
}

void FeedReader::again(Duration pause)
{
    this->timer = this->context.timers.after(pause, [this] { this->step(); });
}

void FeedReader::chooseSource()
{
    const TimePoint now = this->context.clock.now();
    const bool storeWorks = now >= this->storeAvoidedUntil;
    this->usingStore = true;
    this->peer.reset();
    if (storeWorks && this->context.routes.readsStore()) {
        return;
    }
    for (const FeedPeer &candidate : this->context.routes.peers()) {
        if (now >= this->peersAvoidedUntil[candidate.instance]) {
            this->peer = candidate.source;
            this->peerName = candidate.instance;
            this->usingStore = false;
            return;
        }
    }
}

void FeedReader::step()
{
    const TimePoint now = this->context.clock.now();
    if (!this->listing.started) {
        this->chooseSource();
    }
    if (this->mustList || this->context.replica.isEmpty()) {
        this->list(now);
    } else {
        this->watch(now);
    }
}

void FeedReader::list(TimePoint startedAt)
{
    const std::string after = this->listing.items.empty() ? std::string() : this->listing.items.back().key;
    FeedSource &source = this->usingStore ? this->context.store : *this->peer;
    source.list(after, [this, startedAt](const Result<FeedPage> &page) { this->listed(startedAt, page); });
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
        this->listing.at = page.value().at;
    }
    this->listing.items.insert(this->listing.items.end(), page.value().items.begin(), page.value().items.end());
    if (page.value().more && !page.value().items.empty()) {
        this->again(Duration::zero());
        return;
    }
    const Listing whole = std::move(this->listing);
    this->listing = Listing();
    if (whole.at < this->context.replica.position()) {
        // This source is behind; nothing of it is news.
        this->failed(make_error_code(FeedError::Busy));
        return;
    }
    this->mustList = false;
    this->confirm(startedAt - page.value().age);
    this->context.replica.replace(whole.items, whole.at);
    this->context.advanced();
    this->again(Duration::zero());
}

void FeedReader::watch(TimePoint startedAt)
{
    FeedSource &source = this->usingStore ? this->context.store : *this->peer;
    source.watch(this->context.replica.position(),
                 this->settings.wait,
                 [this, startedAt](const Result<FeedBatch> &batch) { this->watched(startedAt, batch); });
}

void FeedReader::watched(TimePoint startedAt, const Result<FeedBatch> &batch)
{
    if (!batch && batch.error() == make_error_code(FeedError::HistoryGone)) {
        journal().info("The history after revision " + std::to_string(this->context.replica.position())
                       + " is gone; listing all entries.");
        this->mustList = true;
        this->again(Duration::zero());
        return;
    }
    if (!batch || !this->usable(batch.value().age)) {
        this->failed(batch ? make_error_code(FeedError::Busy) : batch.error());
        return;
    }
    this->confirm(startedAt - batch.value().age);
    this->context.replica.apply(batch.value());
    this->context.advanced();
    const bool early = this->context.clock.now() - startedAt < this->settings.gather;
    const bool pause = early || !batch.value().events.empty();
    this->again(pause ? this->settings.gather : Duration::zero());
}

bool FeedReader::usable(Duration age) const
{
    return this->usingStore || age <= this->settings.oldestPeer;
}

void FeedReader::confirm(TimePoint moment)
{
    const bool wasAway = this->context.freshness.age() > this->settings.outage;
    this->context.freshness.confirm(moment);
    if (this->failing) {
        this->failing = false;
        journal().info("Reading the feed again, from "
                       + (this->usingStore ? std::string("the store.") : "instance " + this->peerName.value() + "."));
    }
    if (wasAway) {
        this->context.returned();
    }
}

void FeedReader::failed(const std::error_code &error)
{
    const TimePoint until = this->context.clock.now() + this->settings.avoidance;
    if (this->usingStore) {
        this->storeAvoidedUntil = until;
    } else {
        this->peersAvoidedUntil[this->peerName] = until;
    }
    this->failing = true;
    this->context.counters.counter("lycheewall_feed_failures_total", error.message()).add();
    journal().warn("Reading the feed from "
                   + (this->usingStore ? std::string("the store") : "instance " + this->peerName.value())
                   + " failed: " + error.message() + ".");
    this->again(this->settings.retryPause);
}

}
