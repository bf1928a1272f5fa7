#pragma once

#include <cstddef>

namespace Lycheewall
{

/**
 * Bounds the memory of incomplete responses over all endpoint connections. An endpoint in trouble may send without end.
 * Thread safety: none; used on the thread of the request loop.
 */
class ResponseMemory
{
public:
    /// Greatest body of a response.
    static constexpr std::size_t maxResponseBytes = std::size_t { 4 } * 1024 * 1024;

    /// Changes what one response holds from @p previousBytes to @p currentBytes. Returns false if this response must be
    /// given up: it is too large, or it is not small while all together hold too much.
    bool update(std::size_t previousBytes, std::size_t currentBytes);

private:
    std::size_t totalBytes = 0;
};

}
