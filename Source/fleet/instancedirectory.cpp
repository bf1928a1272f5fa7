#include "fleet/instancedirectory.h"

namespace Lycheewall
{

InstanceDirectory::InstanceDirectory(ActiveInstanceSet &activeInstanceSet)
    : activeInstances(activeInstanceSet)
{
}

std::vector<std::string> InstanceDirectory::addresses(const ZoneId &zone)
{
    std::vector<InstanceInfo> instances = this->activeInstances.inZone(zone);
    if (instances.empty()) {
        instances = this->activeInstances.inAllZones();
    }
    std::vector<std::string> result;
    result.reserve(instances.size());
    for (const InstanceInfo &instance : instances) {
        result.push_back(instance.callerAddress);
    }
    return result;
}

}
