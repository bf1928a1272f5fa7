#include "catalogue/instancelist.h"

#include "catalogue/schemamap.h"

#include <algorithm>
#include <map>

namespace Lycheewall
{

namespace
{

/// Reads the entries of one instance list and checks that no address occurs twice.
class InstanceReader
{
public:
    explicit InstanceReader(ProblemList &list)
        : problems(list)
    {
    }

    ListedInstance read(const std::string &id, const YamlValue &value)
    {
        const SchemaMap map(
            value, describeItem("instance", id), { "zone", "caller-address", "peer-address", "state" }, this->problems);
        ListedInstance instance;
        instance.id = InstanceId(id);
        instance.zone = ZoneId(map.name("zone"));
        instance.callerAddress = this->readAddress(map, "caller-address");
        instance.peerAddress = this->readAddress(map, "peer-address");
        instance.state
            = map.choice("state", { "live", "leaving" }) == 1 ? ListedState::ShuttingDown : ListedState::Live;
        return instance;
    }

private:
    std::string readAddress(const SchemaMap &map, std::string_view key)
    {
        SocketAddress address = map.address(key);
        if (address.port == 0) {
            return {};
        }
        const auto [other, added] = this->addresses.emplace(std::pair(address.host, address.port), map.item());
        if (!added) {
            map.addProblem(CatalogueError::Duplicate,
                           map.lineOf(key),
                           std::string(key) + " is an address of " + other->second + " already");
        }
        return map.find(key)->text;
    }

    ProblemList &problems;
    std::map<std::pair<std::string, std::uint16_t>, std::string> addresses;
};

}

ResultOr<InstanceList, std::vector<CatalogueProblem>> InstanceList::parse(const std::string &text,
                                                                          const std::string &file)
{
    ProblemList problems(file);
    InstanceList list;
    const auto root = readYaml(text, problems);
    if (root) {
        const SchemaMap map(*root, "instance list", { "instances" }, problems);
        InstanceReader reader(problems);
        map.forEachEntry("instances", "instance", [&](const std::string &id, const YamlValue &value) {
            list.entries.push_back(reader.read(id, value));
        });
    }
    if (!problems.empty()) {
        return failure(problems.takeProblems());
    }
    std::sort(list.entries.begin(), list.entries.end(), [](const ListedInstance &left, const ListedInstance &right) {
        return left.id < right.id;
    });
    return success(std::move(list));
}

const std::vector<ListedInstance> &InstanceList::instances() const
{
    return this->entries;
}

const ListedInstance *InstanceList::find(const InstanceId &instance) const
{
    const auto found = std::lower_bound(
        this->entries.begin(), this->entries.end(), instance, [](const ListedInstance &entry, const InstanceId &id) {
            return entry.id < id;
        });
    return found == this->entries.end() || found->id != instance ? nullptr : &*found;
}

}
