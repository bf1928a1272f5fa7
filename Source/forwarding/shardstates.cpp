#include "forwarding/shardstates.h"

namespace Lycheewall
{

ShardStates::ShardStates(std::size_t shards, std::size_t requiredShards)
    : states(shards, ShardState::Pending)
    , required(requiredShards)
{
}

void ShardStates::set(std::size_t shard, ShardState state)
{
    ShardState &current = this->states[shard];
    if (current == ShardState::Succeeded || current == state) {
        return;
    }
    if (current == ShardState::Failed) {
        --this->failed;
    }
    current = state;
    ++(state == ShardState::Succeeded ? this->succeeded : this->failed);
}

bool ShardStates::isPending(std::size_t shard) const
{
    return this->states[shard] == ShardState::Pending;
}

bool ShardStates::hasSucceeded(std::size_t shard) const
{
    return this->states[shard] == ShardState::Succeeded;
}

std::size_t ShardStates::count() const
{
    return this->states.size();
}

std::size_t ShardStates::succeededCount() const
{
    return this->succeeded;
}

bool ShardStates::areAllFinished() const
{
    return this->succeeded + this->failed == this->states.size();
}

bool ShardStates::hasRequiredCoverage() const
{
    return this->succeeded >= this->required;
}

bool ShardStates::canReachRequiredCoverage() const
{
    return this->states.size() - this->failed >= this->required;
}

}
