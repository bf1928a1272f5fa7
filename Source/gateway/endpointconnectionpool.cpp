#include "gateway/endpointconnectionpool.h"

#include "runtime/socketaddress.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace Lycheewall
{

namespace
{

/// An endpoint that does not accept a connection within this time counts as unreachable for the request.
constexpr Duration connectTimeout = Milliseconds(250);
/// A request that must not run twice is not sent on a connection that was idle for longer: the endpoint may be closing
/// it at this moment, and then it is unknown whether the request ran.
constexpr Duration freshIdle = Milliseconds(500);

}

class EndpointConnectionPool::PooledCall : public OutgoingCall, public std::enable_shared_from_this<PooledCall>
{
public:
    PooledCall(EndpointConnectionPool &callPool, EndpointCall endpointCall, std::function<void(CallOutcome)> callback)
        : pool(callPool)
        , call(std::move(endpointCall))
        , done(std::move(callback))
    {
    }

    void cancel(Duration gracePeriod) override
    {
        this->pool.release(this->shared_from_this(), gracePeriod);
    }

    void finish(const CallOutcome &outcome)
    {
        this->graceTimer.reset();
        if (!this->done) {
            return;
        }
        const auto callback = std::move(this->done);
        this->done = nullptr;
        callback(outcome);
    }

    EndpointConnectionPool &pool;
    EndpointCall call;
    std::function<void(CallOutcome)> done;
    ConnectionPtr connection;
    Subscription graceTimer;
};

EndpointConnectionPool::EndpointConnectionPool(boost::asio::io_context &ioContext,
                                               const Clock &poolClock,
                                               TimerService &timerService,
                                               Counters &poolCounters,
                                               const EndpointCodec &endpointDialect)
    : io(ioContext)
    , clock(poolClock)
    , timers(timerService)
    , counters(poolCounters)
    , codec(endpointDialect)
{
}

EndpointConnectionPool::~EndpointConnectionPool() = default;

std::shared_ptr<OutgoingCall> EndpointConnectionPool::send(const EndpointCall &call,
                                                           std::function<void(CallOutcome)> done)
{
    const auto pooled = std::make_shared<PooledCall>(*this, call, std::move(done));
    Host &host = this->hosts[call.endpoint->record.id];
    host.endpoint = call.endpoint;
    if (const ConnectionPtr connection = this->takeIdle(host, call.nonIdempotent)) {
        this->assign(host, connection, pooled);
        return pooled;
    }
    host.waiting.push_back(pooled);
    if (host.size() < call.connectionLimit) {
        this->openFor(host, call);
    } else if (call.nonIdempotent && !host.idle.empty()) {
        // The oldest idle connection gives way to a new one.
        const ConnectionPtr old = host.idle.front();
        host.idle.pop_front();
        this->discard(old);
        this->openFor(host, call);
    }
    return pooled;
}

EndpointConnectionPool::ConnectionPtr EndpointConnectionPool::takeIdle(Host &host, bool nonIdempotent)
{
    const TimePoint now = this->clock.now();
    while (!host.idle.empty()) {
        ConnectionPtr connection = host.idle.back();
        if (nonIdempotent && connection->idleTime(now) > freshIdle) {
            return nullptr;
        }
        host.idle.pop_back();
        if (connection->isUsable(now)) {
            return connection;
        }
        this->discard(connection);
    }
    return nullptr;
}

void EndpointConnectionPool::openFor(Host &host, const EndpointCall &call)
{
    const auto address = parseAddress(call.endpoint->record.address);
    if (!address) {
        this->counters.counter("lycheewall_endpoint_bad_addresses_total").add();
        const CallPtr failing = host.waiting.back();
        host.waiting.pop_back();
        this->failLater(failing);
        return;
    }
    Owner &owner = *this;
    const auto connection = std::make_shared<EndpointConnection>(this->io, this->clock, this->codec, owner);
    host.connecting[connection.get()] = connection;
    this->hostsByConnection[connection.get()] = call.endpoint->record.id;
    this->counters.counter("lycheewall_endpoint_connects_total").add();
    connection->connect(address.value(), connectTimeout);
}

void EndpointConnectionPool::failLater(const CallPtr &call)
{
    boost::asio::post(this->io, [call] { call->finish({}); });
}

EndpointConnectionPool::Host &EndpointConnectionPool::hostOf(const ConnectionPtr &connection)
{
    return this->hosts[this->hostsByConnection[connection.get()]];
}

void EndpointConnectionPool::forget(const ConnectionPtr &connection)
{
    this->hostsByConnection.erase(connection.get());
}

void EndpointConnectionPool::discard(const ConnectionPtr &connection)
{
    this->forget(connection);
    connection->close();
}

void EndpointConnectionPool::assign(Host &host, const ConnectionPtr &connection, const CallPtr &call)
{
    call->connection = connection;
    host.busy[connection.get()] = call;
    connection->send(call->call);
}

void EndpointConnectionPool::serveWaiting(Host &host)
{
    while (!host.waiting.empty()) {
        const CallPtr next = host.waiting.front();
        const ConnectionPtr connection = this->takeIdle(host, next->call.nonIdempotent);
        if (!connection) {
            if (host.size() < next->call.connectionLimit && host.connecting.size() < host.waiting.size()) {
                this->openFor(host, next->call);
            }
            return;
        }
        host.waiting.pop_front();
        this->assign(host, connection, next);
    }
}

void EndpointConnectionPool::connected(const ConnectionPtr &connection)
{
    Host &host = this->hostOf(connection);
    host.connecting.erase(connection.get());
    host.idle.push_back(connection);
    this->serveWaiting(host);
}

void EndpointConnectionPool::connectFailed(const ConnectionPtr &connection)
{
    Host &host = this->hostOf(connection);
    host.connecting.erase(connection.get());
    this->forget(connection);
    this->counters.counter("lycheewall_endpoint_connect_failures_total").add();
    if (host.waiting.empty()) {
        return;
    }
    const CallPtr failing = host.waiting.front();
    host.waiting.pop_front();
    this->serveWaiting(host);
    failing->finish({});
}

void EndpointConnectionPool::answered(const ConnectionPtr &connection,
                                      const CallOutcome &outcome,
                                      const EndpointResponseMetadata &info,
                                      bool reusable)
{
    Host &host = this->hostOf(connection);
    const auto entry = host.busy.find(connection.get());
    const CallPtr call = entry->second;
    host.busy.erase(entry);
    call->connection.reset();
    if (reusable) {
        host.idle.push_back(connection);
    } else {
        this->forget(connection);
    }
    this->noteInfo(host, info);
    this->serveWaiting(host);
    call->finish(outcome);
}

void EndpointConnectionPool::noteInfo(Host &host, const EndpointResponseMetadata &info)
{
    const EndpointPtr endpoint = host.endpoint.lock();
    if (!endpoint) {
        return;
    }
    const TimePoint now = this->clock.now();
    if (info.load) {
        endpoint->stats.updateLoad(*info.load, now);
    }
    if (info.remainingWarmup) {
        endpoint->coldUntil = now + *info.remainingWarmup;
    }
}

void EndpointConnectionPool::closedIdle(const ConnectionPtr &connection)
{
    Host &host = this->hostOf(connection);
    host.idle.remove(connection);
    this->forget(connection);
}

void EndpointConnectionPool::release(const CallPtr &call, Duration gracePeriod)
{
    call->done = nullptr;
    Host &host = this->hosts[call->call.endpoint->record.id];
    const auto place = std::find(host.waiting.begin(), host.waiting.end(), call);
    if (place != host.waiting.end()) {
        host.waiting.erase(place);
        return;
    }
    if (!call->connection) {
        return;
    }
    call->graceTimer = this->timers.after(gracePeriod, [this, call] {
        const ConnectionPtr connection = call->connection;
        if (!connection) {
            return;
        }
        Host &owner = this->hostOf(connection);
        owner.busy.erase(connection.get());
        call->connection.reset();
        this->discard(connection);
        this->serveWaiting(owner);
    });
}

void EndpointConnectionPool::sweep()
{
    const TimePoint now = this->clock.now();
    for (auto entry = this->hosts.begin(); entry != this->hosts.end();) {
        Host &host = entry->second;
        const EndpointPtr endpoint = host.endpoint.lock();
        const bool inUse = endpoint && endpoint->registered && !endpoint->record.draining;
        for (auto place = host.idle.begin(); place != host.idle.end();) {
            const ConnectionPtr connection = *place;
            if (inUse && connection->isUsable(now)) {
                ++place;
                continue;
            }
            place = host.idle.erase(place);
            this->discard(connection);
        }
        const bool empty = host.size() == 0 && host.waiting.empty();
        entry = !endpoint && empty ? this->hosts.erase(entry) : std::next(entry);
    }
}

std::size_t EndpointConnectionPool::connectionCount() const
{
    return this->hostsByConnection.size();
}

}
