#pragma once

#include "core/clock.h"
#include "core/strongid.h"
#include "gateway/sideserver.h"

#include <optional>
#include <vector>

namespace Lycheewall
{

/// A caller's question which instances to use.
struct AddressQuestion
{
    ZoneId zone;
};

/**
 * How questions beside requests look on the wire.
 * Thread safety: any thread.
 */
class SideDialect
{
public:
    virtual ~SideDialect() = default;

    /// Nothing when @p target is no such question.
    virtual std::optional<AddressQuestion> decodeAddressQuestion(const std::string &target) const = 0;
    virtual SideAnswer encodeAddresses(const std::vector<std::string> &addresses, Duration keep) const = 0;
    virtual bool isReadyQuestion(const std::string &target) const = 0;
};

}
