#pragma once

#include "core/clock.h"
#include "core/refusal.h"
#include "core/strongid.h"

#include <functional>

namespace Lycheewall
{

/**
 * Admits the requests of organisations within their rate and burst.
 * Thread safety: any thread.
 */
class AdmissionGate
{
public:
    /// Refusal::None means admitted. The duration is the time after which another attempt makes sense.
    using Callback = std::function<void(Refusal, Duration retryAfter)>;

    virtual ~AdmissionGate() = default;

    /// Calls @p callback exactly once, possibly before it returns and not much later than @p patience.
    virtual void acquire(const OrganisationId &organisation, Duration patience, Callback callback) = 0;
};

}
