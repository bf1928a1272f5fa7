#include "coordinator/requesttraces.h"

namespace Lycheewall
{

void RequestTraces::add(const RequestId &id, RequestTrace trace)
{
    auto entry = std::make_shared<const RequestTrace>(std::move(trace));
    const std::lock_guard lock(this->mutex);
    if (!this->byId.emplace(id, std::move(entry)).second) {
        return;
    }
    this->order.push_back(id);
    if (this->order.size() > capacity) {
        this->byId.erase(this->order.front());
        this->order.pop_front();
    }
}

std::shared_ptr<const RequestTrace> RequestTraces::find(const RequestId &id) const
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->byId.find(id);
    return entry == this->byId.end() ? nullptr : entry->second;
}

}
