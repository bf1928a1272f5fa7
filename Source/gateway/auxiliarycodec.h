#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "gateway/auxiliaryserver.h"

#include <optional>
#include <vector>

namespace Lycheewall
{

/// A discovery request: a caller asks for the addresses of instances that it can use.
struct AddressRequest
{
    /// The zone of the caller.
    ZoneId zone;
};

/**
 * Decodes discovery requests and readiness checks, and encodes discovery responses.
 * Thread safety: any thread.
 */
class AuxiliaryCodec
{
public:
    virtual ~AuxiliaryCodec() = default;

    /// std::nullopt if @p target is not a discovery request.
    virtual std::optional<AddressRequest> decodeAddressRequest(const std::string &target) const = 0;
    virtual AuxiliaryResponse encodeAddresses(const std::vector<std::string> &addresses, Duration ttl) const = 0;
    virtual bool isReadinessRequest(const std::string &target) const = 0;
};

}
