#pragma once

#include "core/execution.h"
#include "core/refusal.h"

namespace Lycheewall
{

/// HTTP status of a refusal. It promises "not run" only if @p execution is Execution::NotRun; otherwise 502 takes the
/// place of such a status. Thread safety: any thread.
int refusalStatus(Refusal refusal, Execution execution);

}
