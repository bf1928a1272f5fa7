#pragma once

#include "core/result.h"
#include "peer/codec/messages.h"
#include "peer/codec/peercodecerror.h"

#include <string>

namespace Lycheewall
{

/// Largest frame between daemons in bytes; a configuration value may hold 1 MB of text.
constexpr std::size_t maxPeerFrameBytes = std::size_t(2) * 1024 * 1024;

/// Most entries in one list of a message.
constexpr std::size_t maxPeerListLength = 16384;

/**
 * Turns messages into CBOR frames and back. A frame is a map with the type tag under "t" and one entry per field.
 * Thread safety: all functions may be called from any thread.
 */
class PeerCodec
{
public:
    /// The frame of a message, without checks of its bounds.
    static std::string encode(const PeerMessage &message);

    /// As encode(). Errors: PeerCodecError::FrameTooLarge and ListTooLong for a frame that the receiver would refuse.
    static Result<std::string> encodeChecked(const PeerMessage &message);

    /// Unknown fields are ignored. Errors: PeerCodecError. Throws nothing, whatever the frame holds.
    static Result<PeerMessage> decode(const std::string &frame);
};

}
