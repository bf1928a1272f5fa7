#include "forwarding/routeexplanationtext.h"

#include <iomanip>
#include <sstream>

namespace Lycheewall
{

namespace
{

/// Width of the names of the lines, and of the columns of the endpoints.
constexpr int nameWidth = 10;
constexpr int endpointWidth = 20;
constexpr int verdictWidth = 16;

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << value;
    return text.str();
}

std::string formatTime(Duration duration)
{
    return formatNumber(fractionalMilliseconds(duration)) + " ms";
}

std::ostream &beginLine(std::ostream &out, const std::string &name)
{
    return out << std::left << std::setw(nameWidth) << name;
}

void writeRequest(std::ostream &out, const RouteExplanation &explanation)
{
    const RouteQuery &query = explanation.query;
    beginLine(out, "request") << query.method << ' ' << query.host << query.target << ", "
                              << (query.organisation ? "organisation " + query.organisation->value()
                                                     : std::string("no organisation"))
                              << '\n';
    beginLine(out, "instance") << explanation.instance << " in zone " << explanation.zone << ", "
                               << (explanation.tableVersion
                                       ? "routes of version " + std::to_string(*explanation.tableVersion)
                                       : std::string("no routes yet"))
                               << ", feed age "
                               << (explanation.feedAge == Duration::max() ? std::string("unknown")
                                                                          : formatTime(explanation.feedAge))
                               << '\n';
}

void writeRoute(std::ostream &out, const RouteExplanation &explanation)
{
    beginLine(out, "route");
    if (!explanation.route) {
        out << "none matches\n";
        return;
    }
    const MatchedRoute &route = *explanation.route;
    out << route.name << ", prefix " << route.prefix << ", "
        << (route.idempotency == Idempotency::Idempotent ? "idempotent" : "non-idempotent") << ", "
        << (route.isPublic ? "public, " : "") << "priority " << route.priority << ", attempts " << route.maxAttempts
        << ", timeout " << formatTime(route.timeout) << ", objective " << formatTime(route.latencyObjective);
    if (route.shards > 0) {
        out << ", shards " << route.shards << " of which " << route.requiredShards << " must respond";
    }
    out << '\n';
}

void writeQuota(std::ostream &out, const RouteExplanation &explanation)
{
    if (!explanation.quota) {
        return;
    }
    const OrganisationQuotaState &quota = *explanation.quota;
    beginLine(out, "quota");
    if (quota.ratePerSecond <= 0) {
        out << "unlimited\n";
        return;
    }
    out << formatNumber(quota.tokens) << " requests left of a burst of " << formatNumber(quota.burst) << ", "
        << formatNumber(quota.ratePerSecond) << " per second\n";
}

void writeAdmission(std::ostream &out, const AdmissionExplanation &admission)
{
    beginLine(out, "admission");
    if (admission.refusal == Refusal::None) {
        out << "accepted" << (admission.isProbe ? ", as a probe" : "");
    } else {
        out << "rejected: " << refusalCode(admission.refusal);
    }
    if (admission.minRetryAfter) {
        out << ", retry after " << formatTime(*admission.minRetryAfter);
        if (admission.maxRetryAfter && *admission.maxRetryAfter != *admission.minRetryAfter) {
            out << " to " << formatTime(*admission.maxRetryAfter);
        }
    }
    if (admission.wait > Duration::zero()) {
        out << ", requests wait " << formatTime(admission.wait) << " at the endpoints";
    }
    out << '\n';
}

void writeEndpoint(std::ostream &out, const EndpointExplanation &endpoint, std::size_t connectionLimit)
{
    out << "  " << std::left << std::setw(endpointWidth) << endpoint.endpoint.value() << ' ' << std::setw(verdictWidth)
        << endpointVerdictName(endpoint.verdict) << " zone " << endpoint.zone << ", estimate "
        << formatTime(endpoint.estimatedLatency) << ", cost " << formatTime(fromMilliseconds(endpoint.cost.total()))
        << ", report " << (endpoint.reportAge ? formatTime(*endpoint.reportAge) + " old" : std::string("none"))
        << ", in flight " << endpoint.inFlight << " own, " << formatNumber(endpoint.othersInFlight) << " others, slots "
        << endpoint.slots << ", connections " << endpoint.connections.open << " of " << connectionLimit << ", "
        << endpoint.connections.idle << " idle";
    if (!endpoint.connections.hasRoom(connectionLimit)) {
        out << ", all busy, " << endpoint.connections.waitingRequests << " requests wait for one";
    }
    if (endpoint.isCold) {
        out << ", cold";
    }
    if (endpoint.throttleWait > Duration::zero()) {
        out << ", takes requests in " << formatTime(endpoint.throttleWait);
    }
    out << '\n';
}

void writeService(std::ostream &out, const ServiceExplanation &service)
{
    beginLine(out, "service") << service.service << ": ";
    if (!service.isUsed) {
        out << "not this request, by the weights of the route";
    } else if (service.skipped != Refusal::None) {
        out << "left out: " << refusalCode(service.skipped);
    } else if (!service.chosen) {
        out << "no endpoint takes the request";
    } else {
        out << (service.isRelayed ? "relayed by another instance, directly to " : "to ") << *service.chosen;
    }
    out << "; retry budget " << formatNumber(service.retryBudget.extraAttempts) << " of "
        << formatNumber(service.retryBudget.capacity) << ", " << service.retryBudget.waitingRetries << " waiting\n";
    for (const EndpointExplanation &endpoint : service.endpoints) {
        writeEndpoint(out, endpoint, service.connectionLimit);
    }
    if (service.unlistedEndpoints == 0) {
        return;
    }
    out << "  " << service.unlistedEndpoints << " more endpoints; of all:";
    for (const auto &[verdict, count] : service.verdictCounts) {
        out << ' ' << count << ' ' << endpointVerdictName(verdict);
    }
    out << '\n';
}

}

std::string encodeAsText(const RouteExplanation &explanation)
{
    std::ostringstream out;
    writeRequest(out, explanation);
    writeRoute(out, explanation);
    writeQuota(out, explanation);
    writeAdmission(out, explanation.admission);
    if (explanation.relay) {
        beginLine(out, "relay") << explanation.relay->shards << " shards by one of " << explanation.relay->instances
                                << " instances in zone " << explanation.relay->zone << '\n';
    }
    for (const ServiceExplanation &service : explanation.services) {
        writeService(out, service);
    }
    if (explanation.unlistedServices > 0) {
        out << explanation.unlistedServices << " more services\n";
    }
    return out.str();
}

}
