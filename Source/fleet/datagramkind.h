#pragma once

#include <string>

namespace Lycheewall::DatagramKind
{

/// First byte of datagrams that are no fleet message; those begin with a CBOR map.
const std::string relayRequest = "Q";
const std::string relayResponse = "A";
/// Followed by the CBOR form of the reply address and the id of the question.
const std::string relayCancel = "C";

}
