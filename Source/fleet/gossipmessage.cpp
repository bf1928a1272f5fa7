#include "fleet/gossipmessage.h"

#include "core/cborparser.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace Lycheewall
{

namespace
{

using Json = nlohmann::json;

constexpr int wireVersion = 2;

class GossipMessageCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "fleet message";
    }
    std::string message(int value) const override
    {
        switch (static_cast<GossipMessageError>(value)) {
        case GossipMessageError::NotCbor:
            return "not-cbor";
        case GossipMessageError::WrongVersion:
            return "wrong-version";
        case GossipMessageError::FieldMissing:
            return "field-missing";
        case GossipMessageError::ValueOutOfRange:
            return "value-out-of-range";
        }
        return "unknown";
    }
};

Json usageToJson(const std::vector<OrganisationUsage> &usage)
{
    Json list = Json::array();
    for (const OrganisationUsage &item : usage) {
        list.push_back(Json::array({ item.organisation.value(), item.admitted, item.recentlyAdmitted }));
    }
    return list;
}

/// Request rates are encoded as whole tenths.
constexpr double rateUnitsPerRequest = 10;

/// CBOR encodes integers in fewer bytes than floating-point numbers.
std::int64_t toThousandths(double value)
{
    return std::llround(1000 * value);
}

double fromThousandths(const Json &json)
{
    return static_cast<double>(json.get<std::int64_t>()) / 1000;
}

Json toJson(const GossipMessage &message)
{
    Json json { { "v", wireVersion },          { "i", message.instance.value() },
                { "n", message.incarnation },  { "s", static_cast<int>(message.state) },
                { "z", message.zone.value() }, { "c", message.callerAddress },
                { "p", message.peerAddress },  { "a", message.feedAgeMs } };
    json["m"]
        = Json::array({ toThousandths(message.cpuUsage.availableCores), toThousandths(message.cpuUsage.requestCores) });
    if (message.requestsPerSecond) {
        json["m"].push_back(std::llround(rateUnitsPerRequest * *message.requestsPerSecond));
    }
    if (message.readsStore) {
        json["r"] = true;
    }
    if (message.restoration) {
        json["e"] = Json::array({ message.restoration->era.value(), message.restoration->rewriteRemainingMs });
    }
    if (message.requestsAddresses) {
        json["j"] = true;
    }
    if (message.requestsReply) {
        json["q"] = true;
    }
    if (!message.usage.empty()) {
        json["u"] = usageToJson(message.usage);
    }
    for (const SlowEndpoint &item : message.slowEndpoints) {
        json["w"].push_back(Json::array({ item.endpoint.value(), toThousandths(item.slowness) }));
    }
    if (!message.knownAddresses.empty()) {
        json["k"] = message.knownAddresses;
    }
    for (const PiggybackedMessage &piggybacked : message.piggybacked) {
        json["l"].push_back(Json::array({ piggybacked.ageMs, toJson(piggybacked.message) }));
    }
    return json;
}

/// Maximum age of a message that is passed on. Older ones are not applied by any receiver.
constexpr std::int64_t maxAgeMs = 60'000;
/// Far above the time in which operators write what a restored store has lost.
constexpr std::int64_t maxRewriteRemainingMs = 60'000;

/// True if the receiver can compute with the values. They come from the network, so any value is possible.
bool isInRange(const GossipMessage &message)
{
    const bool hasKnownState = message.state >= MemberState::Starting && message.state <= MemberState::ShuttingDown;
    const bool hasCores = message.cpuUsage.availableCores > 0 && message.cpuUsage.requestCores >= 0;
    const std::int64_t rewriteRemainingMs = message.restoration ? message.restoration->rewriteRemainingMs : 0;
    const bool hasRewriteTime = rewriteRemainingMs >= 0 && rewriteRemainingMs <= maxRewriteRemainingMs;
    return hasKnownState && hasCores && hasRewriteTime
        && std::all_of(message.piggybacked.begin(), message.piggybacked.end(), [](const PiggybackedMessage &item) {
               return item.ageMs >= 0 && item.ageMs <= maxAgeMs && isInRange(item.message);
           });
}

GossipMessage fromJson(const Json &json)
{
    GossipMessage message;
    message.instance = InstanceId(json.at("i").get<std::string>());
    message.incarnation = json.at("n").get<std::uint64_t>();
    message.state = static_cast<MemberState>(json.at("s").get<int>());
    message.zone = ZoneId(json.at("z").get<std::string>());
    message.callerAddress = json.at("c").get<std::string>();
    message.peerAddress = json.at("p").get<std::string>();
    message.feedAgeMs = json.at("a").get<std::int64_t>();
    message.cpuUsage = { fromThousandths(json.at("m").at(0)), fromThousandths(json.at("m").at(1)) };
    if (json.at("m").size() > 2) {
        message.requestsPerSecond = static_cast<double>(json.at("m").at(2).get<std::uint64_t>()) / rateUnitsPerRequest;
    }
    message.readsStore = json.value("r", false);
    if (json.contains("e")) {
        message.restoration
            = { StoreEra(json.at("e").at(0).get<std::uint64_t>()), json.at("e").at(1).get<std::int64_t>() };
    }
    message.requestsAddresses = json.value("j", false);
    message.requestsReply = json.value("q", false);
    for (const Json &item : json.value("u", Json::array())) {
        message.usage.push_back({ OrganisationId(item.at(0).get<std::string>()),
                                  item.at(1).get<std::uint64_t>(),
                                  item.at(2).get<std::uint64_t>() });
    }
    for (const Json &item : json.value("w", Json::array())) {
        message.slowEndpoints.push_back({ EndpointId(item.at(0).get<std::string>()), fromThousandths(item.at(1)) });
    }
    message.knownAddresses = json.value("k", std::vector<std::string>());
    for (const Json &item : json.value("l", Json::array())) {
        message.piggybacked.push_back({ item.at(0).get<std::int64_t>(), fromJson(item.at(1)) });
    }
    return message;
}

}

std::error_code make_error_code(GossipMessageError error)
{
    static const GossipMessageCategory category;
    return { static_cast<int>(error), category };
}

std::string encodeGossipMessage(const GossipMessage &message)
{
    std::string bytes;
    Json::to_cbor(toJson(message), bytes);
    return bytes;
}

Result<GossipMessage> decodeGossipMessage(const std::string &bytes)
{
    const auto parsed = parseCbor(bytes);
    if (!parsed || !parsed.value().is_object()) {
        return make_error_code(GossipMessageError::NotCbor);
    }
    const Json &json = parsed.value();
    const auto version = json.find("v");
    if (version == json.end() || *version != wireVersion) {
        return make_error_code(GossipMessageError::WrongVersion);
    }
    try {
        GossipMessage message = fromJson(json);
        if (!isInRange(message)) {
            return make_error_code(GossipMessageError::ValueOutOfRange);
        }
        return message;
    } catch (const Json::exception &) {
        return make_error_code(GossipMessageError::FieldMissing);
    }
}

}
