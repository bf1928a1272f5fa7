#include "fleet/relayclient.h"

#include "fleet/datagramkind.h"
#include "forwarding/relaymessage.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Fewer parts than this are asked for directly.
constexpr std::size_t leastParts = 2;
/// Larger questions would be split on the way and lost more often.
constexpr std::size_t largestQuestion = 1200;
/// An instance that did not answer in time is not asked for this long.
constexpr Duration avoidance = std::chrono::seconds(1);

}

/// Forgets the callback when the exchange has ended, and tells the other instance if it still works on the question.
class RelayClient::Wait : public PendingRelay
{
public:
    Wait(RelayClient &relayClient, std::uint64_t questionId, std::string peerAddress)
        : client(relayClient)
        , id(questionId)
        , address(std::move(peerAddress))
    {
    }
    ~Wait() override
    {
        if (this->client.waiting.erase(this->id) > 0) {
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
    , nextId(relayContext.random.bits())
{
}

std::optional<RelayTarget> RelayClient::selectTarget(const std::vector<ServiceId> &services)
{
    std::map<ZoneId, std::vector<ServiceId>> byZone;
    for (const ServiceId &service : services) {
        for (const ZoneId &endpointZone : this->context.endpoints.availableZones(service)) {
            byZone[endpointZone].push_back(service);
        }
    }
    byZone.erase(this->zone);
    std::optional<RelayTarget> best;
    for (const auto &[endpointZone, covered] : byZone) {
        const bool isBetter = covered.size() >= leastParts && (!best || covered.size() > best->services.size());
        const auto instance = isBetter ? this->instanceIn(endpointZone) : std::nullopt;
        if (instance) {
            best = RelayTarget { instance->instance, instance->peerAddress, endpointZone, covered };
        }
    }
    return best;
}

std::optional<InstanceInfo> RelayClient::instanceIn(const ZoneId &wanted) const
{
    const TimePoint now = this->context.clock.now();
    std::vector<InstanceInfo> usable = this->context.activeInstances.inZone(wanted);
    usable.erase(std::remove_if(usable.begin(),
                                usable.end(),
                                [this, now](const InstanceInfo &instance) {
                                    const auto avoided = this->avoidedUntil.find(instance.instance);
                                    return avoided != this->avoidedUntil.end() && now < avoided->second;
                                }),
                 usable.end());
    return usable.empty() ? std::nullopt : std::optional(usable[this->context.random.uniformInteger(usable.size())]);
}

std::unique_ptr<PendingRelay>
RelayClient::send(const RelayTarget &target, const AdmittedRequest &admitted, ResponseCallback answered)
{
    const CallerRequest &request = *admitted.request;
    const TimePoint now = this->context.clock.now();
    RelayRequest question;
    question.id = this->nextId++;
    question.replyAddress = this->replyAddress;
    question.tableVersion = admitted.table->version();
    question.route = admitted.route->name;
    question.services = target.services;
    question.organisation = admitted.organisation;
    question.message = request;
    question.elapsedMs = toMilliseconds(now - request.arrivedAt);
    question.remainingMs = toMilliseconds(admitted.deadline - now);
    const std::string bytes = encodeRelayRequest(question);
    if (bytes.size() > largestQuestion) {
        return nullptr;
    }
    this->waiting[question.id] = std::move(answered);
    this->context.counters.counter("lycheewall_relay_questions_total").add();
    this->context.sender.send(target.peerAddress, DatagramKind::relayRequest + bytes);
    return std::make_unique<Wait>(*this, question.id, target.peerAddress);
}

void RelayClient::handleTimeout(const InstanceId &instance)
{
    this->context.counters.counter("lycheewall_relay_silences_total").add();
    this->avoidedUntil[instance] = this->context.clock.now() + avoidance;
}

void RelayClient::handleResponse(const std::string &bytes)
{
    const auto decoded = decodeRelayResponse(bytes);
    if (!decoded) {
        this->context.counters.counter("lycheewall_fleet_bad_messages_total", decoded.error().message()).add();
        return;
    }
    const auto entry = this->waiting.find(decoded.value().first);
    if (entry == this->waiting.end()) {
        return;
    }
    // The callback may end the wait, and with it the entry.
    const ResponseCallback callback = entry->second;
    if (decoded.value().second.isFinal) {
        this->waiting.erase(entry);
    }
    callback(decoded.value().second);
}

}
