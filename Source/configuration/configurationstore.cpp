#include "configuration/configurationstore.h"

#include <algorithm>
#include <deque>

namespace Lycheewall
{

namespace
{

/// Refused values that are remembered for each name. A refused edit is offered again by the platform and by peers until
/// the next edit, so a few are enough.
constexpr std::size_t maxRefused = 32;

}

/// Identity of an offered value. The text is part of it: a version whose text was damaged on its way through a peer is
/// still accepted when the platform sends it whole.
struct ConfigurationStore::Refused
{
    ValueVersion version;
    std::size_t length = 0;
    std::size_t hash = 0;

    bool operator==(const Refused &other) const
    {
        return this->version == other.version && this->length == other.length && this->hash == other.hash;
    }
};

struct ConfigurationStore::Slot
{
    std::optional<VersionedValue> value;
    Parsed parsed;
    std::string source;
    std::optional<TimePoint> acceptedAt;
    std::deque<Refused> refused;
    ValueVersion problemVersion;
    std::vector<CatalogueProblem> problems;

    ValueVersion version() const
    {
        return this->value ? this->value->version : ValueVersion();
    }
};

struct ConfigurationStore::Subscribers
{
    using Callback = std::function<void(ValueName)>;

    std::mutex mutex;
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, std::shared_ptr<const Callback>> callbacks;

    std::vector<std::shared_ptr<const Callback>> snapshot()
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::shared_ptr<const Callback>> result;
        for (const auto &[id, callback] : this->callbacks) {
            result.push_back(callback);
        }
        return result;
    }
};

class ConfigurationStore::Handle : public ConfigurationSubscription
{
public:
    Handle(std::weak_ptr<Subscribers> owner, std::uint64_t subscriberId)
        : subscribers(std::move(owner))
        , id(subscriberId)
    {
    }
    ~Handle() override
    {
        std::shared_ptr<const Subscribers::Callback> ended;
        if (const auto owner = this->subscribers.lock()) {
            const std::lock_guard lock(owner->mutex);
            const auto entry = owner->callbacks.find(this->id);
            ended = std::move(entry->second);
            owner->callbacks.erase(entry);
        }
    }
    Handle(const Handle &) = delete;
    Handle &operator=(const Handle &) = delete;

private:
    std::weak_ptr<Subscribers> subscribers;
    std::uint64_t id;
};

ConfigurationStore::ConfigurationStore(const Clock &timeSource, Counters &registry)
    : clock(timeSource)
    , counters(registry)
    , catalogueSlot(std::make_unique<Slot>())
    , instancesSlot(std::make_unique<Slot>())
    , subscribers(std::make_shared<Subscribers>())
{
}

ConfigurationStore::~ConfigurationStore() = default;

Result<void> ConfigurationStore::offer(ValueName name, const VersionedValue &value, const std::string &source)
{
    const Refused offered { value.version, value.text.size(), std::hash<std::string>()(value.text) };
    if (const std::error_code error = this->admit(name, offered)) {
        return failure(error);
    }
    // Parsing a value of 1 MB takes long, so it happens without the lock; install() compares the versions again.
    const std::string file
        = source + '/' + std::string(valueNameText(name)) + '@' + std::to_string(value.version.value());
    Parsed parsed;
    if (name == ValueName::Catalogue) {
        auto result = Catalogue::parse(value.text, file);
        if (!result) {
            return failure(this->refuse(name, offered, std::move(result).error()));
        }
        parsed.catalogue = std::make_shared<const Catalogue>(std::move(result).value());
    } else {
        auto result = InstanceList::parse(value.text, file);
        if (!result) {
            return failure(this->refuse(name, offered, std::move(result).error()));
        }
        parsed.instances = std::make_shared<const InstanceList>(std::move(result).value());
    }
    if (const std::error_code error = this->install(name, value, source, std::move(parsed))) {
        return failure(error);
    }
    for (const auto &callback : this->subscribers->snapshot()) {
        (*callback)(name);
    }
    return success();
}

/// Decides whether an offered value is worth parsing.
std::error_code ConfigurationStore::admit(ValueName name, const Refused &offered)
{
    const std::lock_guard lock(this->mutex);
    const Slot &present = this->slot(name);
    if (!(present.version() < offered.version)) {
        this->count("stale", name);
        return ConfigurationError::StaleVersion;
    }
    if (std::find(present.refused.begin(), present.refused.end(), offered) != present.refused.end()) {
        this->count("refused_again", name);
        return ConfigurationError::KnownInvalid;
    }
    return {};
}

std::error_code
ConfigurationStore::refuse(ValueName name, const Refused &offered, std::vector<CatalogueProblem> problems)
{
    const std::lock_guard lock(this->mutex);
    Slot &present = this->slot(name);
    present.refused.push_back(offered);
    if (present.refused.size() > maxRefused) {
        present.refused.pop_front();
    }
    if (present.version() < offered.version) {
        present.problemVersion = offered.version;
        present.problems = std::move(problems);
    }
    this->count("refused", name);
    return ConfigurationError::Invalid;
}

std::error_code
ConfigurationStore::install(ValueName name, const VersionedValue &value, const std::string &source, Parsed parsed)
{
    const std::lock_guard lock(this->mutex);
    Slot &present = this->slot(name);
    if (!(present.version() < value.version)) {
        this->count("stale", name);
        return ConfigurationError::StaleVersion;
    }
    present.value = value;
    present.parsed = std::move(parsed);
    present.source = source;
    present.acceptedAt = this->clock.now();
    if (present.problemVersion < value.version) {
        present.problems.clear();
    }
    this->count("accepted", name);
    return {};
}

void ConfigurationStore::count(std::string_view what, ValueName name)
{
    this->counters.counter("lycheewall_configuration_" + std::string(what) + "_total", valueNameText(name)).add();
}

ConfigurationStore::Slot &ConfigurationStore::slot(ValueName name) const
{
    return name == ValueName::Catalogue ? *this->catalogueSlot : *this->instancesSlot;
}

std::shared_ptr<const Catalogue> ConfigurationStore::catalogue() const
{
    const std::lock_guard lock(this->mutex);
    return this->catalogueSlot->parsed.catalogue;
}

std::shared_ptr<const InstanceList> ConfigurationStore::instances() const
{
    const std::lock_guard lock(this->mutex);
    return this->instancesSlot->parsed.instances;
}

ValueVersion ConfigurationStore::version(ValueName name) const
{
    const std::lock_guard lock(this->mutex);
    return this->slot(name).version();
}

std::optional<VersionedValue> ConfigurationStore::value(ValueName name) const
{
    const std::lock_guard lock(this->mutex);
    return this->slot(name).value;
}

std::string ConfigurationStore::source(ValueName name) const
{
    const std::lock_guard lock(this->mutex);
    return this->slot(name).source;
}

std::optional<TimePoint> ConfigurationStore::acceptedAt(ValueName name) const
{
    const std::lock_guard lock(this->mutex);
    return this->slot(name).acceptedAt;
}

std::vector<CatalogueProblem> ConfigurationStore::lastProblems(ValueName name) const
{
    const std::lock_guard lock(this->mutex);
    return this->slot(name).problems;
}

std::unique_ptr<ConfigurationSubscription> ConfigurationStore::subscribe(std::function<void(ValueName)> callback)
{
    const std::lock_guard lock(this->subscribers->mutex);
    const std::uint64_t id = ++this->subscribers->lastId;
    this->subscribers->callbacks.emplace(id, std::make_shared<const Subscribers::Callback>(std::move(callback)));
    return std::make_unique<Handle>(this->subscribers, id);
}

}
