#pragma once

#include "core/manualclock.h"
#include "core/random.h"
#include "lease/ownership.h"
#include "scheduling/endpointtransport.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Lycheewall
{

/// Events on a manual clock; one clock timer stands for all of them because removing clock timers is slow.
class EventQueue
{
public:
    explicit EventQueue(ManualClock &manualClock)
        : clock(manualClock)
    {
    }
    void after(Duration delay, std::function<void()> action)
    {
        this->events.emplace(std::make_pair(this->clock.now() + delay, ++this->last), std::move(action));
        this->arm();
    }

private:
    void arm()
    {
        if (this->events.empty() || (this->timer && this->armed <= this->events.begin()->first.first)) {
            return;
        }
        this->armed = this->events.begin()->first.first;
        this->timer
            = this->clock.after(std::max(Duration::zero(), this->armed - this->clock.now()), [this] { this->run(); });
    }
    void run()
    {
        this->timer.reset();
        while (!this->events.empty() && this->events.begin()->first.first <= this->clock.now()) {
            const auto action = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            action();
        }
        this->arm();
    }

    ManualClock &clock;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events;
    std::uint64_t last = 0;
    Subscription timer;
    TimePoint armed {};
};

/// One endpoint process of the fake, and what was seen there.
struct FakeEndpoint
{
    int slots = 2;
    double slowness = 1;
    bool silent = false;
    bool draining = false;
    bool refusesConnections = false;
    /// Loses the connection after it ran the request.
    bool losesAnswers = false;
    /// Requests in flight from which on it sheds.
    int shedFrom = 1000000;
    /// Answers left until it is warm; while cold it bears one request at a time.
    int coldAnswers = 0;
    std::string incarnation = "a";
    /// Empty: has every version.
    std::set<SnapshotVersion> versions;
    /// Answers with this version or group instead of the asked ones.
    std::optional<SnapshotVersion> wrongVersion;

    int inFlight = 0;
    int mostInFlight = 0;
    /// Requests that came while a cold endpoint already ran one.
    int coldOverloads = 0;
    std::uint64_t starts = 0;
    int running = 0;
    std::deque<AttemptId> waiting;
};

/// Endpoints with slots, service times and faults behind EndpointTransport, on a manual clock.
class FakeEndpoints : public EndpointTransport
{
public:
    static constexpr Duration oneWay = std::chrono::microseconds(300);

    FakeEndpoints(ManualClock &manualClock, std::uint64_t seed)
        : clock(manualClock)
        , queue(manualClock)
        , random(seed)
    {
    }

    void start(const EndpointId &endpoint, const EndpointRequest &request, int connections, Callback callback) override
    {
        FakeEndpoint &target = this->endpoints[endpoint];
        ++target.starts;
        ++this->starts;
        ++target.inFlight;
        target.mostInFlight = std::max(target.mostInFlight, target.inFlight);
        target.coldOverloads += target.coldAnswers > 0 && target.inFlight > 1 ? 1 : 0;
        this->connectionBudget = connections;
        this->lastRemaining = request.remaining;
        this->calls[request.attempt] = Call { endpoint, request, std::move(callback), this->clock.now(), false };
        const AttemptId attempt = request.attempt;
        this->queue.after(oneWay, [this, attempt] { this->arrive(attempt); });
    }

    void cancel(const EndpointId &, AttemptId attempt) override
    {
        ++this->cancels;
        this->queue.after(oneWay, [this, attempt] {
            const auto call = this->calls.find(attempt);
            if (call == this->calls.end() || !this->honoursCancel) {
                return;
            }
            const bool ran = call->second.running;
            this->leave(attempt);
            this->reply(attempt, ran ? AttemptOutcome::Unknown : AttemptOutcome::NotRun, Refusal::Cancelled);
        });
    }

    void closeIdle(const EndpointId &endpoint) override
    {
        this->closed.push_back(endpoint);
    }

    /// Service time of a healthy endpoint; replaced by tests that need fixed times.
    std::function<Duration(Random &)> service = [](Random &) {
        return Milliseconds(10);
    };
    std::map<EndpointId, FakeEndpoint> endpoints;
    std::map<RequestId, int> runs;
    std::vector<EndpointId> closed;
    bool honoursCancel = true;
    std::uint64_t starts = 0;
    std::uint64_t cancels = 0;
    int connectionBudget = 0;
    Duration lastRemaining {};

private:
    struct Call
    {
        EndpointId endpoint;
        EndpointRequest request;
        Callback callback;
        TimePoint started;
        bool running = false;
    };

    void arrive(AttemptId attempt)
    {
        const auto call = this->calls.find(attempt);
        if (call == this->calls.end()) {
            return;
        }
        FakeEndpoint &target = this->endpoints[call->second.endpoint];
        const bool lacks = !target.versions.empty() && target.versions.count(call->second.request.snapshot) == 0;
        Refusal refusal = Refusal::None;
        if (target.refusesConnections) {
            refusal = Refusal::EndpointUnavailable;
        } else if (target.draining) {
            refusal = Refusal::EndpointDraining;
        } else if (lacks) {
            refusal = Refusal::SnapshotUnavailable;
        } else if (target.running + static_cast<int>(target.waiting.size()) >= target.shedFrom) {
            refusal = Refusal::EndpointShed;
        }
        if (refusal != Refusal::None) {
            this->reply(attempt, AttemptOutcome::NotRun, refusal);
        } else if (!target.silent) {
            target.waiting.push_back(attempt);
            this->runNext(target);
        }
    }

    void runNext(FakeEndpoint &target)
    {
        while (target.running < target.slots && !target.waiting.empty()) {
            const AttemptId attempt = target.waiting.front();
            target.waiting.pop_front();
            Call &call = this->calls.at(attempt);
            call.running = true;
            ++target.running;
            ++this->runs[call.request.request];
            const double factor = target.slowness * (target.coldAnswers > 0 && target.running > 1 ? 10 : 1);
            const auto time = std::chrono::duration_cast<Duration>(this->service(this->random) * factor);
            this->queue.after(time, [this, attempt] { this->complete(attempt); });
        }
    }

    void complete(AttemptId attempt)
    {
        const auto call = this->calls.find(attempt);
        if (call == this->calls.end()) {
            return;
        }
        FakeEndpoint &target = this->endpoints[call->second.endpoint];
        target.coldAnswers = std::max(0, target.coldAnswers - 1);
        const bool lost = target.losesAnswers;
        this->leave(attempt);
        this->reply(attempt,
                    lost ? AttemptOutcome::Unknown : AttemptOutcome::Answered,
                    lost ? Refusal::ConnectionLost : Refusal::None);
    }

    void leave(AttemptId attempt)
    {
        Call &call = this->calls.at(attempt);
        FakeEndpoint &target = this->endpoints[call.endpoint];
        if (call.running) {
            --target.running;
        } else {
            target.waiting.erase(std::remove(target.waiting.begin(), target.waiting.end(), attempt),
                                 target.waiting.end());
        }
        this->runNext(target);
    }

    void reply(AttemptId attempt, AttemptOutcome outcome, Refusal reason)
    {
        const auto call = std::make_shared<Call>(std::move(this->calls.at(attempt)));
        this->calls.erase(attempt);
        const FakeEndpoint &target = this->endpoints[call->endpoint];
        EndpointAnswer answer;
        answer.outcome = outcome;
        answer.reason = reason;
        answer.snapshot = target.wrongVersion.value_or(call->request.snapshot);
        answer.group = call->request.group;
        answer.incarnation = Incarnation(target.refusesConnections ? "" : target.incarnation);
        answer.documents = 100;
        answer.body = call->request.group.value();
        this->queue.after(oneWay, [this, call, answer]() mutable {
            --this->endpoints[call->endpoint].inFlight;
            answer.serviceTime = this->clock.now() - call->started;
            call->callback(answer);
        });
    }

    ManualClock &clock;
    EventQueue queue;
    Random random;
    std::map<AttemptId, Call> calls;
};

/// Exponential with this mean; 1 in @p stragglersPer is 20 times slower (0: none).
inline std::function<Duration(Random &)> exponential(Duration mean, int stragglersPer)
{
    return [mean, stragglersPer](Random &random) {
        const double length = -std::log(1 - random.uniformReal()) * static_cast<double>(mean.count());
        const bool straggles
            = stragglersPer > 0 && random.uniformInteger(static_cast<std::uint64_t>(stragglersPer)) == 0;
        return Duration(static_cast<std::int64_t>(length * (straggles ? 20 : 1)));
    };
}

class FakeOwnership : public Ownership
{
public:
    bool owns(const ResourceId &) const override
    {
        return this->owned;
    }
    bool owned = true;
};

/// Nearest-rank percentile of unsorted values.
inline double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

}
