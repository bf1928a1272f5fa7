#pragma once

#include <string_view>
#include <system_error>

namespace Lycheewall
{

/// Why a frame of a peer was not understood.
enum class PeerCodecError {
    FrameTooLarge = 1,
    /// Not CBOR, truncated, trailing bytes, or a CBOR feature that the protocol leaves unused.
    Malformed,
    NestedTooDeeply,
    ListTooLong,
    NotAMap,
    UnknownType,
    MissingField,
    IllTypedField
};

/// The code in counters, for example "missing-field".
std::string_view peerCodecErrorCode(PeerCodecError error);

/// Category "lycheewall.peer-codec".
const std::error_category &peerCodecCategory();
std::error_code make_error_code(PeerCodecError error);

}

template<> struct std::is_error_code_enum<Lycheewall::PeerCodecError> : std::true_type
{
};
