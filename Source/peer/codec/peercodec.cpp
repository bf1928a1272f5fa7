#include "peer/codec/peercodec.h"

#include "core/cborparser.h"
#include "peer/codec/messagereader.h"
#include "peer/codec/messagewriter.h"

namespace Lycheewall
{

namespace
{

constexpr const char *typeKey = "t";

struct Encoded
{
    std::string frame;
    std::size_t longestList = 0;
};

Encoded encodeMessage(const PeerMessage &message)
{
    return std::visit(
        [](const auto &content) {
            using Message = std::decay_t<decltype(content)>;
            MessageWriter<Message> writer(content);
            nlohmann::json map = writer.take();
            map.emplace(typeKey, MessageFields<Message>::tag);
            Encoded encoded;
            encoded.longestList = writer.longestList();
            nlohmann::json::to_cbor(map, nlohmann::detail::output_adapter<char>(encoded.frame));
            return encoded;
        },
        message);
}

template<typename Message> bool decodeAs(const std::string &tag, nlohmann::json &map, Result<PeerMessage> &result)
{
    if (tag != MessageFields<Message>::tag) {
        return false;
    }
    Message message;
    const std::error_code error = MessageReader<Message>(map, message).error();
    if (error) {
        result = failure(error);
    } else {
        result = PeerMessage(std::move(message));
    }
    return true;
}

template<typename... Message>
Result<PeerMessage>
decodeAny(const std::string &tag, nlohmann::json &map, const std::variant<Message...> * /*messages*/)
{
    Result<PeerMessage> result = failure(make_error_code(PeerCodecError::UnknownType));
    (decodeAs<Message>(tag, map, result) || ...);
    return result;
}

PeerCodecError peerError(const std::error_code &error)
{
    if (error == CborError::NestedTooDeeply) {
        return PeerCodecError::NestedTooDeeply;
    }
    return error == CborError::ListTooLong ? PeerCodecError::ListTooLong : PeerCodecError::Malformed;
}

}

std::string PeerCodec::encode(const PeerMessage &message)
{
    return encodeMessage(message).frame;
}

Result<std::string> PeerCodec::encodeChecked(const PeerMessage &message)
{
    Encoded encoded = encodeMessage(message);
    if (encoded.longestList > maxPeerListLength) {
        return failure(make_error_code(PeerCodecError::ListTooLong));
    }
    if (encoded.frame.size() > maxPeerFrameBytes) {
        return failure(make_error_code(PeerCodecError::FrameTooLarge));
    }
    return std::move(encoded.frame);
}

Result<PeerMessage> PeerCodec::decode(const std::string &frame)
{
    if (frame.size() > maxPeerFrameBytes) {
        return failure(make_error_code(PeerCodecError::FrameTooLarge));
    }
    auto parsed = parseCbor(frame, maxPeerListLength);
    if (!parsed) {
        return failure(make_error_code(peerError(parsed.error())));
    }
    nlohmann::json &map = parsed.value();
    if (!map.is_object()) {
        return failure(make_error_code(PeerCodecError::NotAMap));
    }
    const auto tag = map.find(typeKey);
    if (tag == map.end()) {
        return failure(make_error_code(PeerCodecError::MissingField));
    }
    if (!tag->is_string()) {
        return failure(make_error_code(PeerCodecError::IllTypedField));
    }
    const PeerMessage *const messages = nullptr;
    return decodeAny(tag->get<std::string>(), map, messages);
}

}
