#pragma once

#include "admission/admissiongate.h"
#include "configuration/configurationstore.h"
#include "configuration/freshness.h"
#include "coordinator/callerrequest.h"
#include "coordinator/requesttraces.h"
#include "coordinator/singlerequest.h"

#include <atomic>
#include <functional>

namespace Lycheewall
{

/// Everything referred to outlives the coordinator.
struct CoordinatorContext
{
    const Clock &clock;
    TimerService &timers;
    const ConfigurationStore &configuration;
    const Freshness &freshness;
    AdmissionGate &admission;
    PartRouter &router;
    SnapshotChooser &snapshots;
    GroupChooser &groups;
    RequestTraces &traces;
    Counters &counters;
};

/**
 * Takes the requests of callers: checks the key and the freshness of the configuration, obtains a token, and starts the
 * query or the request.
 * Thread safety: any thread.
 */
class Coordinator
{
public:
    using Done = std::function<void(CallerAnswer)>;

    /// Share of a request's time that it may wait for a token. The rest is left for the work itself.
    static constexpr double admissionShare = 0.6;

    explicit Coordinator(const CoordinatorContext &coordinatorContext);

    /// Until then requests are refused with NotReady.
    void setReady(bool isReady);
    bool isReady() const;

    /// Ends a request with @p done, exactly once, possibly before it returns.
    void run(CallerRequest request, Done done);

    /// Requests that have not ended.
    std::size_t running() const;

private:
    struct Admitted;

    Refusal check(const CallerRequest &request, OrganisationId &organisation) const;
    void admitted(const std::shared_ptr<Admitted> &entry, Refusal refusal, Duration retryAfter);
    void
    startQuery(const std::shared_ptr<Admitted> &entry, const std::shared_ptr<const Pool> &pool, Duration remaining);
    void
    startSingle(const std::shared_ptr<Admitted> &entry, const std::shared_ptr<const Pool> &pool, Duration remaining);
    void refuse(const std::shared_ptr<Admitted> &entry, Refusal refusal, Duration retryAfter);
    void finish(const std::shared_ptr<Admitted> &entry, CallerAnswer answer);

    const CoordinatorContext context;
    std::atomic<bool> ready { false };
    std::atomic<std::size_t> inProgress { 0 };
};

}
