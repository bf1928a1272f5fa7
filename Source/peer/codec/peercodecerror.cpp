#include "peer/codec/peercodecerror.h"

#include <string>

namespace Lycheewall
{

namespace
{

class PeerCodecCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "lycheewall.peer-codec";
    }
    std::string message(int value) const override
    {
        return std::string(peerCodecErrorCode(static_cast<PeerCodecError>(value)));
    }
};

}

std::string_view peerCodecErrorCode(PeerCodecError error)
{
    switch (error) {
    case PeerCodecError::FrameTooLarge:
        return "frame-too-large";
    case PeerCodecError::Malformed:
        return "malformed";
    case PeerCodecError::NestedTooDeeply:
        return "nested-too-deeply";
    case PeerCodecError::ListTooLong:
        return "list-too-long";
    case PeerCodecError::NotAMap:
        return "not-a-map";
    case PeerCodecError::UnknownType:
        return "unknown-type";
    case PeerCodecError::MissingField:
        return "missing-field";
    case PeerCodecError::IllTypedField:
        return "ill-typed-field";
    }
    return "invalid";
}

const std::error_category &peerCodecCategory()
{
    static const PeerCodecCategory category;
    return category;
}

std::error_code make_error_code(PeerCodecError error)
{
    return { static_cast<int>(error), peerCodecCategory() };
}

}
