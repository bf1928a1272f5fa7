#pragma once

#include "forwarding/forwardreply.h"
#include "forwarding/servicecall.h"

namespace Lycheewall
{

/// The refusal for a request to which no endpoint or too few shards responded.
ForwardReply makeRefusalReply(const ServiceResult &result);

/// Retry-after time of a request that can be sent after @p wait: callers that were refused together do not return in
/// the same moment.
Duration spreadRetryAfter(Duration wait, Random &random);

/// The longest time that spreadRetryAfter() returns.
Duration longestSpreadRetryAfter(Duration wait);

/// The refusal for a request whose deadline has passed.
ForwardReply makeDeadlineReply(Execution execution);

}
