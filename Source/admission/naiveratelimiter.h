#pragma once

#include "admission/admissiongate.h"
#include "admission/tokenbucket.h"
#include "core/counters.h"
#include "membership/peertable.h"

namespace Lycheewall
{

/**
 * For comparison only: each instance admits rate/N and burst/N, where N is the number of live instances in its own
 * view. It refuses callers that are unevenly spread, and the instances admit too much together when their views differ.
 * Thread safety: any thread.
 */
class NaiveRateLimiter : public AdmissionGate
{
public:
    NaiveRateLimiter(const Clock &timeSource, const PeerTable &peerTable, Counters &counterRegistry);

    void setCatalogue(const std::shared_ptr<const Catalogue> &catalogue);
    void setLimits(RateLimits newLimits);

    /// Decides at once.
    void acquire(const OrganisationId &organisation, Duration patience, Callback callback) override;

private:
    struct Level
    {
        double tokens = 0;
        TimePoint updated;
    };

    double liveInstances() const;

    const Clock &clock;
    const PeerTable &peers;
    Counters &counters;
    std::mutex mutex;
    RateLimits limits;
    std::map<OrganisationId, Level> levels;
};

}
