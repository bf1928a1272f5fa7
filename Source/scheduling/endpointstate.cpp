#include "scheduling/endpointstate.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Samples of the median: a slow endpoint is known after 5 answers, and 4 stragglers among 9 do not move it.
constexpr std::size_t sampleCount = 9;
/// With fewer samples the usual service time stands in.
constexpr std::size_t fewestSamples = 5;

/// Pauses double with each refusal in a row, between these bounds.
constexpr Duration firstUnreachablePause = Milliseconds(50);
constexpr Duration longestUnreachablePause = Milliseconds(1000);
constexpr int longestShedPauseFactor = 16;

}

EndpointState::EndpointState(const EndpointLimits &limits, bool warm, bool inService)
    : limits(limits)
    , inService(inService)
    , currentLimit(warm ? limits.slots : std::min(limits.coldSlots, limits.slots))
    , unproven(!warm)
    , median(limits.nominalServiceTime)
{
}

void EndpointState::update(const EndpointLimits &newLimits, bool newInService)
{
    const bool wasFull = !this->isCold();
    const bool returns = newInService && !this->inService;
    this->limits = newLimits;
    this->inService = newInService;
    if (returns) {
        this->currentLimit = this->lowestLimit();
        this->unproven = true;
        this->onTimeRow = 0;
        this->lateRow = 0;
        this->paused = TimePoint {};
        this->pauseRow = 0;
    } else if (wasFull) {
        this->currentLimit = newLimits.slots;
    } else {
        this->currentLimit = std::clamp(this->currentLimit, this->lowestLimit(), newLimits.slots);
    }
}

int EndpointState::limit() const
{
    return this->currentLimit;
}

int EndpointState::running() const
{
    return this->taken;
}

int EndpointState::lateStreak() const
{
    return this->lateRow;
}

bool EndpointState::isCold() const
{
    return this->currentLimit < this->limits.slots;
}

bool EndpointState::isInService() const
{
    return this->inService;
}

bool EndpointState::hasRoom(TimePoint now) const
{
    return this->inService && this->paused <= now && this->taken < this->currentLimit;
}

TimePoint EndpointState::pausedUntil() const
{
    return this->paused;
}

bool EndpointState::lacks(SnapshotVersion version, TimePoint now) const
{
    const auto entry = this->lacking.find(version);
    return entry != this->lacking.end() && now < entry->second;
}

Duration EndpointState::typical() const
{
    return this->median;
}

TimePoint EndpointState::lastDispatch() const
{
    return this->dispatchedAt;
}

void EndpointState::dispatched(TimePoint now)
{
    ++this->taken;
    this->dispatchedAt = now;
}

void EndpointState::ended(
    const EndpointAnswer &answer, SnapshotVersion asked, Duration service, TimePoint started, TimePoint now)
{
    --this->taken;
    this->learnIncarnation(answer.incarnation, now);
    if (answer.outcome == AttemptOutcome::Answered) {
        this->pauseRow = 0;
        this->silentRow = 0;
        this->learn(service, started, now);
        return;
    }
    this->learnRefusal(answer.reason, asked, now);
}

void EndpointState::cancelledEnded(const EndpointAnswer &answer, TimePoint now)
{
    --this->taken;
    this->learnIncarnation(answer.incarnation, now);
}

void EndpointState::givenUp(Duration elapsed, TimePoint started, TimePoint now)
{
    // A short run says nothing: the attempt might still have been on time.
    if (elapsed > this->limits.nominalServiceTime * onTimeFactor) {
        this->learn(elapsed, started, now);
    }
}

bool EndpointState::silent(TimePoint now)
{
    ++this->silentRow;
    if (this->silentRow < closingSilentStreak) {
        return false;
    }
    this->silentRow = 0;
    this->turnCold(true, now);
    return true;
}

void EndpointState::learn(Duration service, TimePoint started, TimePoint now)
{
    this->sample(service);
    // What started before the endpoint turned cold says nothing about what it bears now.
    if (started < this->coldSince) {
        return;
    }
    if (service > this->limits.nominalServiceTime * onTimeFactor) {
        this->onTimeRow = 0;
        ++this->lateRow;
        if (this->lateRow >= coldLateStreak) {
            this->turnCold(false, now);
        }
        return;
    }
    this->lateRow = 0;
    ++this->onTimeRow;
    const int needed = this->unproven ? std::max(warmProof, this->currentLimit) : this->currentLimit;
    if (this->onTimeRow >= needed && this->currentLimit < this->limits.slots) {
        this->unproven = false;
        ++this->currentLimit;
        this->onTimeRow = 0;
    }
}

void EndpointState::learnIncarnation(const Incarnation &seen, TimePoint now)
{
    if (seen.value().empty() || seen == this->incarnation) {
        return;
    }
    const bool restarted = !this->incarnation.value().empty();
    this->incarnation = seen;
    if (restarted) {
        this->lacking.clear();
        this->turnCold(true, now);
    }
}

void EndpointState::learnRefusal(Refusal reason, SnapshotVersion asked, TimePoint now)
{
    const Duration usual = this->limits.nominalServiceTime;
    switch (reason) {
    case Refusal::SnapshotUnavailable:
        this->lacking[asked] = now + lackLifetime;
        break;
    case Refusal::EndpointCold:
        this->turnCold(true, now);
        this->pause(usual, usual * longestShedPauseFactor, now);
        break;
    case Refusal::EndpointShed:
    case Refusal::EndpointConnectionCap:
        this->currentLimit = std::max(this->lowestLimit(), this->currentLimit - 1);
        this->onTimeRow = 0;
        this->pause(usual, usual * longestShedPauseFactor, now);
        break;
    case Refusal::EndpointDraining:
        this->pause(firstUnreachablePause, longestUnreachablePause, now);
        break;
    case Refusal::EndpointUnavailable:
        this->turnCold(true, now);
        this->pause(firstUnreachablePause, longestUnreachablePause, now);
        break;
    case Refusal::ConnectionLost:
        this->turnCold(true, now);
        break;
    default:
        break;
    }
}

void EndpointState::sample(Duration service)
{
    if (this->samples.size() < sampleCount) {
        this->samples.push_back(service);
    } else {
        this->samples[this->nextSample] = service;
        this->nextSample = (this->nextSample + 1) % sampleCount;
    }
    if (this->samples.size() < fewestSamples) {
        return;
    }
    std::vector<Duration> ordered = this->samples;
    const auto middle = ordered.begin() + static_cast<std::ptrdiff_t>(ordered.size() / 2);
    std::nth_element(ordered.begin(), middle, ordered.end());
    this->median = *middle;
}

int EndpointState::lowestLimit() const
{
    return std::min(this->limits.coldSlots, this->limits.slots);
}

void EndpointState::turnCold(bool restarted, TimePoint now)
{
    this->currentLimit = this->lowestLimit();
    this->unproven = this->unproven || restarted;
    this->onTimeRow = 0;
    this->lateRow = 0;
    this->coldSince = now;
}

void EndpointState::pause(Duration first, Duration longest, TimePoint now)
{
    constexpr int mostDoublings = 10;
    const Duration length = first * (1 << std::min(this->pauseRow, mostDoublings));
    ++this->pauseRow;
    this->paused = now + std::min(length, longest);
}

}
