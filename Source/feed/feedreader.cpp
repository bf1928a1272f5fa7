#include "feed/feedreader.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace Lycheewall
{

namespace
{

Log &logger()
{
    static Log &log = Log::component("feed");
    return log;
}

/// True if a watch with this error would fail again: a listing has pages and needs no history.
bool requiresListing(const std::error_code &error)
{
    return error == make_error_code(FeedError::HistoryCompacted)
        || error == make_error_code(FeedError::ResponseTooLarge);
}

}

FeedReader::FeedReader(const FeedReaderSettings &readerSettings, Context readerContext)
    : settings(readerSettings)
    , context(std::move(readerContext))
    , storeRestoration(readerSettings.rewriteTime, this->restorationContext())
    , storeBackoff(readerSettings.initialStoreBackoff)
{
}

StoreRestoration::Context FeedReader::restorationContext()
{
    return { this->context.clock,
             this->context.timers,
             this->context.freshness,
             [this] { this->checkRevision(); },
             [this] {
                 this->context.updated();
             } };
}

void FeedReader::start()
{
    this->scheduleRead(Duration::zero());
    this->checkTimer
        = this->context.timers.every(this->settings.revisionCheckInterval, [this] { this->checkRevision(); });
}

bool FeedReader::readsFromStore() const
{
    return this->usingStore && !this->failing;
}

StoreRestoration &FeedReader::restoration()
{
    return this->storeRestoration;
}

void FeedReader::scheduleRead(Duration delay)
{
    this->timer = this->context.timers.after(delay, [this] { this->startRead(); });
}

bool FeedReader::chooseSource()
{
    const TimePoint now = this->context.clock.now();
    const bool isStoreAvailable = now >= this->storeBackoffUntil;
    this->usingStore = true;
    this->peer.reset();
    if (isStoreAvailable && this->context.sourcePolicy.shouldReadStore()) {
        return true;
    }
    for (const FeedPeer &candidate : this->context.sourcePolicy.candidatePeers()) {
        if (now >= this->peerBackoffUntil[candidate.instance]) {
            this->peer = candidate.source;
            this->peerInstance = candidate.instance;
            this->usingStore = false;
            return true;
        }
    }
    return isStoreAvailable;
}

FeedSource &FeedReader::source()
{
    return this->usingStore ? this->context.store : *this->peer;
}

void FeedReader::startRead()
{
    if (!this->listing.started && !this->chooseSource()) {
        this->scheduleRead(this->settings.sourceRetryDelay);
        return;
    }
    const TimePoint now = this->context.clock.now();
    if (this->usingStore) {
        this->storeRequestSentAt = now;
    }
    if (this->needsListing || this->context.replica.isEmpty()) {
        this->list(now);
    } else {
        this->watch(now);
    }
}

void FeedReader::list(TimePoint startedAt)
{
    const std::string after = this->listing.items.empty() ? std::string() : this->listing.items.back().key;
    this->source().list(after, [this, startedAt](const Result<FeedPage> &page) { this->handlePage(startedAt, page); });
}

void FeedReader::handlePage(TimePoint startedAt, const Result<FeedPage> &page)
{
    this->storeRequestSentAt.reset();
    if (!page || !this->isFreshEnough(page.value().age)) {
        this->listing = Listing();
        this->handleFailure(page ? make_error_code(FeedError::Busy) : page.error());
        return;
    }
    const FeedPosition position = page.value().position;
    if (!this->acceptEra(position.era)) {
        this->listing = Listing();
        this->handleFailure(make_error_code(FeedError::OutdatedEra));
        return;
    }
    if (this->listing.started && this->listing.position.era != position.era) {
        // Pages of two eras do not add up to a state of the store.
        this->listing = Listing();
        this->isRequestCancelled = false;
        this->scheduleRead(Duration::zero());
        return;
    }
    if (!this->listing.started) {
        this->listing.started = true;
        // Later pages may hold newer entries; the watch delivers the changes since the first page.
        this->listing.position = position;
        this->listing.confirmedUntil = startedAt - page.value().age;
    }
    this->listing.items.insert(this->listing.items.end(), page.value().items.begin(), page.value().items.end());
    if (page.value().hasMore && !page.value().items.empty()) {
        this->scheduleRead(Duration::zero());
        return;
    }
    this->applyListing(std::exchange(this->listing, Listing()));
}

void FeedReader::applyListing(const Listing &complete)
{
    if (complete.position < this->context.replica.position()) {
        // The listing of this source is older than the replica.
        this->handleFailure(make_error_code(FeedError::Busy));
        return;
    }
    this->needsListing = false;
    this->handleSuccess();
    if (this->context.replica.isEmpty()) {
        this->storeRestoration.firstListed(complete.position.era, complete.confirmedUntil);
        if (this->hasEraRisenBeforeListing) {
            this->storeRestoration.newEraListed(complete.position.era);
        }
    } else if (this->context.replica.position().era < complete.position.era) {
        this->handleRestoration(complete);
    }
    this->confirm(complete.confirmedUntil);
    this->context.replica.replace(complete.items, complete.position);
    this->context.updated();
    this->scheduleRead(Duration::zero());
}

void FeedReader::handleRestoration(const Listing &complete)
{
    logger().info("The copy is at revision " + std::to_string(complete.position.revision)
                  + "; what the store has lost is expected within "
                  + std::to_string(toMilliseconds(this->settings.rewriteTime)) + " ms.");
    this->storeRestoration.newEraListed(complete.position.era);
    this->context.restored();
}

bool FeedReader::acceptEra(StoreEra era)
{
    if (era < this->knownEra) {
        return false;
    }
    if (this->knownEra < era) {
        // An instance of an older program names no era, which is no sign of a rise.
        this->hasEraRisenBeforeListing = this->context.replica.isEmpty() && this->knownEra != StoreEra();
        this->knownEra = era;
        this->checkedPosition.reset();
        this->needsListing = true;
        if (!this->context.replica.isEmpty()) {
            this->context.counters.counter("lycheewall_feed_era_changes_total").add();
            logger().warn("The store has come back from an older copy of its data, as era "
                          + std::to_string(era.value()) + "; listing all entries.");
        }
    }
    return true;
}

Duration FeedReader::watchTimeout() const
{
    if (!this->usingStore) {
        return this->settings.peerWatchTimeout;
    }
    return this->failing ? this->settings.recoveryWatchTimeout : this->settings.storeWatchTimeout;
}

void FeedReader::watch(TimePoint startedAt)
{
    this->source().watch(this->context.replica.position(),
                         this->watchTimeout(),
                         [this, startedAt](const Result<FeedBatch> &batch) { this->handleBatch(startedAt, batch); });
}

void FeedReader::handleBatch(TimePoint startedAt, const Result<FeedBatch> &batch)
{
    this->storeRequestSentAt.reset();
    if (!batch && requiresListing(batch.error())) {
        logger().info("The changes after revision " + std::to_string(this->context.replica.position().revision)
                      + " cannot be read (" + batch.error().message() + "); listing all entries.");
        this->needsListing = true;
        this->scheduleRead(Duration::zero());
        return;
    }
    if (!batch || !this->isFreshEnough(batch.value().age)) {
        this->handleFailure(batch ? make_error_code(FeedError::Busy) : batch.error());
        return;
    }
    if (!this->acceptEra(batch.value().position.era)) {
        this->handleFailure(make_error_code(FeedError::OutdatedEra));
        return;
    }
    this->handleSuccess();
    if (batch.value().position.era != this->context.replica.position().era) {
        // The watch asked for the changes after a revision of an older era, which the source has given out again.
        this->scheduleRead(Duration::zero());
        return;
    }
    // While the source has later changes, its age says nothing about this replica.
    if (!this->usingStore && !batch.value().hasMore) {
        this->confirm(startedAt - batch.value().age);
    }
    if (this->usingStore && this->isUnavailable()) {
        // The batch may hold removals of entries that expired during the outage.
        this->context.recovered();
    }
    this->context.replica.apply(batch.value());
    this->confirmCheckedPosition();
    this->context.updated();
    if (batch.value().hasMore) {
        this->scheduleRead(Duration::zero());
        return;
    }
    const bool returnedEarly = this->context.clock.now() - startedAt < this->settings.coalescingDelay;
    const bool isDelayed = returnedEarly || !batch.value().events.empty();
    this->scheduleRead(isDelayed ? this->settings.coalescingDelay : Duration::zero());
}

void FeedReader::checkRevision()
{
    if (this->checkInFlight || !this->usingStore || this->failing || this->context.replica.isEmpty()) {
        return;
    }
    this->checkInFlight = true;
    this->context.revisionSource.currentPosition(
        [this, startedAt = this->context.clock.now()](const Result<FeedPosition> &position) {
            this->checkInFlight = false;
            this->handlePosition(startedAt, position);
        });
}

void FeedReader::handlePosition(TimePoint startedAt, const Result<FeedPosition> &position)
{
    if (!position) {
        this->context.counters.counter("lycheewall_feed_check_failures_total", position.error().message()).add();
        if (this->usingStore) {
            // The watch itself would only notice seconds later that the store is unavailable.
            this->context.store.cancelUnanswered();
        }
        return;
    }
    const bool wasWatching = !this->needsListing;
    const bool isAccepted = this->acceptEra(position.value().era);
    if (wasWatching && this->needsListing) {
        this->cancelWatchOfOlderEra();
    }
    if (!isAccepted) {
        const std::error_code error = FeedError::OutdatedEra;
        this->context.counters.counter("lycheewall_feed_check_failures_total", error.message()).add();
        return;
    }
    if (position.value().era != this->context.replica.position().era) {
        return;
    }
    this->checkedPosition = CheckedPosition { position.value(), startedAt };
    this->confirmCheckedPosition();
    this->context.updated();
    if (this->checkedPosition) {
        this->overdueTimer
            = this->context.timers.after(this->settings.overdueResponseDelay, [this] { this->cancelOverdueRequest(); });
    }
}

void FeedReader::cancelWatchOfOlderEra()
{
    // The watch may wait for a revision that the new era reaches much later.
    if (this->storeRequestSentAt) {
        this->isRequestCancelled = true;
        this->context.store.cancelUnanswered();
    }
}

void FeedReader::cancelOverdueRequest()
{
    // A younger request may still be answered in time.
    const bool isOverdue = this->storeRequestSentAt
        && this->context.clock.now() - *this->storeRequestSentAt >= this->settings.overdueResponseDelay;
    if (!this->checkedPosition || !isOverdue) {
        return;
    }
    this->isRequestCancelled = true;
    this->context.counters.counter("lycheewall_feed_overdue_responses_total").add();
    logger().warn("The store has not reported its changes after revision "
                  + std::to_string(this->context.replica.position().revision) + ", although it is at revision "
                  + std::to_string(this->checkedPosition->position.revision) + "; the request is cancelled.");
    this->context.store.cancelUnanswered();
}

void FeedReader::confirmCheckedPosition()
{
    if (this->checkedPosition && !(this->context.replica.position() < this->checkedPosition->position)) {
        this->confirm(this->checkedPosition->startedAt);
        this->checkedPosition.reset();
    }
}

bool FeedReader::isFreshEnough(Duration age) const
{
    return this->usingStore || age <= this->settings.maxPeerAge;
}

void FeedReader::confirm(TimePoint time)
{
    const bool wasUnavailable = this->isUnavailable();
    this->context.freshness.confirm(time);
    if (wasUnavailable && !this->isUnavailable()) {
        this->context.recovered();
    }
}

bool FeedReader::isUnavailable() const
{
    return this->context.freshness.replicaAge() > this->settings.outageThreshold;
}

void FeedReader::handleSuccess()
{
    this->isRequestCancelled = false;
    if (this->usingStore) {
        this->storeBackoff = this->settings.initialStoreBackoff;
    }
    if (this->failing) {
        this->failing = false;
        logger().info(
            "The feed is available again; reading it from "
            + (this->usingStore ? std::string("the store.") : "instance " + this->peerInstance.value() + "."));
        if (this->usingStore) {
            this->checkRevision();
        }
    }
}

void FeedReader::handleFailure(const std::error_code &error)
{
    if (std::exchange(this->isRequestCancelled, false)) {
        this->scheduleRead(Duration::zero());
        return;
    }
    const TimePoint now = this->context.clock.now();
    Duration delay = this->settings.sourceRetryDelay;
    if (this->usingStore) {
        this->storeBackoffUntil = now + this->storeBackoff;
        this->storeBackoff = std::min(2 * this->storeBackoff, this->settings.maxStoreBackoff);
    } else {
        this->peerBackoffUntil[this->peerInstance] = now + this->settings.peerBackoff;
        delay = Duration::zero();
    }
    this->failing = true;
    this->context.counters.counter("lycheewall_feed_failures_total", error.message()).add();
    logger().warn("Failed to read the feed from "
                  + (this->usingStore ? std::string("the store") : "instance " + this->peerInstance.value()) + ": "
                  + error.message() + ".");
    this->scheduleRead(delay);
}

}
