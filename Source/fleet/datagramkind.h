#pragma once

#include <string>

namespace Lycheewall::DatagramKind
{

/// First byte of a relay datagram. A gossip message has no such prefix: it begins with the header of a CBOR map.
const std::string relayRequest = "Q";
const std::string relayResponse = "A";
/// Followed by the reply address and the id of the cancelled request, encoded as CBOR.
const std::string relayCancel = "C";

}
