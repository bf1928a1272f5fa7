#include "forwarding/relaymessage.h"

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

Json binary(const std::string &text)
{
    return Json::binary({ text.begin(), text.end() });
}

std::string textOf(const Json &json)
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

RelayRequest questionOf(const Json &json)
{
    RelayRequest question;
    question.id = json.at("i").get<std::uint64_t>();
    question.replyAddress = json.at("r").get<std::string>();
    question.tableVersion = json.at("v").get<std::uint64_t>();
    question.route = json.at("n").get<std::string>();
    for (const Json &service : json.at("s")) {
        question.services.emplace_back(service.get<std::string>());
    }
    question.organisation = OrganisationId(json.at("o").get<std::string>());
    question.message.attemptId = json.at("a").get<std::string>();
    question.message.method = json.at("m").get<std::string>();
    question.message.host = json.at("h").get<std::string>();
    question.message.target = textOf(json.at("t"));
    for (const Json &field : json.at("f")) {
        question.message.headers.emplace_back(textOf(field.at(0)), textOf(field.at(1)));
    }
    question.message.body = textOf(json.at("b"));
    question.elapsedMs = json.at("e").get<std::int64_t>();
    question.remainingMs = json.at("l").get<std::int64_t>();
    return question;
}

RelayResponse answerOf(const Json &json)
{
    RelayResponse answer;
    for (const Json &part : json.at("p")) {
        answer.shards.push_back({ ServiceId(part.at(0).get<std::string>()), textOf(part.at(1)) });
    }
    answer.records = textOf(json.at("b"));
    answer.isFinal = json.at("e").get<bool>();
    answer.isRefused = json.at("x").get<bool>();
    return answer;
}

}

std::error_code make_error_code(RelayMessageError error)
{
    static const RelayMessageCategory category;
    return { static_cast<int>(error), category };
}

std::string encodeRelayRequest(const RelayRequest &question)
{
    Json headers = Json::array();
    for (const auto &[name, value] : question.message.headers) {
        headers.push_back(Json::array({ binary(name), binary(value) }));
    }
    const Json json { { "i", question.id },
                      { "r", question.replyAddress },
                      { "v", question.tableVersion },
                      { "n", question.route },
                      { "s", servicesToJson(question.services) },
                      { "o", question.organisation.value() },
                      { "a", question.message.attemptId },
                      { "m", question.message.method },
                      { "h", question.message.host },
                      { "t", binary(question.message.target) },
                      { "f", headers },
                      { "b", binary(question.message.body) },
                      { "e", question.elapsedMs },
                      { "l", question.remainingMs } };
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<RelayRequest> decodeRelayRequest(const std::string &bytes)
{
    const Json json = Json::from_cbor(bytes, true, false);
    if (json.is_discarded()) {
        return make_error_code(RelayMessageError::NotCbor);
    }
    try {
        return questionOf(json);
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
    const Json json = Json::from_cbor(bytes, true, false);
    if (json.is_discarded()) {
        return make_error_code(RelayMessageError::NotCbor);
    }
    try {
        return RelayCancel { json.at(0).get<std::string>(), json.at(1).get<std::uint64_t>() };
    } catch (const Json::exception &) {
        return make_error_code(RelayMessageError::FieldMissing);
    }
}

std::string encodeRelayResponse(std::uint64_t id, const RelayResponse &answer)
{
    Json parts = Json::array();
    for (const RelayResponse::Shard &part : answer.shards) {
        parts.push_back(Json::array({ part.service.value(), binary(part.signature) }));
    }
    const Json json {
        { "i", id }, { "p", parts }, { "b", binary(answer.records) }, { "e", answer.isFinal }, { "x", answer.isRefused }
    };
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<std::pair<std::uint64_t, RelayResponse>> decodeRelayResponse(const std::string &bytes)
{
    const Json json = Json::from_cbor(bytes, true, false);
    if (json.is_discarded()) {
        return make_error_code(RelayMessageError::NotCbor);
    }
    try {
        return std::make_pair(json.at("i").get<std::uint64_t>(), answerOf(json));
    } catch (const Json::exception &) {
        return make_error_code(RelayMessageError::FieldMissing);
    }
}

}
