#include "gateway/connectionbudget.h"

#include "core/memoryweight.h"
#include "forwarding/responsememory.h"

#include <algorithm>
#include <tuple>

namespace Lycheewall
{

namespace
{

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;
/// Memory of an instance without connections: the program, the route table and the state of the fleet.
constexpr std::size_t baseBytes = 32 * mebibyte;
/// Accepted connections and responses of endpoints get this share of the remaining memory each. The rest is
/// for what is not counted, such as fragmentation of the heap.
constexpr std::size_t shareNumerator = 3;
constexpr std::size_t shareDenominator = 8;
constexpr std::size_t minMemoryBytes = 2 * mebibyte;
/// Descriptors that the platform keeps for files, and those of listeners, timers, the store and the other instances.
constexpr std::size_t fileDescriptors = 200;
constexpr std::size_t ownDescriptors = 32;
constexpr std::size_t minSockets = 16;
/// Share of the sockets that is kept for connections to endpoints.
constexpr std::size_t endpointShareDenominator = 4;
/// More connections are ended than necessary, so that the search for them is rare: until an eighth of the memory that
/// requests in flight leave is free, or a 32nd of the connections has ended.
constexpr std::size_t freedMemoryDenominator = 8;
constexpr std::size_t freedConnectionsDenominator = 32;
/// Requests and responses from this size on are large: the requests leave a quarter of the memory to smaller ones, the
/// responses are dropped if there is no room for them.
constexpr std::size_t largeMessageBytes = std::size_t { 32 } * 1024;
constexpr std::size_t reservedForSmallDenominator = 4;
/// Shares of the memory and of the sockets that requests in flight leave to other connections, such as readiness checks
/// and those of other instances.
constexpr std::size_t reservedMemoryDenominator = 8;
constexpr std::size_t reservedSocketsDenominator = 32;

using Phase = ConnectionBudget::Phase;
using Resource = ConnectionBudget::Resource;

bool isEnding(Phase phase)
{
    return phase == Phase::Closing || phase == Phase::Closed;
}

const char *reasonOf(Resource resource)
{
    return resource == Resource::Memory ? "memory" : "descriptors";
}

std::size_t saturatingSubtract(std::size_t value, std::size_t amount)
{
    return value > amount ? value - amount : 0;
}

}

ConnectionLimits ConnectionLimits::ofMachine(std::size_t memoryLimitBytes, std::size_t maxDescriptors)
{
    const std::size_t available = saturatingSubtract(memoryLimitBytes, baseBytes);
    const std::size_t share = std::max(minMemoryBytes, available / shareDenominator * shareNumerator);
    ConnectionLimits limits;
    limits.memoryBytes = share;
    limits.responseBytes = std::min(ResponseMemory::maxTotalBytes, share);
    limits.allResponseBytes = share;
    limits.sockets = std::max(minSockets, saturatingSubtract(maxDescriptors, fileDescriptors + ownDescriptors));
    return limits;
}

ConnectionBudget::ConnectionBudget(const Clock &budgetClock,
                                   Counters &budgetCounters,
                                   const ConnectionLimits &connectionLimits)
    : clock(budgetClock)
    , counters(budgetCounters)
    , currentLimits(connectionLimits)
{
}

void ConnectionBudget::setLimits(const ConnectionLimits &limits)
{
    this->currentLimits = limits;
}

void ConnectionBudget::setEndpointSockets(SocketCount count)
{
    this->endpointSockets = std::move(count);
}

bool ConnectionBudget::add(Holder &holder)
{
    const std::size_t limit = this->maxConnections();
    if (this->connectionCount() >= limit) {
        this->reduce(Resource::Descriptors, limit - std::max<std::size_t>(1, limit / freedConnectionsDenominator));
    }
    if (this->connectionCount() >= limit) {
        this->counters.counter("lycheewall_front_connections_rejected_total").add();
        return false;
    }
    holder.phase = Phase::Idle;
    holder.phaseSince = this->clock.now();
    holder.isAdded = true;
    this->holders.insert(&holder);
    return true;
}

void ConnectionBudget::remove(Holder &holder)
{
    if (!holder.isAdded) {
        return;
    }
    this->setBytes(holder, 0);
    this->closedCount -= holder.phase == Phase::Closed ? 1 : 0;
    this->servingCount -= holder.phase == Phase::Serving ? 1 : 0;
    holder.isAdded = false;
    this->holders.erase(&holder);
}

void ConnectionBudget::update(Holder &holder, Phase phase, std::size_t bytes)
{
    if (!holder.isAdded) {
        return;
    }
    this->setPhase(holder, phase);
    this->setBytes(holder, bytes);
    if (this->remainingBytes() > this->currentLimits.memoryBytes) {
        this->reduce(Resource::Memory, this->reducedMemory());
    }
}

void ConnectionBudget::setPhase(Holder &holder, Phase phase)
{
    if (holder.phase == phase) {
        return;
    }
    const std::size_t bytes = holder.heldBytes;
    this->setBytes(holder, 0);
    this->closedCount = this->closedCount + (phase == Phase::Closed ? 1 : 0) - (holder.phase == Phase::Closed ? 1 : 0);
    this->servingCount
        = this->servingCount + (phase == Phase::Serving ? 1 : 0) - (holder.phase == Phase::Serving ? 1 : 0);
    holder.wasServed = holder.wasServed || (holder.phase == Phase::Sending && phase == Phase::Idle);
    holder.phase = phase;
    holder.phaseSince = this->clock.now();
    this->setBytes(holder, bytes);
}

void ConnectionBudget::setBytes(Holder &holder, std::size_t bytes)
{
    const auto replaceIn = [&holder, bytes](std::size_t &sum) {
        sum = sum - holder.heldBytes + bytes;
    };
    replaceIn(this->totalBytes);
    if (isEnding(holder.phase)) {
        replaceIn(this->endingBytes);
    }
    if (holder.phase == Phase::Serving) {
        replaceIn(this->servingBytes);
        this->largeServing += bytes >= largeMessageBytes ? 1 : 0;
        this->largeServing -= holder.heldBytes >= largeMessageBytes ? 1 : 0;
    }
    holder.heldBytes = bytes;
}

std::optional<Resource>
ConnectionBudget::startServing(Holder &holder, std::size_t bytes, std::size_t endpointSocketsNeeded)
{
    const std::size_t limit = this->currentLimits.memoryBytes;
    const bool isLarge = bytes >= largeMessageBytes;
    const std::size_t reserved = limit / (isLarge ? reservedForSmallDenominator : reservedMemoryDenominator);
    const bool hasRoom = this->servingBytes + bytes + reserved <= limit;
    // A single large request is served whatever its size.
    if (!hasRoom && !(isLarge && this->largeServing == 0)) {
        return Resource::Memory;
    }
    if (!this->hasSocketsToServe(endpointSocketsNeeded)) {
        return Resource::Descriptors;
    }
    const Phase previousPhase = holder.phase;
    this->setPhase(holder, Phase::Serving);
    const std::size_t used = this->connectionCount() + this->endpointSocketCount() + endpointSocketsNeeded;
    if (used > this->currentLimits.sockets) {
        const std::size_t excess = used - this->currentLimits.sockets;
        this->reduce(Resource::Descriptors, saturatingSubtract(this->connectionCount(), excess));
    }
    if (this->connectionCount() + this->endpointSocketCount() + endpointSocketsNeeded > this->currentLimits.sockets) {
        this->setPhase(holder, previousPhase);
        return Resource::Descriptors;
    }
    this->update(holder, Phase::Serving, bytes);
    return std::nullopt;
}

std::size_t ConnectionBudget::maxRequestBytes() const
{
    const std::size_t limit = this->currentLimits.memoryBytes;
    return limit - limit / reservedForSmallDenominator;
}

bool ConnectionBudget::mayReadAhead() const
{
    const std::size_t limit = this->currentLimits.memoryBytes;
    return this->servingBytes < limit - limit / reservedMemoryDenominator;
}

bool ConnectionBudget::makeRoomForResponse(std::size_t bytes)
{
    const std::size_t limit = this->currentLimits.memoryBytes;
    if (this->remainingBytes() + bytes > limit) {
        this->reduce(Resource::Memory, saturatingSubtract(this->reducedMemory(), bytes));
    }
    return bytes < largeMessageBytes || this->totalBytes + bytes <= limit;
}

void ConnectionBudget::releaseDescriptors()
{
    const std::size_t count = this->connectionCount();
    this->reduce(Resource::Descriptors, saturatingSubtract(count, 1 + count / freedConnectionsDenominator));
}

std::size_t ConnectionBudget::heldBytes() const
{
    return this->totalBytes;
}

std::size_t ConnectionBudget::connectionCount() const
{
    return this->holders.size() - this->closedCount;
}

std::size_t ConnectionBudget::remainingBytes() const
{
    return this->totalBytes - this->endingBytes;
}

std::size_t ConnectionBudget::reducedMemory() const
{
    const std::size_t limit = this->currentLimits.memoryBytes;
    return limit - saturatingSubtract(limit, this->servingBytes) / freedMemoryDenominator;
}

bool ConnectionBudget::hasSocketsToServe(std::size_t endpointSocketsNeeded) const
{
    const std::size_t all = this->currentLimits.sockets;
    const std::size_t forEndpoints
        = std::max(this->endpointSocketCount() + endpointSocketsNeeded, all / endpointShareDenominator);
    const std::size_t reserved = std::max<std::size_t>(1, all / reservedSocketsDenominator);
    return this->servingCount + 1 + forEndpoints + reserved <= all;
}

std::size_t ConnectionBudget::endpointSocketCount() const
{
    return this->endpointSockets ? this->endpointSockets() : 0;
}

std::size_t ConnectionBudget::maxConnections() const
{
    const std::size_t all = this->currentLimits.sockets;
    const std::size_t keptForEndpoints = std::max(this->endpointSocketCount(), all / endpointShareDenominator);
    return std::max<std::size_t>(1, saturatingSubtract(all, keptForEndpoints));
}

ConnectionBudget::Holders ConnectionBudget::orderedByMemory() const
{
    struct Candidate
    {
        Holder *holder;
        /// An idle connection holds little, and its client may use it again; it is ended after all others.
        bool isIdle;
        double weight;
    };
    std::vector<Candidate> candidates;
    const TimePoint now = this->clock.now();
    for (Holder *holder : this->holders) {
        if (holder->phase != Phase::Serving && !isEnding(holder->phase) && holder->heldBytes > 0) {
            const double weight = memoryWeight(holder->heldBytes, now - holder->phaseSince);
            candidates.push_back({ holder, holder->phase == Phase::Idle, weight });
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::make_pair(left.isIdle, -left.weight) < std::make_pair(right.isIdle, -right.weight);
    });
    Holders ordered;
    for (const Candidate &candidate : candidates) {
        ordered.push_back(candidate.holder);
    }
    return ordered;
}

ConnectionBudget::Holders ConnectionBudget::orderedByProgress() const
{
    Holders candidates;
    for (Holder *holder : this->holders) {
        if (holder->phase != Phase::Serving && holder->phase != Phase::Closed) {
            candidates.push_back(holder);
        }
    }
    // First connections that end anyway, then those that have sent no response yet, each by the time in their phase.
    const auto key = [](const Holder *holder) {
        return std::make_tuple(holder->phase != Phase::Closing, holder->wasServed, holder->phaseSince);
    };
    std::sort(candidates.begin(), candidates.end(), [&key](const Holder *left, const Holder *right) {
        return key(left) < key(right);
    });
    return candidates;
}

std::size_t ConnectionBudget::inUse(Resource resource) const
{
    return resource == Resource::Memory ? this->remainingBytes() : this->connectionCount();
}

void ConnectionBudget::reduce(Resource resource, std::size_t target)
{
    if (this->reducing) {
        return;
    }
    this->reducing = true;
    for (Holder *holder : resource == Resource::Memory ? this->orderedByMemory() : this->orderedByProgress()) {
        if (this->inUse(resource) <= target) {
            break;
        }
        this->end(*holder, resource);
    }
    this->reducing = false;
}

void ConnectionBudget::end(Holder &holder, Resource resource)
{
    this->counters.counter("lycheewall_front_connections_ended_total", reasonOf(resource)).add();
    this->setPhase(holder, Phase::Closing);
    holder.endForShortage(resource);
}

}
