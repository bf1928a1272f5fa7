#pragma once

#include "catalogue/catalogue.h"
#include "catalogue/instancelist.h"
#include "configuration/configurationerror.h"
#include "configuration/platformreader.h"
#include "core/counters.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace Lycheewall
{

/// Ends its subscription when it is destroyed. A callback that already runs is not interrupted.
class ConfigurationSubscription
{
public:
    virtual ~ConfigurationSubscription() = default;
};

/**
 * The newest accepted version of each value, from whichever source it came. The version in force never goes back.
 * Thread safety: any thread. Callbacks run in the thread of offer(), without a lock held.
 */
class ConfigurationStore
{
public:
    /// Both references must outlive the store.
    explicit ConfigurationStore(const Clock &clock, Counters &counters);
    ~ConfigurationStore();
    ConfigurationStore(const ConfigurationStore &) = delete;
    ConfigurationStore &operator=(const ConfigurationStore &) = delete;

    /// Validates the whole value and puts it in force when its version is higher than the one in force.
    /// @p source names the sender in problems, for example "platform" or an instance id.
    /// Errors: ConfigurationError.
    Result<void> offer(ValueName name, const VersionedValue &value, const std::string &source);

    /// The catalogue in force, or null before the first acceptance.
    std::shared_ptr<const Catalogue> catalogue() const;

    /// The instance list in force, or null before the first acceptance.
    std::shared_ptr<const InstanceList> instances() const;

    /// Version in force, 0 before the first acceptance.
    ValueVersion version(ValueName name) const;

    /// Text and version in force, to be handed to peers.
    std::optional<VersionedValue> value(ValueName name) const;

    /// Source of the value in force, empty before the first acceptance.
    std::string source(ValueName name) const;

    /// Moment of the last acceptance.
    std::optional<TimePoint> acceptedAt(ValueName name) const;

    /// Problems of the offer refused last; empty when a higher version was accepted since.
    std::vector<CatalogueProblem> lastProblems(ValueName name) const;

    /// Calls @p callback after each acceptance. The store then has at least the accepted version. Callbacks of racing
    /// offers may arrive in any order, so a callback reads the store rather than counting calls.
    [[nodiscard]] std::unique_ptr<ConfigurationSubscription> subscribe(std::function<void(ValueName)> callback);

private:
    struct Refused;
    struct Slot;
    struct Subscribers;
    class Handle;

    /// A parsed value; exactly one pointer is set.
    struct Parsed
    {
        std::shared_ptr<const Catalogue> catalogue;
        std::shared_ptr<const InstanceList> instances;
    };

    Slot &slot(ValueName name) const;
    std::error_code admit(ValueName name, const Refused &offered);
    std::error_code refuse(ValueName name, const Refused &offered, std::vector<CatalogueProblem> problems);
    std::error_code install(ValueName name, const VersionedValue &value, const std::string &source, Parsed parsed);
    void count(std::string_view what, ValueName name);

    const Clock &clock;
    Counters &counters;
    mutable std::mutex mutex;
    std::unique_ptr<Slot> catalogueSlot;
    std::unique_ptr<Slot> instancesSlot;
    std::shared_ptr<Subscribers> subscribers;
};

}
