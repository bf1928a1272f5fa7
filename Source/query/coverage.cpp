#include "query/coverage.h"

#include <algorithm>

namespace Lycheewall
{

Coverage::Coverage(const Snapshot &snapshot, Refusal reason)
{
    for (const auto &[group, documents] : snapshot.documents) {
        Shard shard;
        shard.listed = documents;
        shard.reason = reason;
        this->shards.emplace(group, shard);
    }
}

bool Coverage::asksFor(const GroupId &group) const
{
    return this->shards.count(group) > 0;
}

bool Coverage::hasAnswered(const GroupId &group) const
{
    const auto shard = this->shards.find(group);
    return shard != this->shards.end() && shard->second.answered;
}

void Coverage::answer(const GroupId &group, std::uint64_t documents)
{
    Shard &shard = this->shards.at(group);
    shard.answered = true;
    shard.searched = std::min(documents, shard.listed);
    shard.reason = Refusal::None;
}

void Coverage::miss(const GroupId &group, Refusal reason)
{
    this->shards.at(group).reason = reason;
}

std::size_t Coverage::shardsAsked() const
{
    return this->shards.size();
}

std::size_t Coverage::shardsAnswered() const
{
    return static_cast<std::size_t>(std::count_if(
        this->shards.begin(), this->shards.end(), [](const auto &entry) { return entry.second.answered; }));
}

std::uint64_t Coverage::documentsAsked() const
{
    std::uint64_t sum = 0;
    for (const auto &[group, shard] : this->shards) {
        sum += shard.listed;
    }
    return sum;
}

std::uint64_t Coverage::documentsAnswered() const
{
    std::uint64_t sum = 0;
    for (const auto &[group, shard] : this->shards) {
        sum += shard.searched;
    }
    return sum;
}

bool Coverage::isComplete() const
{
    return this->shardsAnswered() == this->shards.size();
}

std::vector<MissingPart> Coverage::missing() const
{
    std::vector<MissingPart> parts;
    for (const auto &[group, shard] : this->shards) {
        if (!shard.answered) {
            parts.push_back(MissingPart { group, shard.reason });
        }
    }
    return parts;
}

}
