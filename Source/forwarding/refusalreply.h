#pragma once

#include "forwarding/servicecall.h"

namespace Lycheewall
{

/// The refusal for a request that no endpoint answered. "Not run" is stated only when that is certain.
ForwardReply makeRefusalReply(const ServiceResult &result);

/// The refusal at the deadline of a request that may have run.
ForwardReply makeDeadlineReply();

}
