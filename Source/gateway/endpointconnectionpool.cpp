#include "gateway/endpointconnectionpool.h"

#include "runtime/socketaddress.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace Lycheewall
{

namespace
{

/// The endpoint counts as unreachable for the request if it does not accept a connection within this time.
constexpr Duration connectTimeout = Milliseconds(250);
/// A non-idempotent request is not sent on a connection that was idle for longer: the endpoint may be closing it at
/// that moment, and then it is unknown whether the request ran.
constexpr Duration maxNonIdempotentIdle = Milliseconds(500);
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

    bool mayHaveBeenSent() const override
    {
        return this->sent;
    }

    void cancel(Duration gracePeriod) override
    {
        this->pool.cancelCall(this->shared_from_this(), gracePeriod);
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
    bool sent = false;
    TimePoint sentAt;
    Subscription graceTimer;
};

EndpointConnectionPool::EndpointConnectionPool(boost::asio::io_context &ioContext,
                                               const Clock &poolClock,
                                               TimerService &timerService,
                                               Counters &poolCounters,
                                               EndpointStatementHandler &endpointStatementHandler,
                                               const EndpointCodec &endpointCodec)
    : io(ioContext)
    , clock(poolClock)
    , timers(timerService)
    , counters(poolCounters)
    , statementHandler(endpointStatementHandler)
    , codec(endpointCodec)
    , memory(std::make_shared<ResponseMemory>(poolClock))
{
}

EndpointConnectionPool::~EndpointConnectionPool() = default;

std::shared_ptr<OutgoingCall> EndpointConnectionPool::send(const EndpointCall &call,
                                                           std::function<void(CallOutcome)> done)
{
    const auto pooled = std::make_shared<PooledCall>(*this, call, std::move(done));
    EndpointConnections &connections = this->connectionsByEndpoint[call.endpoint->record.id];
    connections.endpoint = call.endpoint;
    if (const ConnectionPtr connection = this->acquireIdle(connections, call.nonIdempotent)) {
        this->assign(connections, connection, pooled);
        return pooled;
    }
    connections.queued.push_back(pooled);
    if (connections.size() < call.connectionLimit) {
        this->openConnection(connections, call);
    } else if (call.nonIdempotent && !connections.idle.empty()) {
        // All idle connections have been idle for too long; the oldest one is replaced by a new connection.
        const ConnectionPtr oldest = connections.idle.front();
        connections.idle.pop_front();
        this->discard(oldest);
        this->openConnection(connections, call);
    }
    return pooled;
}

EndpointConnectionPool::ConnectionPtr EndpointConnectionPool::acquireIdle(EndpointConnections &connections,
                                                                          bool nonIdempotent)
{
    const TimePoint now = this->clock.now();
    while (!connections.idle.empty()) {
        ConnectionPtr connection = connections.idle.back();
        if (nonIdempotent && connection->idleTime(now) > maxNonIdempotentIdle) {
            return nullptr;
        }
        connections.idle.pop_back();
        if (connection->isUsable(now)) {
            return connection;
        }
        this->discard(connection);
    }
    return nullptr;
}

void EndpointConnectionPool::openConnection(EndpointConnections &connections, const EndpointCall &call)
{
    const auto address = parseAddress(call.endpoint->record.address);
    if (!address) {
        this->counters.counter("lycheewall_endpoint_bad_addresses_total").add();
        const CallPtr failedCall = connections.queued.back();
        connections.queued.pop_back();
        this->postFailure(failedCall);
        return;
    }
    Owner &owner = *this;
    const auto connection
        = std::make_shared<EndpointConnection>(this->io, this->clock, this->codec, this->memory, owner);
    connections.connecting[connection.get()] = connection;
    this->endpointByConnection[connection.get()] = call.endpoint->record.id;
    this->counters.counter("lycheewall_endpoint_connects_total").add();
    connection->connect(address.value(), connectTimeout);
}

void EndpointConnectionPool::postFailure(const CallPtr &call)
{
    boost::asio::post(this->io, [call] { call->finish({}); });
}

EndpointConnectionPool::EndpointConnections &EndpointConnectionPool::connectionsOf(const ConnectionPtr &connection)
{
    return this->connectionsByEndpoint[this->endpointByConnection[connection.get()]];
}

void EndpointConnectionPool::unregister(const ConnectionPtr &connection)
{
    this->endpointByConnection.erase(connection.get());
}

void EndpointConnectionPool::discard(const ConnectionPtr &connection)
{
    this->unregister(connection);
    connection->close();
}

void EndpointConnectionPool::assign(EndpointConnections &connections,
                                    const ConnectionPtr &connection,
                                    const CallPtr &call)
{
    call->connection = connection;
    call->sent = true;
    call->sentAt = this->clock.now();
    connections.busy[connection.get()] = call;
    connection->send(call->call);
}

void EndpointConnectionPool::dispatchQueued(EndpointConnections &connections)
{
    if (connections.queued.empty()) {
        return;
    }
    this->failRejectedCalls(connections);
    while (!connections.queued.empty()) {
        const CallPtr next = connections.queued.front();
        const ConnectionPtr connection = this->acquireIdle(connections, next->call.nonIdempotent);
        if (!connection) {
            if (connections.size() < next->call.connectionLimit
                && connections.connecting.size() < connections.queued.size()) {
                this->openConnection(connections, next->call);
            }
            return;
        }
        connections.queued.pop_front();
        this->assign(connections, connection, next);
    }
}

void EndpointConnectionPool::connected(const ConnectionPtr &connection)
{
    EndpointConnections &connections = this->connectionsOf(connection);
    connections.connecting.erase(connection.get());
    connections.idle.push_back(connection);
    this->dispatchQueued(connections);
}

void EndpointConnectionPool::connectFailed(const ConnectionPtr &connection)
{
    EndpointConnections &connections = this->connectionsOf(connection);
    connections.connecting.erase(connection.get());
    this->unregister(connection);
    this->counters.counter("lycheewall_endpoint_connect_failures_total").add();
    if (connections.queued.empty()) {
        return;
    }
    const CallPtr failedCall = connections.queued.front();
    connections.queued.pop_front();
    this->dispatchQueued(connections);
    failedCall->finish({});
}

void EndpointConnectionPool::requestFinished(const ConnectionPtr &connection,
                                             const CallOutcome &outcome,
                                             const EndpointResponseMetadata &info,
                                             bool reusable)
{
    EndpointConnections &connections = this->connectionsOf(connection);
    const auto entry = connections.busy.find(connection.get());
    const CallPtr call = entry->second;
    connections.busy.erase(entry);
    call->connection.reset();
    if (reusable) {
        connections.idle.push_back(connection);
    } else {
        this->unregister(connection);
    }
    const bool hasResponded = outcome.result == CallResult::Answered || outcome.result == CallResult::NotRun;
    if (hasResponded) {
        this->updateEndpoint(*call, outcome, info);
    }
    this->dispatchQueued(connections);
    call->finish(outcome);
}

void EndpointConnectionPool::updateEndpoint(const PooledCall &call,
                                            const CallOutcome &outcome,
                                            const EndpointResponseMetadata &info)
{
    // Not the latest endpoint of these connections: another process may have been registered under the same id since.
    ServiceEndpoint &endpoint = *call.call.endpoint;
    const TimePoint now = this->clock.now();
    if (info.load) {
        endpoint.stats.updateLoad(*info.load, now);
    }
    if (info.remainingWarmup) {
        endpoint.coldUntil = now + *info.remainingWarmup;
    }
    this->statementHandler.apply(endpoint, info.statement, call.sentAt, outcome.result == CallResult::Answered);
}

void EndpointConnectionPool::failRejectedCalls(EndpointConnections &connections)
{
    const auto isAccepted = [now = this->clock.now()](const CallPtr &call) {
        const ServiceEndpoint &endpoint = *call->call.endpoint;
        return endpoint.isAvailable() && !endpoint.wantsNoRequests(now);
    };
    auto &queued = connections.queued;
    const auto firstRejected = std::stable_partition(queued.begin(), queued.end(), isAccepted);
    std::for_each(firstRejected, queued.end(), [this](const CallPtr &call) { this->postFailure(call); });
    queued.erase(firstRejected, queued.end());
}

void EndpointConnectionPool::closedWhileIdle(const ConnectionPtr &connection)
{
    EndpointConnections &connections = this->connectionsOf(connection);
    connections.idle.remove(connection);
    this->unregister(connection);
}

void EndpointConnectionPool::cancelCall(const CallPtr &call, Duration gracePeriod)
{
    call->done = nullptr;
    EndpointConnections &connections = this->connectionsByEndpoint[call->call.endpoint->record.id];
    const auto place = std::find(connections.queued.begin(), connections.queued.end(), call);
    if (place != connections.queued.end()) {
        connections.queued.erase(place);
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
        EndpointConnections &callConnections = this->connectionsOf(connection);
        callConnections.busy.erase(connection.get());
        call->connection.reset();
        this->discard(connection);
        this->dispatchQueued(callConnections);
    });
}

void EndpointConnectionPool::closeUnusableConnections()
{
    const TimePoint now = this->clock.now();
    for (auto entry = this->connectionsByEndpoint.begin(); entry != this->connectionsByEndpoint.end();) {
        EndpointConnections &connections = entry->second;
        const EndpointPtr endpoint = connections.endpoint.lock();
        const bool acceptsRequests = endpoint && endpoint->isAvailable();
        this->failRejectedCalls(connections);
        for (auto place = connections.idle.begin(); place != connections.idle.end();) {
            const ConnectionPtr connection = *place;
            if (acceptsRequests && connection->isUsable(now)) {
                ++place;
                continue;
            }
            place = connections.idle.erase(place);
            this->discard(connection);
        }
        const bool empty = connections.size() == 0 && connections.queued.empty();
        entry = !endpoint && empty ? this->connectionsByEndpoint.erase(entry) : std::next(entry);
    }
}

const std::shared_ptr<ResponseMemory> &EndpointConnectionPool::responseMemory() const
{
    return this->memory;
}

ConnectionUsage EndpointConnectionPool::usageOf(const EndpointId &endpoint) const
{
    const auto entry = this->connectionsByEndpoint.find(endpoint);
    if (entry == this->connectionsByEndpoint.end()) {
        return {};
    }
    const EndpointConnections &connections = entry->second;
    return { connections.size(), connections.idle.size(), connections.queued.size() };
}

std::size_t EndpointConnectionPool::connectionCount() const
{
    return this->endpointByConnection.size();
}

}
