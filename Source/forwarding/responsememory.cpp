#include "forwarding/responsememory.h"

#include "core/memoryweight.h"

namespace Lycheewall
{

ResponseMemory::ResponseMemory(const Clock &memoryClock)
    : clock(memoryClock)
{
}

void ResponseMemory::setLimits(const Limits &limits)
{
    this->currentLimits = limits;
}

void ResponseMemory::update(Holder &holder, std::size_t bytes)
{
    if (bytes == holder.heldBytes) {
        return;
    }
    const bool grows = bytes > holder.heldBytes;
    this->setBytes(holder, bytes);
    if (!grows) {
        return;
    }
    if (holder.content == Content::IncompleteResponse && bytes > maxResponseBytes) {
        holder.giveUpResponse();
    }
    while (this->incompleteBytes > this->currentLimits.incompleteBytes) {
        this->incompleteBySize.rbegin()->second->giveUpResponse();
    }
    while (this->totalBytes() > this->currentLimits.allBytes) {
        this->heaviest().giveUpResponse();
    }
}

void ResponseMemory::setBytes(Holder &holder, std::size_t bytes)
{
    if (holder.heldBytes == 0) {
        holder.heldSince = this->clock.now();
        holder.order = ++this->lastOrder;
    }
    if (holder.content == Content::IncompleteResponse) {
        this->incompleteBySize.erase({ holder.heldBytes, holder.order });
        this->incompleteBytes = this->incompleteBytes - holder.heldBytes + bytes;
        if (bytes > 0) {
            this->incompleteBySize.emplace(std::pair(bytes, holder.order), &holder);
        }
    } else {
        this->queryBytes = this->queryBytes - holder.heldBytes + bytes;
        if (holder.heldBytes == 0) {
            this->queries.insert(&holder);
        } else if (bytes == 0) {
            this->queries.erase(&holder);
        }
    }
    holder.heldBytes = bytes;
}

ResponseMemory::Holder &ResponseMemory::heaviest() const
{
    const TimePoint now = this->clock.now();
    Holder *result = nullptr;
    double greatestWeight = 0;
    const auto consider = [&](Holder *holder) {
        const double weight = memoryWeight(holder->heldBytes, now - holder->heldSince);
        if (weight > greatestWeight) {
            greatestWeight = weight;
            result = holder;
        }
    };
    for (const auto &entry : this->incompleteBySize) {
        consider(entry.second);
    }
    for (Holder *query : this->queries) {
        consider(query);
    }
    return *result;
}

std::size_t ResponseMemory::totalBytes() const
{
    return this->incompleteBytes + this->queryBytes;
}

}
