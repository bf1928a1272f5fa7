#pragma once

#include "catalogue/catalogue.h"
#include "core/refusal.h"

#include <map>
#include <vector>

namespace Lycheewall
{

/// A shard that is not part of an answer.
struct MissingPart
{
    GroupId group;
    Refusal reason = Refusal::None;
};

/**
 * What an answer covers of a snapshot. What was asked comes from the catalogue's snapshot, never from what answered.
 * Thread safety: a value type; distinct objects may be used from distinct threads.
 */
class Coverage
{
public:
    /// Covers nothing of nothing.
    Coverage() = default;

    /// Asks for every shard of @p snapshot; each is missing with @p reason until it answers.
    Coverage(const Snapshot &snapshot, Refusal reason);

    /// True when the snapshot has this shard.
    bool asksFor(const GroupId &group) const;

    /// True when the shard has answered.
    bool hasAnswered(const GroupId &group) const;

    /// Notes the answer of a shard that searched @p documents documents. More than the snapshot lists count as listed.
    /// Precondition: asksFor(group) and not hasAnswered(group).
    void answer(const GroupId &group, std::uint64_t documents);

    /// Changes the reason why a shard is missing. Precondition: asksFor(group) and not hasAnswered(group).
    void miss(const GroupId &group, Refusal reason);

    std::size_t shardsAsked() const;
    std::size_t shardsAnswered() const;
    std::uint64_t documentsAsked() const;
    std::uint64_t documentsAnswered() const;
    bool isComplete() const;

    /// In the order of the group names.
    std::vector<MissingPart> missing() const;

private:
    struct Shard
    {
        std::uint64_t listed = 0;
        std::uint64_t searched = 0;
        bool answered = false;
        Refusal reason = Refusal::None;
    };

    std::map<GroupId, Shard> shards;
};

}
