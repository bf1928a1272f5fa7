#pragma once

#include "forwarding/servicecall.h"

namespace Lycheewall
{

/// The refusal for a request to which no endpoint or too few shards responded. It states "not run" only if that is
/// certain.
ForwardReply makeRefusalReply(const ServiceResult &result);

/// Retry-after time of a request that can be sent after @p wait: callers that were refused together do not return in
/// the same moment.
Duration spreadRetryAfter(Duration wait, Random &random);

/// The longest time that spreadRetryAfter() returns.
Duration longestSpreadRetryAfter(Duration wait);

/// The refusal for a request whose deadline has passed. It states "not run" unless @p mayHaveRun is true.
ForwardReply makeDeadlineReply(bool mayHaveRun);

}
