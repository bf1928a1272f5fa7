#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_set>
#include <utility>

namespace Lycheewall
{

/**
 * Bounds the memory of the responses of endpoints: the incomplete ones over all connections, and the complete ones of
 * shards over all queries that wait for further shards. Endpoints in trouble may send without end, or keep many queries
 * waiting by their silence.
 *
 * When the incomplete responses hold too much, the largest one is given up, of several the one that began last: the
 * responses of sound endpoints are smaller and go on. When both kinds together hold too much, the holder is given up
 * that has held most for the longest time.
 *
 * Thread safety: none; used on the thread of the request loop.
 */
class ResponseMemory
{
public:
    enum class Content {
        /// One response that is being received.
        IncompleteResponse,
        /// The responses of the shards of one query.
        CompleteResponses,
    };

    /// A connection or a query. Precondition: holds nothing when it is destroyed.
    class Holder
    {
    public:
        explicit Holder(Content holderContent)
            : content(holderContent)
        {
        }
        virtual ~Holder() = default;

        /// Gives up what it holds, or the part that it does not need. Must call update() with fewer bytes than it holds
        /// before it returns.
        virtual void giveUpResponse() = 0;

    private:
        friend class ResponseMemory;
        Content content;
        std::size_t heldBytes = 0;
        TimePoint heldSince;
        /// Greater for holders that began later.
        std::uint64_t order = 0;
    };

    /// Greatest size of an incomplete response.
    static constexpr std::size_t maxResponseBytes = std::size_t { 4 } * 1024 * 1024;
    /// Greatest size of all incomplete responses together, unless setLimits() sets another one.
    static constexpr std::size_t maxTotalBytes = std::size_t { 32 } * 1024 * 1024;

    struct Limits
    {
        std::size_t incompleteBytes = maxTotalBytes;
        /// Incomplete and complete responses together.
        std::size_t allBytes = maxTotalBytes;
    };

    explicit ResponseMemory(const Clock &clock);

    /// Takes effect when a holder holds more the next time.
    void setLimits(const Limits &limits);

    /// Sets the memory that @p holder holds. If it has grown, calls giveUpResponse() of @p holder if its response is
    /// too large, and of any holders, which may include @p holder, while all together hold too much. Otherwise does not
    /// use the clock, which may have been destroyed before.
    void update(Holder &holder, std::size_t bytes);

    /// Memory of all responses.
    std::size_t totalBytes() const;

private:
    void setBytes(Holder &holder, std::size_t bytes);
    /// The holder with the greatest product of memory and time. Precondition: something is held.
    Holder &heaviest() const;

    const Clock &clock;
    Limits currentLimits;
    /// By size, and of the same size by the order in which they began.
    std::map<std::pair<std::size_t, std::uint64_t>, Holder *> incompleteBySize;
    std::unordered_set<Holder *> queries;
    std::size_t incompleteBytes = 0;
    std::size_t queryBytes = 0;
    std::uint64_t lastOrder = 0;
};

}
