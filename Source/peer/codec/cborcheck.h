#pragma once

#include <string_view>
#include <system_error>

namespace Lycheewall
{

/// Deepest nesting of maps and lists in a frame. The messages need 3; the rest is room for unknown fields.
constexpr int maxCborDepth = 8;

/**
 * Checks that a frame is one complete CBOR item within the bounds of the protocol, without recursion. The parser of
 * nlohmann::json recurses per level and for nested indefinite strings without a bound, so a frame of 2 MB would
 * overflow the stack. Indefinite lengths and tags are refused: the encoder never writes them.
 * Errors: PeerCodecError.
 */
std::error_code checkCbor(std::string_view frame);

}
