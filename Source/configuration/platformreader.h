#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "core/strongid.h"

#include <string>

namespace Lycheewall
{

/// A value published by the platform. Versions grow by one or more with each publication.
struct VersionedValue
{
    ValueVersion version;
    std::string text;
};

/// The values that the platform publishes.
enum class ValueName { Catalogue, Instances };

/// "catalogue" or "instances".
std::string_view valueNameText(ValueName name);

/**
 * Reads the platform's configuration service. Nothing can be written to it. Each call counts as one call there.
 * Thread safety: any thread; calls block the calling fiber.
 */
class PlatformReader
{
public:
    virtual ~PlatformReader() = default;

    /// The present value. Errors: the transport's, or PlatformError.
    virtual Result<VersionedValue> read(ValueName name) = 0;

    /// Waits up to @p wait for a version above @p after. A value with version == after means that nothing changed.
    virtual Result<VersionedValue> watch(ValueName name, ValueVersion after, Duration wait) = 0;
};

}
