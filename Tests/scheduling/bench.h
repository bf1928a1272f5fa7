#pragma once

#include "scheduling/fakeendpoints.h"
#include "scheduling/naivescheduler.h"
#include "scheduling/ownerscheduler.h"

#include <chrono>
#include <sstream>

namespace Lycheewall
{

/// Groups "g0".."gN" of three endpoints "g0e0".. in zones "z0".."z2", with one scheduler each.
struct Bench
{
    Bench(std::uint64_t seed, bool naive, int groups, int slots, bool warm)
        : transport(clock, seed)
        , random(seed + 1)
        , arrivals(seed + 2)
        , context { clock, clock, random, transport, ownership, budget, counters }
    {
        this->pool.id = PoolId("p");
        this->pool.limits = EndpointLimits { slots, 25, 1, Milliseconds(10) };
        for (int group = 0; group < groups; ++group) {
            Group entry { GroupId("g" + std::to_string(group)), {} };
            std::set<EndpointId> known;
            for (int endpoint = 0; endpoint < 3; ++endpoint) {
                const EndpointId id(entry.id.value() + "e" + std::to_string(endpoint));
                entry.endpoints.push_back(Endpoint { id, "", 0, ZoneId("z" + std::to_string(endpoint)), false });
                this->transport.endpoints[id].slots = slots;
                known.insert(id);
            }
            this->pool.groups.push_back(entry);
            this->schedulers.push_back(
                naive ? NaiveScheduler::create(this->context, this->pool, entry)
                      : OwnerScheduler::create(
                          this->context, this->pool, entry, {}, warm ? known : std::set<EndpointId> {}));
        }
    }

    FakeEndpoint &endpoint(const char *id)
    {
        return this->transport.endpoints[EndpointId(id)];
    }

    GroupTask task(Duration remaining = Milliseconds(1000), bool idempotent = true, const char *organisation = "o")
    {
        GroupTask task;
        task.request = RequestId("r" + std::to_string(++this->requests));
        task.organisation = OrganisationId(organisation);
        task.snapshot = SnapshotVersion(1);
        task.idempotent = idempotent;
        task.remaining = remaining;
        return task;
    }

    /// Submits to the first group and notes the outcome.
    TaskId submit(const GroupTask &task)
    {
        return this->schedulers[0]->submit(task,
                                           [this](const GroupOutcome &outcome) { this->outcomes.push_back(outcome); });
    }

    std::uint64_t total(const std::string &prefix) const
    {
        std::uint64_t sum = 0;
        std::istringstream lines(this->counters.exposition());
        std::string name;
        for (std::string line; std::getline(lines, line);) {
            if (line.rfind(prefix, 0) == 0) {
                sum += std::stoull(line.substr(line.rfind(' ')));
            }
        }
        return sum;
    }

    EndpointReport report(const char *id) const
    {
        for (const EndpointReport &each : this->schedulers[0]->state().endpoints) {
            if (each.id == EndpointId(id)) {
                return each;
            }
        }
        return {};
    }

    ManualClock clock;
    FakeEndpoints transport;
    FakeOwnership ownership;
    Random random;
    Random arrivals;
    RetryBudget budget;
    Counters counters;
    SchedulerContext context;
    Pool pool;
    std::vector<std::shared_ptr<GroupScheduler>> schedulers;
    std::vector<GroupOutcome> outcomes;
    std::uint64_t requests = 0;
};

/// Whole queries over all groups of a bench.
struct QueryLoad
{
    double p50 = 0;
    double p99 = 0;
    /// Share of extra sub-requests.
    double extra = 0;
    /// Share of queries that were answered whole, and of parts.
    double answered = 0;
    double parts = 0;
};

/// Runs Poisson arrivals of queries; a query that is not answered whole counts with its deadline.
inline QueryLoad runQueries(Bench &bench, double perSecond, int queries, Duration deadline)
{
    struct Progress
    {
        std::size_t open = 0;
        bool whole = true;
    };
    std::vector<double> times;
    std::uint64_t whole = 0;
    std::uint64_t parts = 0;
    for (int query = 0; query < queries; ++query) {
        const double gap = -std::log(1 - bench.arrivals.uniformReal()) / perSecond;
        bench.clock.advance(Duration(static_cast<std::int64_t>(gap * 1e9)));
        const auto progress = std::make_shared<Progress>();
        progress->open = bench.schedulers.size();
        const TimePoint begun = bench.clock.now();
        const GroupTask task = bench.task(deadline);
        for (const auto &scheduler : bench.schedulers) {
            scheduler->submit(task, [&, progress, begun](const GroupOutcome &outcome) {
                progress->whole = progress->whole && outcome.outcome == AttemptOutcome::Answered;
                parts += outcome.outcome == AttemptOutcome::Answered ? 1U : 0U;
                if (--progress->open == 0) {
                    whole += progress->whole ? 1U : 0U;
                    const Duration time = progress->whole ? bench.clock.now() - begun : deadline;
                    times.push_back(static_cast<double>(time.count()) / 1e6);
                }
            });
        }
    }
    bench.clock.advance(deadline + Milliseconds(10));
    const double needed = static_cast<double>(queries) * static_cast<double>(bench.schedulers.size());
    QueryLoad load;
    load.p50 = percentile(times, 0.5);
    load.p99 = percentile(times, 0.99);
    load.extra = static_cast<double>(bench.transport.starts) / needed - 1;
    load.answered = static_cast<double>(whole) / queries;
    load.parts = static_cast<double>(parts) / needed;
    return load;
}

}
