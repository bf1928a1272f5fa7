#pragma once

#include "core/timerservice.h"
#include "http/endpointclient.h"
#include "http/endpointpool.h"

#include <atomic>
#include <shared_mutex>

namespace Lycheewall
{

/**
 * The state of EndpointClient, shared with the fibers of its attempts.
 * Thread safety: any thread.
 */
class EndpointClient::Core : public std::enable_shared_from_this<EndpointClient::Core>
{
public:
    Core(std::vector<Worker *> clientWorkers,
         const Clock &bootClock,
         Counters &counterRegistry,
         const EndpointClientSettings &clientSettings);

    void startSweep();
    void setAddress(const EndpointId &endpoint, const std::string &host, std::uint16_t port);
    void
    start(const EndpointId &endpoint, const EndpointRequest &request, int budget, EndpointTransport::Callback callback);
    void cancel(const EndpointId &endpoint, AttemptId attempt);
    void closeIdle(const EndpointId &endpoint);
    int openConnections(const EndpointId &endpoint) const;
    void shutDown();

private:
    using PoolPtr = std::shared_ptr<EndpointPool>;

    PoolPtr find(const EndpointId &endpoint) const;
    std::vector<PoolPtr> allPools() const;
    Worker &nextWorker();
    void finish(const EndpointAttemptPtr &attempt, EndpointAnswer answer);
    EndpointAnswer refused(Refusal reason) const;

    EndpointAnswer run(const PoolPtr &pool, const EndpointAttemptPtr &attempt, ConnectionSlot slot);
    EndpointAnswer send(const PoolPtr &pool, const EndpointAttemptPtr &attempt, ConnectionSlot &slot);
    EndpointAnswer interpret(const PoolPtr &pool, const EndpointAttemptPtr &attempt, const ExchangeResult &result);
    bool prepare(const PoolPtr &pool, ConnectionSlot &slot, Duration bound);
    void sendCancel(const PoolPtr &pool, AttemptId attempt, ConnectionSlot slot);
    void release(const PoolPtr &pool, const ConnectionSlot &slot);
    void abort(const PoolPtr &pool, const EndpointAttemptPtr &attempt);
    void closeAll(const PoolPtr &pool, const std::vector<ClientConnectionPtr> &connections);
    void sweep();

    const std::vector<Worker *> workers;
    const Clock &clock;
    Counters &counters;
    const EndpointClientSettings settings;
    Counter &answeredCount;
    Counter &openedCount;
    std::atomic<std::size_t> workerTurn { 0 };
    std::atomic<int> unfinished { 0 };
    std::atomic<bool> closed { false };
    mutable std::shared_mutex poolsMutex;
    std::unordered_map<EndpointId, PoolPtr> pools;
    Subscription sweepTimer;
};

}
