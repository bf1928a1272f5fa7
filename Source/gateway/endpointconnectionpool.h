#pragma once

#include "core/counters.h"
#include "core/timerservice.h"
#include "gateway/endpointconnection.h"

#include <deque>
#include <list>
#include <unordered_map>

namespace Lycheewall
{

/**
 * The connections to all endpoints. Each endpoint gets at most the connections that a call allows; further calls wait
 * for one to become free.
 * Thread safety: none; used on the thread of the request loop.
 */
class EndpointConnectionPool : public EndpointSender, private EndpointConnection::Owner
{
public:
    EndpointConnectionPool(boost::asio::io_context &io,
                           const Clock &clock,
                           TimerService &timers,
                           Counters &counters,
                           const EndpointCodec &codec);
    ~EndpointConnectionPool() override;

    std::shared_ptr<OutgoingCall> send(const EndpointCall &call, std::function<void(CallOutcome)> done) override;

    /// Closes idle connections to endpoints that get no more work, and those near the end of their idle time.
    void sweep();

    std::size_t connectionCount() const;

private:
    class PooledCall;
    using ConnectionPtr = std::shared_ptr<EndpointConnection>;
    using CallPtr = std::shared_ptr<PooledCall>;
    struct Host
    {
        std::weak_ptr<ServiceEndpoint> endpoint;
        std::list<ConnectionPtr> idle;
        std::unordered_map<EndpointConnection *, CallPtr> busy;
        std::unordered_map<EndpointConnection *, ConnectionPtr> connecting;
        std::deque<CallPtr> waiting;

        std::size_t size() const
        {
            return this->idle.size() + this->busy.size() + this->connecting.size();
        }
    };

    void connected(const ConnectionPtr &connection) override;
    void connectFailed(const ConnectionPtr &connection) override;
    void answered(const ConnectionPtr &connection,
                  const CallOutcome &outcome,
                  const EndpointResponseMetadata &info,
                  bool reusable) override;
    void closedIdle(const ConnectionPtr &connection) override;

    Host &hostOf(const ConnectionPtr &connection);
    ConnectionPtr takeIdle(Host &host, bool nonIdempotent);
    void assign(Host &host, const ConnectionPtr &connection, const CallPtr &call);
    void serveWaiting(Host &host);
    void openFor(Host &host, const EndpointCall &call);
    void release(const CallPtr &call, Duration gracePeriod);
    void failLater(const CallPtr &call);
    void noteInfo(Host &host, const EndpointResponseMetadata &info);
    void forget(const ConnectionPtr &connection);
    /// Forgets the connection and closes it.
    void discard(const ConnectionPtr &connection);

    boost::asio::io_context &io;
    const Clock &clock;
    TimerService &timers;
    Counters &counters;
    const EndpointCodec &codec;
    std::unordered_map<EndpointId, Host> hosts;
    std::unordered_map<EndpointConnection *, EndpointId> hostsByConnection;
};

}
