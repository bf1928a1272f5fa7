#include "http/endpointclientcore.h"

#include "core/log.h"
#include "http/endpointclientanswer.h"
#include "runtime/asiotimerservice.h"

#include <boost/asio/post.hpp>
#include <mutex>

namespace Lycheewall
{

namespace
{

/// Sweeps over the idle connections per idle time.
constexpr int sweepsPerIdleTime = 12;
/// Longest wait of the destructor for attempts to end.
constexpr std::chrono::seconds shutDownBound(3);

std::string hostText(const boost::asio::ip::tcp::endpoint &address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

}

EndpointClient::Core::Core(std::vector<Worker *> clientWorkers,
                           const Clock &bootClock,
                           Counters &counterRegistry,
                           const EndpointClientSettings &clientSettings)
    : workers(std::move(clientWorkers))
    , clock(bootClock)
    , counters(counterRegistry)
    , settings(clientSettings)
    , answeredCount(counterRegistry.counter("lycheewall_endpoint_attempts_answered_total"))
    , openedCount(counterRegistry.counter("lycheewall_endpoint_connections_opened_total"))
{
}

void EndpointClient::Core::startSweep()
{
    AsioTimerService timers(this->workers.front()->context());
    this->sweepTimer = timers.every(this->settings.idleFor / sweepsPerIdleTime, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->sweep();
        }
    });
}

EndpointClient::Core::PoolPtr EndpointClient::Core::find(const EndpointId &endpoint) const
{
    const std::shared_lock lock(this->poolsMutex);
    const auto entry = this->pools.find(endpoint);
    return entry == this->pools.end() ? nullptr : entry->second;
}

std::vector<EndpointClient::Core::PoolPtr> EndpointClient::Core::allPools() const
{
    const std::shared_lock lock(this->poolsMutex);
    std::vector<PoolPtr> all;
    all.reserve(this->pools.size());
    for (const auto &[endpoint, pool] : this->pools) {
        all.push_back(pool);
    }
    return all;
}

Worker &EndpointClient::Core::nextWorker()
{
    return *this->workers[this->workerTurn.fetch_add(1, std::memory_order_relaxed) % this->workers.size()];
}

void EndpointClient::Core::setAddress(const EndpointId &endpoint, const std::string &host, std::uint16_t port)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error) {
        Log::component("endpoint").error("address of " + endpoint.value() + " is not an IP address: " + host);
        return;
    }
    PoolPtr pool;
    {
        const std::unique_lock lock(this->poolsMutex);
        PoolPtr &entry = this->pools[endpoint];
        if (!entry) {
            entry = std::make_shared<EndpointPool>(this->settings.silentAfter);
        }
        pool = entry;
    }
    if (pool->setAddress({ address, port })) {
        this->closeAll(pool, pool->retireAll());
    }
}

EndpointAnswer EndpointClient::Core::refused(Refusal reason) const
{
    EndpointAnswer answer;
    answer.outcome = AttemptOutcome::NotRun;
    answer.reason = reason;
    return answer;
}

void EndpointClient::Core::start(const EndpointId &endpoint,
                                 const EndpointRequest &request,
                                 int budget,
                                 EndpointTransport::Callback callback)
{
    ++this->unfinished;
    auto attempt = std::make_shared<EndpointAttempt>();
    attempt->request = request;
    attempt->budget = budget;
    const TimePoint now = this->clock.now();
    attempt->deadline = now + request.remaining;
    attempt->callback = std::move(callback);
    const PoolPtr pool = this->find(endpoint);
    ConnectionSlot slot;
    if (pool && !this->closed) {
        slot = pool->take(request.idempotent, budget, now - this->settings.provenFor);
    }
    if (slot.kind == SlotKind::None) {
        const bool full = pool && !this->closed;
        const Refusal reason = full ? Refusal::EndpointConnectionCap : Refusal::EndpointUnavailable;
        this->nextWorker().spawn(
            [self = this->shared_from_this(), attempt, reason] { self->finish(attempt, self->refused(reason)); });
        return;
    }
    pool->add(attempt);
    if (!slot.connection) {
        slot.connection = std::make_shared<ClientConnection>(this->nextWorker());
    }
    pool->assign(attempt, slot.connection);
    slot.connection->worker().spawn([self = this->shared_from_this(), pool, attempt, slot] {
        EndpointAnswer answer = self->run(pool, attempt, slot);
        self->finish(attempt, std::move(answer));
    });
}

void EndpointClient::Core::finish(const EndpointAttemptPtr &attempt, EndpointAnswer answer)
{
    if (answer.outcome == AttemptOutcome::Answered) {
        this->answeredCount.add();
    } else {
        const bool notRun = answer.outcome == AttemptOutcome::NotRun;
        const std::string name = notRun ? "lycheewall_endpoint_not_run_total" : "lycheewall_endpoint_unknown_total";
        this->counters.counter(name, refusalCode(answer.reason)).add();
    }
    attempt->callback(std::move(answer));
    attempt->callback = nullptr;
    --this->unfinished;
}

bool EndpointClient::Core::prepare(const PoolPtr &pool, ConnectionSlot &slot, Duration bound)
{
    if (slot.kind == SlotKind::Idle) {
        if (slot.connection->usable()) {
            return true;
        }
        pool->reconnecting();
    }
    this->openedCount.add();
    const bool up = slot.connection->connect(pool->address(), std::min(bound, this->settings.connectBound));
    pool->established(up);
    slot.kind = up ? SlotKind::Fresh : SlotKind::None;
    return up;
}

EndpointAnswer EndpointClient::Core::run(const PoolPtr &pool, const EndpointAttemptPtr &attempt, ConnectionSlot slot)
{
    EndpointAnswer answer = this->refused(Refusal::EndpointUnavailable);
    if (this->prepare(pool, slot, attempt->deadline - this->clock.now())) {
        answer = this->send(pool, attempt, slot);
    }
    pool->remove(attempt);
    // The connection is given back first, so that the callback's next attempt can use it.
    if (slot.kind != SlotKind::None) {
        this->release(pool, slot);
    }
    return answer;
}

EndpointAnswer EndpointClient::Core::send(const PoolPtr &pool, const EndpointAttemptPtr &attempt, ConnectionSlot &slot)
{
    for (;;) {
        const TimePoint begun = this->clock.now();
        const Duration left = attempt->deadline - begun;
        if (left <= Duration::zero()) {
            return this->refused(Refusal::DeadlineExceeded);
        }
        const std::string text = runRequestText(attempt->request, hostText(pool->address()), left);
        if (text.empty()) {
            return this->refused(Refusal::BadRequest);
        }
        if (!pool->markSent(attempt)) {
            return this->refused(Refusal::Cancelled);
        }
        const ExchangeResult result = slot.connection->exchange(text, left, this->settings.answerBytes);
        // An idle connection whose end was noticed only by a write that took no byte: the request goes to a new one.
        const bool again = result.end == ExchangeEnd::NotSent && slot.kind == SlotKind::Idle
            && attempt->deadline > this->clock.now() && !pool->cancelled(attempt);
        if (!again) {
            EndpointAnswer answer = this->interpret(pool, attempt, result);
            answer.serviceTime = this->clock.now() - begun;
            return answer;
        }
        if (!this->prepare(pool, slot, attempt->deadline - this->clock.now())) {
            return this->refused(Refusal::EndpointUnavailable);
        }
    }
}

EndpointAnswer
EndpointClient::Core::interpret(const PoolPtr &pool, const EndpointAttemptPtr &attempt, const ExchangeResult &result)
{
    EndpointAnswer answer;
    answer.reason = pool->cancelled(attempt) ? Refusal::Cancelled : Refusal::ConnectionLost;
    switch (result.end) {
    case ExchangeEnd::Done:
        pool->answered();
        answer = readRunResponse(result.response);
        break;
    case ExchangeEnd::NotSent:
        answer = this->refused(pool->cancelled(attempt) ? Refusal::Cancelled : Refusal::EndpointUnavailable);
        break;
    case ExchangeEnd::TimedOut:
        answer.reason = Refusal::DeadlineExceeded;
        if (pool->timedOut()) {
            this->counters.counter("lycheewall_endpoint_silences_total").add();
            this->closeAll(pool, pool->retireAll());
        }
        break;
    case ExchangeEnd::Lost:
    case ExchangeEnd::TooLarge:
        break;
    }
    return answer;
}

void EndpointClient::Core::release(const PoolPtr &pool, const ConnectionSlot &slot)
{
    const bool idle = !this->closed && slot.connection->usable() && pool->giveBack(slot, this->clock.now());
    if (!idle) {
        slot.connection->close();
        pool->removed();
        return;
    }
    slot.connection->watch([weakPool = std::weak_ptr<EndpointPool>(pool),
                            weakConnection = std::weak_ptr<ClientConnection>(slot.connection)] {
        const auto endedPool = weakPool.lock();
        const auto connection = weakConnection.lock();
        if (endedPool && connection) {
            endedPool->removeIdle(connection);
        }
    });
}

void EndpointClient::Core::cancel(const EndpointId &endpoint, AttemptId id)
{
    const PoolPtr pool = this->find(endpoint);
    const EndpointAttemptPtr attempt = pool ? pool->markCancelled(id) : nullptr;
    if (!attempt) {
        return;
    }
    ConnectionSlot slot = pool->take(true, attempt->budget, TimePoint());
    if (slot.kind == SlotKind::None) {
        this->abort(pool, attempt);
        return;
    }
    if (!slot.connection) {
        slot.connection = std::make_shared<ClientConnection>(this->nextWorker());
    }
    ++this->unfinished;
    slot.connection->worker().spawn([self = this->shared_from_this(), pool, id, slot] {
        self->sendCancel(pool, id, slot);
        --self->unfinished;
    });
}

void EndpointClient::Core::sendCancel(const PoolPtr &pool, AttemptId attempt, ConnectionSlot slot)
{
    if (!this->prepare(pool, slot, this->settings.cancelBound)) {
        return;
    }
    const std::string text = cancelRequestText(attempt, hostText(pool->address()));
    slot.connection->exchange(text, this->settings.cancelBound, this->settings.answerBytes);
    this->release(pool, slot);
}

void EndpointClient::Core::abort(const PoolPtr &pool, const EndpointAttemptPtr &attempt)
{
    const ClientConnectionPtr connection = pool->connectionOf(attempt);
    if (!connection) {
        return;
    }
    boost::asio::post(connection->worker().context(), [pool, attempt, connection] {
        // On this thread, the attempt cannot end between the check and the close.
        if (pool->connectionOf(attempt) == connection) {
            connection->close();
        }
    });
}

void EndpointClient::Core::closeAll(const PoolPtr &pool, const std::vector<ClientConnectionPtr> &connections)
{
    for (const ClientConnectionPtr &connection : connections) {
        boost::asio::post(connection->worker().context(), [pool, connection] {
            connection->close();
            pool->removed();
        });
    }
}

void EndpointClient::Core::closeIdle(const EndpointId &endpoint)
{
    if (const PoolPtr pool = this->find(endpoint)) {
        this->closeAll(pool, pool->retireAll());
    }
}

int EndpointClient::Core::openConnections(const EndpointId &endpoint) const
{
    const PoolPtr pool = this->find(endpoint);
    return pool ? pool->openConnections() : 0;
}

void EndpointClient::Core::sweep()
{
    const TimePoint since = this->clock.now() - this->settings.idleFor;
    for (const PoolPtr &pool : this->allPools()) {
        this->closeAll(pool, pool->takeIdleBefore(since));
    }
}

void EndpointClient::Core::shutDown()
{
    this->closed = true;
    this->sweepTimer.reset();
    const auto end = std::chrono::steady_clock::now() + shutDownBound;
    for (;;) {
        int left = this->unfinished;
        for (const PoolPtr &pool : this->allPools()) {
            this->closeAll(pool, pool->retireAll());
            for (const EndpointAttemptPtr &attempt : pool->running()) {
                pool->markCancelled(attempt->request.attempt);
                this->abort(pool, attempt);
            }
            left += pool->openConnections();
        }
        if (left == 0 || std::chrono::steady_clock::now() > end) {
            return;
        }
        std::this_thread::sleep_for(Milliseconds(1));
    }
}

}
