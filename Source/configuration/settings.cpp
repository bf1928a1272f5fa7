#include "daemon/settings.h"

#include "catalogue/schemamap.h"
#include "configuration/settingstable.h"

#include <array>
#include <fstream>
#include <sstream>

namespace Lycheewall
{

namespace
{

/// Reads one key of the file, or the default, into its member.
class SettingReader
{
public:
    SettingReader(Settings &result, const SchemaMap &file, const SettingRow &description)
        : settings(result)
        , map(file)
        , row(description)
    {
    }

    void operator()(InstanceId Settings::*member) const
    {
        this->settings.*member = InstanceId(this->map.name(this->row.key));
    }
    void operator()(ZoneId Settings::*member) const
    {
        this->settings.*member = ZoneId(this->map.name(this->row.key));
    }
    void operator()(std::string Settings::*member) const
    {
        if (this->row.type == SettingType::Name) {
            this->settings.*member = this->map.name(this->row.key);
        } else if (this->map.address(this->row.key).port != 0) {
            this->settings.*member = this->map.find(this->row.key)->text;
        }
    }
    void operator()(std::vector<std::string> Settings::*member) const
    {
        const YamlValue *found = this->map.find(this->row.key);
        for (const YamlValue &entry : this->map.list(this->row.key)) {
            if (entry.kind != YamlValue::Kind::Scalar || !SocketAddress::parse(entry.text)) {
                this->map.addProblem(CatalogueError::BadAddress,
                                     entry.line,
                                     "entries of " + std::string(this->row.key)
                                         + " must be \"ip:port\" with a port from 1 to 65535, got "
                                         + entry.description());
            }
            (this->settings.*member).push_back(entry.text);
        }
        const auto size = static_cast<std::int64_t>((this->settings.*member).size());
        const bool isList = found != nullptr && found->kind == YamlValue::Kind::Sequence;
        if (isList && (size < this->row.min || size > this->row.max)) {
            this->map.addProblem(CatalogueError::OutOfRange,
                                 found->line,
                                 std::string(this->row.key) + " must have " + std::to_string(this->row.min) + " to "
                                     + std::to_string(this->row.max) + " entries, got " + std::to_string(size));
        }
    }
    void operator()(int Settings::*member) const
    {
        this->settings.*member = static_cast<int>(this->integer());
    }
    void operator()(std::size_t Settings::*member) const
    {
        this->settings.*member = static_cast<std::size_t>(this->integer());
    }
    void operator()(Milliseconds Settings::*member) const
    {
        this->settings.*member = Milliseconds(this->integer());
    }
    void operator()(LogLevel Settings::*member) const
    {
        this->settings.*member = static_cast<LogLevel>(this->map.choice(this->row.key, logLevelTexts()));
    }

private:
    std::int64_t integer() const
    {
        return this->map.integer(this->row.key, this->row.min, this->row.max);
    }

    Settings &settings;
    const SchemaMap &map;
    const SettingRow &row;
};

std::vector<std::string_view> knownKeys()
{
    std::vector<std::string_view> keys;
    for (const SettingRow &row : settingsTable()) {
        keys.push_back(row.key);
    }
    return keys;
}

/// A map that holds the default of each optional key, so that defaults and file pass through the same checks.
YamlValue defaultValues()
{
    YamlValue map;
    map.kind = YamlValue::Kind::Map;
    for (const SettingRow &row : settingsTable()) {
        if (row.absent.empty()) {
            continue;
        }
        YamlValue scalar;
        scalar.kind = YamlValue::Kind::Scalar;
        scalar.text = row.key;
        map.keys.push_back(scalar);
        scalar.text = row.absent;
        map.items.push_back(std::move(scalar));
    }
    return map;
}

void checkOrder(
    const SchemaMap &map, std::string_view key, Milliseconds value, Milliseconds most, std::string_view rule)
{
    if (value > most) {
        map.addProblem(CatalogueError::Conflict,
                       map.lineOf(key),
                       std::string(key) + " must be " + std::string(rule) + ", which is " + std::to_string(most.count())
                           + ", got " + std::to_string(value.count()));
    }
}

/// Rules between keys. Called only when each key is right by itself, so that one fault gives one problem.
void checkTogether(const SchemaMap &map, const Settings &settings)
{
    checkOrder(map, "lease-renew-ms", settings.leaseRenew, settings.lease / 2, "at most half of lease-ms");
    checkOrder(map, "gossip-ms", settings.gossip, settings.freshness / 2, "at most half of freshness-ms");
    checkOrder(map, "default-deadline-ms", settings.defaultDeadline, settings.maxDeadline, "at most max-deadline-ms");
    if (settings.peerAddress == settings.callerAddress) {
        map.addProblem(
            CatalogueError::Conflict, map.lineOf("peer-address"), "peer-address must differ from caller-address");
    }
    if (settings.operatorAddress == settings.callerAddress || settings.operatorAddress == settings.peerAddress) {
        map.addProblem(CatalogueError::Conflict,
                       map.lineOf("operator-address"),
                       "operator-address must differ from caller-address and peer-address, got "
                           + quoted(settings.operatorAddress));
    }
}

std::string rangeText(const SettingRow &row)
{
    switch (row.type) {
    case SettingType::Name:
        return "name";
    case SettingType::Address:
        return "`ip:port`";
    case SettingType::AddressList:
        return "list of " + std::to_string(row.min) + " to " + std::to_string(row.max) + " `ip:port`";
    case SettingType::Integer:
        return std::to_string(row.min) + " to " + std::to_string(row.max)
            + (row.unit.empty() ? "" : " " + std::string(row.unit));
    case SettingType::Choice:
        break;
    }
    std::string all;
    for (const std::string_view text : logLevelTexts()) {
        all += (all.empty() ? "" : ", ") + std::string(text);
    }
    return all;
}

}

Settings::Settings()
{
    ProblemList problems("defaults");
    const YamlValue values = defaultValues();
    const SchemaMap map(values, "defaults", knownKeys(), problems);
    for (const SettingRow &row : settingsTable()) {
        if (!row.absent.empty()) {
            std::visit(SettingReader(*this, map, row), row.member);
        }
    }
}

ResultOr<Settings, std::vector<CatalogueProblem>> Settings::load(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    std::array<char, 4096> block {};
    std::size_t size = 0;
    // One block beyond the limit is enough for parse() to refuse the file; a device may have no end.
    while (file && size <= maxYamlBytes) {
        file.read(block.data(), block.size());
        text.write(block.data(), file.gcount());
        size += static_cast<std::size_t>(file.gcount());
    }
    if (size <= maxYamlBytes && !file.eof()) {
        ProblemList problems(path);
        problems.add(CatalogueError::Unreadable, 0, "", "the file cannot be read");
        return failure(problems.takeProblems());
    }
    return parse(text.str(), path);
}

ResultOr<Settings, std::vector<CatalogueProblem>> Settings::parse(const std::string &text, const std::string &file)
{
    ProblemList problems(file);
    Settings settings;
    if (const auto root = readYaml(text, problems)) {
        const SchemaMap map(*root, "settings", knownKeys(), problems);
        for (const SettingRow &row : settingsTable()) {
            if (root->kind == YamlValue::Kind::Map && (row.absent.empty() || map.has(row.key))) {
                std::visit(SettingReader(settings, map, row), row.member);
            }
        }
        if (problems.empty()) {
            checkTogether(map, settings);
        }
    }
    if (!problems.empty()) {
        return failure(problems.takeProblems());
    }
    return success(std::move(settings));
}

std::string Settings::help()
{
    std::ostringstream page;
    page << "# Settings of lycheewalld\n\n"
            "Each daemon reads one YAML file at its start. An unknown key or a value out of range refuses the file as "
            "a\n"
            "whole; each message names file, line and what was expected. A name has 1 to 64 letters, digits, `.`, `_` "
            "or\n"
            "`-` and begins with a letter or digit. Addresses are IPv4 `ip:port` or `[ipv6]:port`; host names are not\n"
            "resolved. This page is generated from the table that the parser reads.\n\n"
            "| key | value | default | meaning |\n"
            "|---|---|---|---|\n";
    for (const SettingRow &row : settingsTable()) {
        page << "| `" << row.key << "` | " << rangeText(row) << " | "
             << (row.absent.empty() ? std::string("required") : '`' + std::string(row.absent) + '`') << " | "
             << row.help << " |\n";
    }
    return page.str();
}

}
