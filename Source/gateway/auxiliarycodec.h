#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "gateway/auxiliaryserver.h"

#include <optional>
#include <vector>

namespace Lycheewall
{

/// A caller's question which instances to use.
struct AddressRequest
{
    ZoneId zone;
};

/**
 * How questions beside requests look on the wire.
 * Thread safety: any thread.
 */
class AuxiliaryCodec
{
public:
    virtual ~AuxiliaryCodec() = default;

    /// Nothing when @p target is no such question.
    virtual std::optional<AddressRequest> decodeAddressRequest(const std::string &target) const = 0;
    virtual AuxiliaryResponse encodeAddresses(const std::vector<std::string> &addresses, Duration ttl) const = 0;
    virtual bool isReadinessRequest(const std::string &target) const = 0;
};

}
