#include "fleet/instancedirectory.h"

namespace Lycheewall
{

InstanceDirectory::InstanceDirectory(ActiveInstanceSet &servingSet)
    : activeInstances(servingSet)
{
}

std::vector<std::string> InstanceDirectory::addresses(const ZoneId &zone)
{
    std::vector<InstanceInfo> chosen = this->activeInstances.inZone(zone);
    if (chosen.empty()) {
        chosen = this->activeInstances.readyInstances();
    }
    std::vector<std::string> result;
    result.reserve(chosen.size());
    for (const InstanceInfo &instance : chosen) {
        result.push_back(instance.callerAddress);
    }
    return result;
}

}
