#pragma once

#include <cstddef>
#include <set>
#include <utility>

namespace Lycheewall
{

/**
 * Bounds the memory of incomplete responses over all endpoint connections. Endpoints in trouble may send without end.
 * When all responses together hold too much, the largest one is given up: the responses of sound endpoints are smaller
 * and go on.
 * Thread safety: none; used on the thread of the request loop.
 */
class ResponseMemory
{
public:
    /// Receives one response at a time. Precondition: holds nothing when it is destroyed.
    class Holder
    {
    public:
        virtual ~Holder() = default;

        /// Gives up the response. Must call update() with 0 bytes before it returns.
        virtual void giveUpResponse() = 0;

    private:
        friend class ResponseMemory;
        std::size_t heldBytes = 0;
    };

    /// Greatest size of a response.
    static constexpr std::size_t maxResponseBytes = std::size_t { 4 } * 1024 * 1024;
    /// Greatest size of all incomplete responses together, unless setTotalLimit() sets another one.
    static constexpr std::size_t maxTotalBytes = std::size_t { 32 } * 1024 * 1024;

    /// Sets the greatest size of all incomplete responses together. Takes effect at the next update().
    void setTotalLimit(std::size_t bytes);

    /// Sets the size of the incomplete response of @p holder; 0 if it has none. Calls giveUpResponse() of @p holder if
    /// the response is too large, and of the holders of the largest responses, which may include @p holder, while all
    /// together are too large.
    void update(Holder &holder, std::size_t bytes);

    /// Size of all incomplete responses.
    std::size_t totalBytes() const;

private:
    std::set<std::pair<std::size_t, Holder *>> holdersBySize;
    std::size_t total = 0;
    std::size_t totalLimit = maxTotalBytes;
};

}
