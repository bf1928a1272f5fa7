#include "core/counters.h"

#include <sstream>

namespace Lycheewall
{

Counter &Counters::counter(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    auto &entry = this->entries[name];
    if (!entry) {
        entry = std::make_unique<Counter>();
    }
    return *entry;
}

Counter &Counters::counter(const std::string &name, std::string_view reason)
{
    return this->counter(name + "{reason=\"" + std::string(reason) + "\"}");
}

void Counters::countRefusal(Refusal refusal)
{
    this->counter("lycheewall_refusals_total", refusalCode(refusal)).add();
}

std::uint64_t Counters::value(const std::string &fullName) const
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->entries.find(fullName);
    return entry == this->entries.end() ? 0 : entry->second->value();
}

std::string Counters::exposition() const
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream text;
    std::string family;
    for (const auto &[name, counter] : this->entries) {
        const std::string current = name.substr(0, name.find('{'));
        if (current != family) {
            family = current;
            text << "# TYPE " << family << " counter\n";
        }
        text << name << ' ' << counter->value() << '\n';
    }
    return text.str();
}

std::string Counters::summary() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &[name, counter] : this->entries) {
        if (counter->value() > 0) {
            text += (text.empty() ? "" : " ") + name + '=' + std::to_string(counter->value());
        }
    }
    return text;
}

}
