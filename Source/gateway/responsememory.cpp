#include "gateway/responsememory.h"

namespace Lycheewall
{

void ResponseMemory::setTotalLimit(std::size_t bytes)
{
    this->totalLimit = bytes;
}

void ResponseMemory::update(Holder &holder, std::size_t bytes)
{
    if (bytes == holder.heldBytes) {
        return;
    }
    this->holdersBySize.erase({ holder.heldBytes, &holder });
    this->total = this->total - holder.heldBytes + bytes;
    holder.heldBytes = bytes;
    if (bytes > 0) {
        this->holdersBySize.emplace(bytes, &holder);
    }
    if (bytes > maxResponseBytes) {
        holder.giveUpResponse();
    }
    while (this->total > this->totalLimit) {
        this->holdersBySize.rbegin()->second->giveUpResponse();
    }
}

std::size_t ResponseMemory::totalBytes() const
{
    return this->total;
}

}
