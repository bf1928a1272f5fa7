#include "forwarding/routeexplanation.h"

namespace Lycheewall
{

std::string_view endpointVerdictName(EndpointVerdict verdict)
{
    switch (verdict) {
    case EndpointVerdict::Chosen:
        return "chosen";
    case EndpointVerdict::EquallyGood:
        return "equally-good";
    case EndpointVerdict::Removed:
        return "removed";
    case EndpointVerdict::Draining:
        return "draining";
    case EndpointVerdict::Leaving:
        return "leaving";
    case EndpointVerdict::ZoneEvacuated:
        return "zone-evacuated";
    case EndpointVerdict::Backoff:
        return "backoff";
    case EndpointVerdict::RateLimit:
        return "rate-limit";
    case EndpointVerdict::AlreadyTried:
        return "already-tried";
    case EndpointVerdict::LowFillLevel:
        return "low-fill-level";
    case EndpointVerdict::Ejected:
        return "ejected";
    case EndpointVerdict::Cold:
        return "cold";
    case EndpointVerdict::Suspect:
        return "suspect";
    case EndpointVerdict::SlowerEstimate:
        return "slower-estimate";
    case EndpointVerdict::Busier:
        return "busier";
    case EndpointVerdict::Stalled:
        return "stalled";
    case EndpointVerdict::RecentFailures:
        return "recent-failures";
    case EndpointVerdict::OtherZone:
        return "other-zone";
    }
    return "unknown";
}

}
