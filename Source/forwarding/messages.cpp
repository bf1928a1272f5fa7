#include "forwarding/messages.h"

namespace Lycheewall
{

Execution CallOutcome::execution() const
{
    switch (this->result) {
    case CallResult::NotRun:
    case CallResult::NotSent:
        return Execution::NotRun;
    case CallResult::Answered:
        return this->response.signature.empty() ? Execution::Unknown : Execution::Ran;
    case CallResult::Lost:
        return Execution::Unknown;
    }
    return Execution::Unknown;
}

}
