#pragma once

#include "admission/tokenbucket.h"
#include "core/counters.h"
#include "lease/ownership.h"
#include "peer/codec/messages.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace Lycheewall
{

/**
 * Owner side of the fleet-wide limits: hands out token batches of the organisations that this instance owns.
 * A bucket lives from gained() to lost(); without a bucket nothing is granted, even when the lease is valid.
 * Thread safety: any thread.
 */
class RateLimiter
{
public:
    /// Names the holder of a resource when it is known; may be empty.
    using HolderHint = std::function<std::optional<InstanceId>(const ResourceId &)>;

    RateLimiter(const Clock &timeSource,
                const Ownership &leases,
                Counters &counterRegistry,
                HolderHint holderHint = {});

    /// Sets the function that names the holder in NotOwner replies. Call it before the first handle().
    void setHolderHint(HolderHint holderHint);

    void setCatalogue(const std::shared_ptr<const Catalogue> &catalogue);

    /// What setCatalogue() takes from the catalogue.
    void setLimits(RateLimits newLimits);

    /// Answers a request: first credits returned tokens, then grants. Reasons: None, RateExceeded, NotOwner.
    TokenReply handle(const InstanceId &from, const TokenRequest &request);

    /// The lease on the organisation was taken: its bucket starts empty.
    void gained(const OrganisationId &organisation);

    /// The lease on the organisation ended.
    void lost(const OrganisationId &organisation);

    /// Longest use of a batch of this organisation according to the present limits.
    Duration validity(const OrganisationId &organisation) const;

private:
    TokenReply refuse(const TokenRequest &request) const;

    const Clock &clock;
    const Ownership &ownership;
    Counters &counters;
    HolderHint hint;
    mutable std::mutex mutex;
    RateLimits limits;
    std::map<OrganisationId, TokenBucket> buckets;
};

}
