#pragma once

#include "catalogue/catalogue.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Lycheewall
{

/// A waiting task. The number is unique inside the queue.
struct QueueEntry
{
    std::uint64_t id = 0;
    OrganisationId organisation;
    WorkClass workClass = WorkClass::Interactive;
    TimePoint deadline;
};

/**
 * Bounded queue of one group: classes in strict order, organisations round robin within a class, first in first out
 * within an organisation.
 * Thread safety: not synchronised; it is part of a scheduler and guarded by the scheduler's mutex.
 */
class FairQueue
{
public:
    /// Entries per group. At 6 slots and 10 ms a full queue is 330 ms of work, below the usual deadlines.
    static constexpr std::size_t defaultBound = 200;

    explicit FairQueue(std::size_t bound = defaultBound);

    /// Appends an entry and returns the number of the entry that had to go because the queue was full, if any. That is
    /// the new entry itself unless a lower class, or in its own class an organisation with a longer line, can give way.
    std::optional<std::uint64_t> push(const QueueEntry &entry);

    /// Puts an entry that was dispatched before in front of its organisation's line. It may exceed the bound, because
    /// the work was already admitted.
    void pushFront(const QueueEntry &entry);

    /// Takes out the first entry in fair order that @p ready accepts.
    std::optional<QueueEntry> take(const std::function<bool(const QueueEntry &)> &ready);

    /// Takes out an entry wherever it stands; false when it is not here.
    bool remove(std::uint64_t id);

    /// Takes out all entries whose deadline is before @p limit.
    std::vector<QueueEntry> takeDueBefore(TimePoint limit);

    /// Takes out everything.
    std::vector<QueueEntry> takeAll();

    std::optional<TimePoint> earliestDeadline() const;
    std::size_t size() const;
    bool empty() const;

private:
    /// The line of one organisation.
    struct Line
    {
        OrganisationId organisation;
        std::deque<QueueEntry> entries;
    };
    /// Lines of one class in the order of their next turn; no line is empty.
    using Ring = std::list<Line>;

    Line &lineOf(const QueueEntry &entry);
    std::optional<std::uint64_t> makeRoom(const QueueEntry &entry);
    std::uint64_t dropLastOf(Ring &ring, Ring::iterator line);
    void erase(const QueueEntry &entry);

    const std::size_t bound;
    std::array<Ring, 3> rings;
    std::map<std::uint64_t, QueueEntry> byId;
    std::set<std::pair<TimePoint, std::uint64_t>> byDeadline;
};

}
