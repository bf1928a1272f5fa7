#include "http/endpointpool.h"

#include <algorithm>

namespace Lycheewall
{

EndpointPool::EndpointPool(int silentAttempts)
    : silentAfter(silentAttempts)
{
}

ConnectionSlot EndpointPool::take(bool idempotent, int budget, TimePoint provenSince)
{
    const std::lock_guard lock(this->mutex);
    ConnectionSlot slot;
    slot.generation = this->generation;
    if (!this->idle.empty() && (idempotent || this->idle.back().answered >= provenSince)) {
        slot.kind = SlotKind::Idle;
        slot.connection = this->idle.back().connection;
        this->idle.pop_back();
        return slot;
    }
    // While the endpoint seems silent, connections are established one at a time.
    if (this->silent >= this->silentAfter && this->connecting > 0) {
        return slot;
    }
    if (this->open < budget) {
        slot.kind = SlotKind::Fresh;
        ++this->open;
        ++this->connecting;
    } else if (!this->idle.empty() && this->open <= budget) {
        slot.kind = SlotKind::Replace;
        slot.connection = this->idle.back().connection;
        this->idle.pop_back();
        ++this->connecting;
    }
    return slot;
}

void EndpointPool::established(bool up)
{
    const std::lock_guard lock(this->mutex);
    --this->connecting;
    this->open -= up ? 0 : 1;
}

void EndpointPool::reconnecting()
{
    const std::lock_guard lock(this->mutex);
    ++this->connecting;
}

bool EndpointPool::giveBack(const ConnectionSlot &slot, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    if (slot.generation != this->generation) {
        return false;
    }
    this->idle.push_back({ slot.connection, now });
    return true;
}

void EndpointPool::removed()
{
    const std::lock_guard lock(this->mutex);
    --this->open;
}

bool EndpointPool::removeIdle(const ClientConnectionPtr &connection)
{
    const std::lock_guard lock(this->mutex);
    const auto entry = std::find_if(this->idle.begin(), this->idle.end(), [&](const Idle &candidate) {
        return candidate.connection == connection;
    });
    if (entry == this->idle.end()) {
        return false;
    }
    this->idle.erase(entry);
    --this->open;
    return true;
}

std::vector<ClientConnectionPtr> EndpointPool::takeIdleBefore(TimePoint since)
{
    const std::lock_guard lock(this->mutex);
    std::vector<ClientConnectionPtr> old;
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        if (entry->answered < since) {
            old.push_back(entry->connection);
            entry = this->idle.erase(entry);
        } else {
            ++entry;
        }
    }
    return old;
}

std::vector<ClientConnectionPtr> EndpointPool::retireAll()
{
    const std::lock_guard lock(this->mutex);
    ++this->generation;
    std::vector<ClientConnectionPtr> all;
    for (const Idle &entry : this->idle) {
        all.push_back(entry.connection);
    }
    this->idle.clear();
    return all;
}

bool EndpointPool::timedOut()
{
    const std::lock_guard lock(this->mutex);
    ++this->silent;
    return this->silent >= this->silentAfter;
}

void EndpointPool::answered()
{
    const std::lock_guard lock(this->mutex);
    this->silent = 0;
}

bool EndpointPool::setAddress(const boost::asio::ip::tcp::endpoint &newAddress)
{
    const std::lock_guard lock(this->mutex);
    const bool changed = this->target != newAddress;
    this->target = newAddress;
    return changed;
}

boost::asio::ip::tcp::endpoint EndpointPool::address() const
{
    const std::lock_guard lock(this->mutex);
    return this->target;
}

int EndpointPool::openConnections() const
{
    const std::lock_guard lock(this->mutex);
    return this->open;
}

void EndpointPool::add(const EndpointAttemptPtr &attempt)
{
    const std::lock_guard lock(this->mutex);
    this->attempts[attempt->request.attempt.value()] = attempt;
}

void EndpointPool::remove(const EndpointAttemptPtr &attempt)
{
    const std::lock_guard lock(this->mutex);
    attempt->connection = nullptr;
    const auto entry = this->attempts.find(attempt->request.attempt.value());
    if (entry != this->attempts.end() && entry->second == attempt) {
        this->attempts.erase(entry);
    }
}

void EndpointPool::assign(const EndpointAttemptPtr &attempt, const ClientConnectionPtr &connection)
{
    const std::lock_guard lock(this->mutex);
    attempt->connection = connection;
}

bool EndpointPool::markSent(const EndpointAttemptPtr &attempt)
{
    const std::lock_guard lock(this->mutex);
    attempt->sent = !attempt->cancelled;
    return attempt->sent;
}

EndpointAttemptPtr EndpointPool::markCancelled(AttemptId attempt)
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->attempts.find(attempt.value());
    if (entry == this->attempts.end() || entry->second->cancelled) {
        return nullptr;
    }
    entry->second->cancelled = true;
    return entry->second->sent ? entry->second : nullptr;
}

ClientConnectionPtr EndpointPool::connectionOf(const EndpointAttemptPtr &attempt) const
{
    const std::lock_guard lock(this->mutex);
    return attempt->connection;
}

bool EndpointPool::cancelled(const EndpointAttemptPtr &attempt) const
{
    const std::lock_guard lock(this->mutex);
    return attempt->cancelled;
}

std::vector<EndpointAttemptPtr> EndpointPool::running() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<EndpointAttemptPtr> present;
    present.reserve(this->attempts.size());
    for (const auto &[id, attempt] : this->attempts) {
        present.push_back(attempt);
    }
    return present;
}

}
