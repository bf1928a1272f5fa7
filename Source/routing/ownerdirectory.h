#pragma once

#include "core/strongid.h"

#include <optional>

namespace Lycheewall
{

/**
 * Where the owner of a resource is believed to be.
 * Thread safety: any thread; calls back into nothing.
 */
class OwnerDirectory
{
public:
    virtual ~OwnerDirectory() = default;

    /// Best guess where to send work for @p resource; empty when no live instance is known.
    virtual std::optional<InstanceId> holder(const ResourceId &resource) const = 0;

    /// False when the instance was not heard of lately.
    virtual bool responsive(const InstanceId &instance) const = 0;
};

}
