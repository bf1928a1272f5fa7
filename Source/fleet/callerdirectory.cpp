#include "fleet/callerdirectory.h"

namespace Lycheewall
{

CallerDirectory::CallerDirectory(ServingSet &servingSet)
    : serving(servingSet)
{
}

std::vector<std::string> CallerDirectory::addresses(const ZoneId &zone)
{
    std::vector<ServingInstance> chosen = this->serving.ofZone(zone);
    if (chosen.empty()) {
        chosen = this->serving.ready();
    }
    std::vector<std::string> result;
    result.reserve(chosen.size());
    for (const ServingInstance &instance : chosen) {
        result.push_back(instance.callerAddress);
    }
    return result;
}

}
