#pragma once

#include "catalogue/catalogue.h"

namespace Lycheewall
{

/// State of an instance as the platform lists it. The list lags.
enum class ListedState { Live, Leaving };

struct ListedInstance
{
    InstanceId id;
    ZoneId zone;
    /// Where callers connect, "ip:port".
    std::string callerAddress;
    /// Where peers connect, "ip:port".
    std::string peerAddress;
    ListedState state = ListedState::Live;
};

/**
 * The platform's list of live and leaving instances. Immutable once made.
 * Thread safety: may be read from any thread.
 */
class InstanceList
{
public:
    InstanceList() = default;

    /// A list of these entries, in this order. Precondition: no id occurs twice.
    explicit InstanceList(std::vector<ListedInstance> listed)
        : entries(std::move(listed))
    {
    }

    /// Parses YAML: a map "instances" of id to {zone, caller-address, peer-address, state: live|leaving}.
    static ResultOr<InstanceList, std::vector<CatalogueProblem>> parse(const std::string &text,
                                                                       const std::string &file);

    /// All instances in the order of their ids.
    const std::vector<ListedInstance> &instances() const;
    const ListedInstance *find(const InstanceId &instance) const;

private:
    std::vector<ListedInstance> entries;
};

}
