#pragma once

#include "catalogue/catalogue.h"

namespace Lycheewall
{

/// State of an instance according to the platform, whose list lags behind the actual state.
enum class ListedState { Live, ShuttingDown };

struct ListedInstance
{
    InstanceId id;
    ZoneId zone;
    /// Address for callers, "ip:port".
    std::string callerAddress;
    /// Address for other instances, "ip:port".
    std::string peerAddress;
    ListedState state = ListedState::Live;
};

/**
 * The platform's list of instances that are live or shutting down.
 * Thread safety: immutable, so it can be read from any thread.
 */
class InstanceList
{
public:
    InstanceList() = default;

    /// Keeps the entries in the given order. Precondition: no id occurs twice.
    explicit InstanceList(std::vector<ListedInstance> listed)
        : entries(std::move(listed))
    {
    }

    /// Parses YAML text with a map "instances" from id to {zone, caller-address, peer-address, state: live|leaving}.
    /// @p file is used in problems only. On failure, returns all problems, at least one.
    static ResultOr<InstanceList, std::vector<CatalogueProblem>> parse(const std::string &text,
                                                                       const std::string &file);

    /// All instances; a parsed list is sorted by id.
    const std::vector<ListedInstance> &instances() const;
    /// Returns nullptr if the list has no such instance. Precondition: the entries are sorted by id.
    const ListedInstance *find(const InstanceId &instance) const;

private:
    std::vector<ListedInstance> entries;
};

}
