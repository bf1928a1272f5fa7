#pragma once

#include "core/result.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Lycheewall
{

/// Why bytes are no CBOR that this project reads.
enum class CborError {
    /// Not CBOR, truncated, trailing bytes, or a feature that the encoder never uses: indefinite lengths and tags.
    Malformed = 1,
    NestedTooDeeply,
    ListTooLong
};

/// Category "lycheewall.cbor".
const std::error_category &cborCategory();
std::error_code make_error_code(CborError error);

/// Deepest nesting of maps and lists. The messages need 6; the rest is room for unknown fields.
constexpr int maxCborDepth = 8;

/// Greatest number of entries of one map or list: the endpoints of a large fleet in one feed list.
constexpr std::size_t maxCborListLength = 65'536;

/**
 * Parses one complete CBOR item. The bounds are checked before, without recursion: the parser of nlohmann::json
 * recurses for each level and for nested indefinite strings, so that a hostile message would exhaust the stack. Thread
 * safety: any thread. Errors: CborError.
 */
Result<nlohmann::json> parseCbor(const std::string &bytes, std::size_t maxListLength = maxCborListLength);

}

template<> struct std::is_error_code_enum<Lycheewall::CborError> : std::true_type
{
};
