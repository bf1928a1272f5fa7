#pragma once

namespace Lycheewall
{

/// True for a status with which a response ends the request: 200 to 599. Others are interim or no status at all. Thread
/// safety: any thread.
constexpr bool isFinalStatus(unsigned status)
{
    return status >= 200 && status <= 599;
}

}
