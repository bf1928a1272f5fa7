#include "feed/storerestoration.h"

#include "core/log.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Lycheewall
{

namespace
{

/// Time after the first listing in which a new process awaits another instance. New processes ask for the state of the
/// others every 100 ms, so one or two of the datagrams may be lost. The process serves no requests meanwhile.
constexpr Duration maxInstanceWait = Milliseconds(300);

/// Time between the end of the rewrite time and the check that confirms the data. Exceeds the differences between the
/// clocks and links of two instances.
constexpr Duration rewriteCheckDelay = Milliseconds(50);

Log &logger()
{
    static Log &log = Log::component("feed");
    return log;
}

}

StoreRestoration::StoreRestoration(Duration timeToRewrite, Context restorationContext)
    : rewriteTime(timeToRewrite)
    , context(std::move(restorationContext))
{
}

void StoreRestoration::expectInstances()
{
    this->expectsInstance = true;
}

void StoreRestoration::firstListed(StoreEra era, TimePoint confirmedUntil)
{
    if (era == StoreEra()) {
        return;
    }
    this->firstListedAt = this->context.clock.now();
    this->firstListedEra = era;
    this->awaitsInstance = this->expectsInstance;
    if (this->heardBeforeListing && this->applyHeardRestoration(*this->heardBeforeListing)) {
        return;
    }
    if (this->awaitsInstance) {
        this->firstConfirmedUntil = confirmedUntil;
        this->context.freshness.copyListed(*this->firstListedAt + this->rewriteTime);
        this->awaitTimer = this->context.timers.after(maxInstanceWait, [this] { this->stopAwaiting(); });
    }
}

void StoreRestoration::newEraListed(StoreEra era)
{
    this->awaitsInstance = false;
    // Not from the age of the data: a peer may have confirmed them last before the store came back.
    this->noticed = Restoration { era, this->context.clock.now() + this->rewriteTime };
    this->context.freshness.storeRestored(this->noticed->rewrittenAt);
    this->checkStoreAt(this->noticed->rewrittenAt);
}

bool StoreRestoration::isAwaitingInstance() const
{
    return this->awaitsInstance;
}

std::optional<RestorationNotice> StoreRestoration::noticedRestoration() const
{
    const TimePoint now = this->context.clock.now();
    if (!this->noticed || this->noticed->rewrittenAt <= now) {
        return std::nullopt;
    }
    return RestorationNotice { this->noticed->era, this->noticed->rewrittenAt - now };
}

void StoreRestoration::instanceHeard(Duration feedAge)
{
    this->expectsInstance = true;
    // Data that were confirmed earlier may be those of an instance that has not noticed the rise yet.
    if (this->context.clock.now() - feedAge >= this->firstConfirmedUntil) {
        this->stopAwaiting();
    }
}

void StoreRestoration::restorationHeard(const RestorationNotice &notice)
{
    this->expectsInstance = true;
    const Restoration heard { notice.era,
                              this->context.clock.now() + std::min(notice.rewriteRemaining, this->rewriteTime) };
    if (!this->firstListedAt) {
        const auto rank = [](const Restoration &item) {
            return std::tie(item.era, item.rewrittenAt);
        };
        if (!this->heardBeforeListing || rank(*this->heardBeforeListing) < rank(heard)) {
            this->heardBeforeListing = heard;
        }
        return;
    }
    const bool wasAwaiting = this->awaitsInstance;
    if (this->applyHeardRestoration(heard) && wasAwaiting) {
        this->context.awaitEnded();
    }
}

bool StoreRestoration::applyHeardRestoration(const Restoration &heard)
{
    // Data of an earlier era than the copy remain valid. But while it is unknown whether the first listing is itself
    // that of a copy, a later restoration may hide from this process what others knew about an earlier one.
    const bool isHidden = this->awaitsInstance && this->firstListedEra < heard.era;
    if (heard.era != this->firstListedEra && !isHidden) {
        return false;
    }
    const TimePoint now = this->context.clock.now();
    // The store had come back before the first listing, or this instance will notice the rise itself. Without this
    // bound, each instance that enters the era late would make all others wait once more.
    TimePoint rewrittenAt = std::min(heard.rewrittenAt, *this->firstListedAt + this->rewriteTime);
    if (rewrittenAt <= now) {
        return false;
    }
    if (!this->waitsUntil || *this->waitsUntil <= now) {
        logger().info("Another instance has seen the store come back from an older copy; what it has lost is expected "
                      "within "
                      + std::to_string(toMilliseconds(rewrittenAt - now)) + " ms.");
    }
    rewrittenAt = std::max(rewrittenAt, this->waitsUntil.value_or(rewrittenAt));
    if (this->noticed) {
        // A rise that this instance has noticed itself is a later one.
        rewrittenAt = std::max(rewrittenAt, this->noticed->rewrittenAt);
    }
    this->awaitsInstance = false;
    this->waitsUntil = rewrittenAt;
    this->context.freshness.copyListed(rewrittenAt);
    this->checkStoreAt(rewrittenAt);
    return true;
}

void StoreRestoration::stopAwaiting()
{
    if (this->awaitsInstance) {
        this->awaitsInstance = false;
        this->context.freshness.copyIsComplete();
        this->context.awaitEnded();
    }
}

void StoreRestoration::checkStoreAt(TimePoint rewrittenAt)
{
    const Duration delay = rewrittenAt - this->context.clock.now() + rewriteCheckDelay;
    this->checkTimer = this->context.timers.after(delay, [this] { this->context.checkStore(); });
}

}
