#include "fleet/relayclient.h"

#include "fleet/datagramkind.h"
#include "forwarding/relaymessage.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// If an instance covers fewer shards, requests go to their endpoints directly.
constexpr std::size_t minServicesPerRelay = 2;
/// Larger datagrams would be fragmented and therefore lost more often.
constexpr std::size_t maxRequestBytes = 1200;
/// Time for which an instance gets no relay requests after it did not respond on time.
constexpr Duration timeoutBackoff = std::chrono::seconds(1);

}

/// Removes the callback on destruction, and cancels the request at the relaying instance if the final response is
/// missing.
class RelayClient::PendingRequest : public PendingRelay
{
public:
    PendingRequest(RelayClient &relayClient, std::uint64_t requestId, std::string peerAddress)
        : client(relayClient)
        , id(requestId)
        , address(std::move(peerAddress))
    {
    }
    ~PendingRequest() override
    {
        if (this->client.pendingCallbacks.erase(this->id) > 0) {
            const RelayCancel cancel { this->client.replyAddress, this->id };
            this->client.context.sender.send(this->address, DatagramKind::relayCancel + encodeRelayCancel(cancel));
        }
    }

private:
    RelayClient &client;
    std::uint64_t id;
    std::string address;
};

RelayClient::RelayClient(const Context &relayContext, std::string ownAddress, ZoneId ownZone)
    : context(relayContext)
    , replyAddress(std::move(ownAddress))
    , zone(std::move(ownZone))
    , nextRequestId(relayContext.random.bits())
{
}

std::optional<RelayClient::Candidates> RelayClient::findCandidates(const std::vector<ServiceId> &services) const
{
    std::map<ZoneId, std::vector<ServiceId>> byZone;
    for (const ServiceId &service : services) {
        for (const ZoneId &endpointZone : this->context.endpoints.availableZones(service)) {
            byZone[endpointZone].push_back(service);
        }
    }
    byZone.erase(this->zone);
    std::optional<Candidates> best;
    for (const auto &[endpointZone, covered] : byZone) {
        const bool coversMore
            = covered.size() >= minServicesPerRelay && (!best || covered.size() > best->services.size());
        auto instances = coversMore ? this->usableInstances(endpointZone) : std::vector<InstanceInfo>();
        if (!instances.empty()) {
            best = Candidates { endpointZone, std::move(instances), covered };
        }
    }
    return best;
}

std::optional<RelayZone> RelayClient::findZone(const std::vector<ServiceId> &services) const
{
    const auto candidates = this->findCandidates(services);
    if (!candidates) {
        return std::nullopt;
    }
    return RelayZone { candidates->zone, candidates->instances.size(), candidates->services };
}

std::optional<RelayTarget> RelayClient::selectTarget(const std::vector<ServiceId> &services)
{
    const auto candidates = this->findCandidates(services);
    if (!candidates) {
        return std::nullopt;
    }
    const std::vector<InstanceInfo> &instances = candidates->instances;
    const InstanceInfo &selected = instances[this->context.random.uniformInteger(instances.size())];
    return RelayTarget { selected.instance, selected.peerAddress, candidates->zone, candidates->services };
}

std::vector<InstanceInfo> RelayClient::usableInstances(const ZoneId &wanted) const
{
    const TimePoint now = this->context.clock.now();
    std::vector<InstanceInfo> instances = this->context.activeInstances.inZone(wanted);
    instances.erase(std::remove_if(instances.begin(),
                                   instances.end(),
                                   [this, now](const InstanceInfo &instance) {
                                       const auto backoff = this->backoffUntil.find(instance.instance);
                                       return backoff != this->backoffUntil.end() && now < backoff->second;
                                   }),
                    instances.end());
    return instances;
}

std::unique_ptr<PendingRelay>
RelayClient::send(const RelayTarget &target, const AdmittedRequest &admitted, ResponseCallback onResponse)
{
    const CallerRequest &request = *admitted.request;
    const TimePoint now = this->context.clock.now();
    RelayRequest relayRequest;
    relayRequest.id = this->nextRequestId++;
    relayRequest.replyAddress = this->replyAddress;
    relayRequest.tableVersion = admitted.table->version();
    relayRequest.route = admitted.route->name;
    relayRequest.services = target.services;
    relayRequest.organisation = admitted.organisation;
    relayRequest.message = request;
    relayRequest.elapsedMs = toMilliseconds(now - request.arrivedAt);
    relayRequest.remainingMs = toMilliseconds(admitted.deadline - now);
    const std::string bytes = encodeRelayRequest(relayRequest);
    if (bytes.size() > maxRequestBytes) {
        return nullptr;
    }
    this->pendingCallbacks[relayRequest.id] = std::move(onResponse);
    this->context.counters.counter("lycheewall_relay_questions_total").add();
    this->context.sender.send(target.peerAddress, DatagramKind::relayRequest + bytes);
    return std::make_unique<PendingRequest>(*this, relayRequest.id, target.peerAddress);
}

void RelayClient::handleTimeout(const InstanceId &instance)
{
    this->context.counters.counter("lycheewall_relay_silences_total").add();
    this->backoffUntil[instance] = this->context.clock.now() + timeoutBackoff;
}

void RelayClient::handleResponse(const std::string &bytes)
{
    const auto decoded = decodeRelayResponse(bytes);
    if (!decoded) {
        this->context.counters.counter("lycheewall_fleet_bad_messages_total", decoded.error().message()).add();
        return;
    }
    const auto entry = this->pendingCallbacks.find(decoded.value().first);
    if (entry == this->pendingCallbacks.end()) {
        return;
    }
    // The callback may destroy the PendingRequest, and with it the entry.
    const ResponseCallback callback = entry->second;
    if (decoded.value().second.isFinal) {
        this->pendingCallbacks.erase(entry);
    }
    callback(decoded.value().second);
}

}
