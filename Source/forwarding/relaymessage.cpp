#include "forwarding/relaymessage.h"

#include "core/cborparser.h"

#include <nlohmann/json.hpp>

namespace Lycheewall
{

namespace
{

using Json = nlohmann::json;

class RelayMessageCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "relay message";
    }
    std::string message(int value) const override
    {
        return static_cast<RelayMessageError>(value) == RelayMessageError::NotCbor ? "not-cbor" : "field-missing";
    }
};

Json toBinary(const std::string &text)
{
    return Json::binary({ text.begin(), text.end() });
}

std::string stringFromBinary(const Json &json)
{
    const auto &bytes = json.get_binary();
    return { bytes.begin(), bytes.end() };
}

Json servicesToJson(const std::vector<ServiceId> &services)
{
    Json list = Json::array();
    for (const ServiceId &service : services) {
        list.push_back(service.value());
    }
    return list;
}

RelayRequest requestFromJson(const Json &json)
{
    RelayRequest request;
    request.id = json.at("i").get<std::uint64_t>();
    request.replyAddress = json.at("r").get<std::string>();
    request.tableVersion = json.at("v").get<std::uint64_t>();
    request.route = json.at("n").get<std::string>();
    for (const Json &service : json.at("s")) {
        request.services.emplace_back(service.get<std::string>());
    }
    request.organisation = OrganisationId(json.at("o").get<std::string>());
    request.message.attemptId = json.at("a").get<std::string>();
    request.message.method = json.at("m").get<std::string>();
    request.message.host = json.at("h").get<std::string>();
    request.message.target = stringFromBinary(json.at("t"));
    for (const Json &field : json.at("f")) {
        request.message.headers.emplace_back(stringFromBinary(field.at(0)), stringFromBinary(field.at(1)));
    }
    request.message.body = stringFromBinary(json.at("b"));
    request.elapsedMs = json.at("e").get<std::int64_t>();
    request.remainingMs = json.at("l").get<std::int64_t>();
    return request;
}

RelayResponse responseFromJson(const Json &json)
{
    RelayResponse response;
    for (const Json &shard : json.at("p")) {
        response.shards.push_back({ ServiceId(shard.at(0).get<std::string>()), stringFromBinary(shard.at(1)) });
    }
    response.records = stringFromBinary(json.at("b"));
    response.isFinal = json.at("e").get<bool>();
    response.isRefused = json.at("x").get<bool>();
    return response;
}

}

std::error_code make_error_code(RelayMessageError error)
{
    static const RelayMessageCategory category;
    return { static_cast<int>(error), category };
}

std::string encodeRelayRequest(const RelayRequest &request)
{
    Json headers = Json::array();
    for (const auto &[name, value] : request.message.headers) {
        headers.push_back(Json::array({ toBinary(name), toBinary(value) }));
    }
    const Json json { { "i", request.id },
                      { "r", request.replyAddress },
                      { "v", request.tableVersion },
                      { "n", request.route },
                      { "s", servicesToJson(request.services) },
                      { "o", request.organisation.value() },
                      { "a", request.message.attemptId },
                      { "m", request.message.method },
                      { "h", request.message.host },
                      { "t", toBinary(request.message.target) },
                      { "f", headers },
                      { "b", toBinary(request.message.body) },
                      { "e", request.elapsedMs },
                      { "l", request.remainingMs } };
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<RelayRequest> decodeRelayRequest(const std::string &bytes)
{
    const auto parsed = parseCbor(bytes);
    if (!parsed) {
        return make_error_code(RelayMessageError::NotCbor);
    }
    const Json &json = parsed.value();
    try {
        return requestFromJson(json);
    } catch (const Json::exception &) {
        return make_error_code(RelayMessageError::FieldMissing);
    }
}

std::string encodeRelayCancel(const RelayCancel &cancel)
{
    std::string bytes;
    Json::to_cbor(Json::array({ cancel.replyAddress, cancel.id }), bytes);
    return bytes;
}

Result<RelayCancel> decodeRelayCancel(const std::string &bytes)
{
    const auto parsed = parseCbor(bytes);
    if (!parsed) {
        return make_error_code(RelayMessageError::NotCbor);
    }
    const Json &json = parsed.value();
    try {
        return RelayCancel { json.at(0).get<std::string>(), json.at(1).get<std::uint64_t>() };
    } catch (const Json::exception &) {
        return make_error_code(RelayMessageError::FieldMissing);
    }
}

std::string encodeRelayResponse(std::uint64_t id, const RelayResponse &response)
{
    Json shards = Json::array();
    for (const RelayResponse::Shard &shard : response.shards) {
        shards.push_back(Json::array({ shard.service.value(), toBinary(shard.signature) }));
    }
    const Json json { { "i", id },
                      { "p", shards },
                      { "b", toBinary(response.records) },
                      { "e", response.isFinal },
                      { "x", response.isRefused } };
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<std::pair<std::uint64_t, RelayResponse>> decodeRelayResponse(const std::string &bytes)
{
    const auto parsed = parseCbor(bytes);
    if (!parsed) {
        return make_error_code(RelayMessageError::NotCbor);
    }
    const Json &json = parsed.value();
    try {
        return std::make_pair(json.at("i").get<std::uint64_t>(), responseFromJson(json));
    } catch (const Json::exception &) {
        return make_error_code(RelayMessageError::FieldMissing);
    }
}

}
