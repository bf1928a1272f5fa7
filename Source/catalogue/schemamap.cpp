#include "catalogue/schemamap.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace Lycheewall
{

namespace
{

constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxTextBytes = 200;

bool isAlphanumeric(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9');
}

std::string numberText(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameBytes || !isAlphanumeric(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char byte) {
        return isAlphanumeric(byte) || byte == '.' || byte == '_' || byte == '-';
    });
}

SchemaMap::SchemaMap(const YamlValue &map, std::string name, std::vector<std::string_view> known, ProblemList &list)
    : value(map)
    , itemName(std::move(name))
    , problems(list)
{
    if (map.kind != YamlValue::Kind::Map) {
        this->addProblem(CatalogueError::WrongType, map.line, "must be a map, got " + map.description());
        return;
    }
    std::set<std::string_view> seen;
    for (const YamlValue &key : map.keys) {
        if (list.isFull()) {
            return;
        }
        if (key.kind != YamlValue::Kind::Scalar) {
            this->addProblem(CatalogueError::WrongType, key.line, "a key must be a word, got " + key.description());
        } else if (std::find(known.begin(), known.end(), key.text) == known.end()) {
            this->addProblem(CatalogueError::UnknownKey,
                             key.line,
                             "unknown key " + quoted(key.text) + "; the nearest known key is "
                                 + quoted(closestMatch(key.text, known)));
        } else if (!seen.insert(key.text).second) {
            this->addProblem(CatalogueError::Duplicate, key.line, "key " + quoted(key.text) + " is present twice");
        }
    }
}

const std::string &SchemaMap::item() const
{
    return this->itemName;
}

int SchemaMap::line() const
{
    return this->value.line;
}

void SchemaMap::addProblem(CatalogueError error, int line, std::string expected) const
{
    this->problems.add(error, line, this->itemName, std::move(expected));
}

bool SchemaMap::has(std::string_view key) const
{
    return this->find(key) != nullptr;
}

int SchemaMap::lineOf(std::string_view key) const
{
    const YamlValue *found = this->find(key);
    return found == nullptr ? this->line() : found->line;
}

const YamlValue *SchemaMap::find(std::string_view key) const
{
    for (std::size_t index = 0; index < this->value.keys.size(); ++index) {
        const bool wanted
            = this->value.keys[index].kind == YamlValue::Kind::Scalar && this->value.keys[index].text == key;
        if (wanted && this->value.items[index].kind != YamlValue::Kind::Null) {
            return &this->value.items[index];
        }
    }
    return nullptr;
}

const YamlValue *SchemaMap::require(std::string_view key) const
{
    const YamlValue *found = this->find(key);
    if (found == nullptr && this->value.kind == YamlValue::Kind::Map) {
        this->addProblem(
            CatalogueError::MissingKey, this->line(), "key " + quoted(key) + " is missing or has no value");
    }
    return found;
}

const YamlValue *SchemaMap::expectScalar(std::string_view key, std::string_view expected, const YamlValue *found) const
{
    if (found != nullptr && found->kind != YamlValue::Kind::Scalar) {
        this->addProblem(CatalogueError::WrongType,
                         found->line,
                         std::string(key) + " must be " + std::string(expected) + ", got " + found->description());
        return nullptr;
    }
    return found;
}

std::string SchemaMap::text(std::string_view key) const
{
    const YamlValue *found = this->expectScalar(key, "text", this->require(key));
    if (found == nullptr) {
        return {};
    }
    if (found->text.empty() || found->text.size() > maxTextBytes) {
        this->addProblem(CatalogueError::OutOfRange,
                         found->line,
                         std::string(key) + " must have 1 to " + std::to_string(maxTextBytes) + " bytes, got "
                             + std::to_string(found->text.size()));
    }
    return found->text;
}

std::string SchemaMap::name(std::string_view key) const
{
    const YamlValue *found = this->expectScalar(key, nameRule, this->require(key));
    if (found == nullptr) {
        return {};
    }
    if (!isName(found->text)) {
        this->addProblem(CatalogueError::BadName,
                         found->line,
                         std::string(key) + " must be " + std::string(nameRule) + ", got " + found->description());
        return {};
    }
    return found->text;
}

SocketAddress SchemaMap::address(std::string_view key) const
{
    const YamlValue *found = this->expectScalar(key, "\"ip:port\"", this->require(key));
    if (found == nullptr) {
        return {};
    }
    auto address = SocketAddress::parse(found->text);
    if (!address) {
        this->addProblem(CatalogueError::BadAddress,
                         found->line,
                         std::string(key) + " must be \"ip:port\" with a port from 1 to 65535, got "
                             + found->description());
        return {};
    }
    return std::move(*address);
}

std::int64_t SchemaMap::integer(std::string_view key, std::int64_t min, std::int64_t max) const
{
    const YamlValue *found = this->require(key);
    return found == nullptr ? min : this->integerAt(key, *found, min, max);
}

std::int64_t
SchemaMap::integer(std::string_view key, std::int64_t min, std::int64_t max, std::int64_t defaultValue) const
{
    const YamlValue *found = this->find(key);
    return found == nullptr ? defaultValue : this->integerAt(key, *found, min, max);
}

std::int64_t
SchemaMap::integerAt(std::string_view key, const YamlValue &entry, std::int64_t min, std::int64_t max) const
{
    const YamlValue *found = this->expectScalar(key, "a whole number", &entry);
    if (found == nullptr) {
        return min;
    }
    std::int64_t number = 0;
    const char *end = found->text.data() + found->text.size();
    const auto [stop, error] = std::from_chars(found->text.data(), end, number);
    if (stop != end || error == std::errc::invalid_argument) {
        this->addProblem(CatalogueError::WrongType,
                         found->line,
                         std::string(key) + " must be a whole number, got " + found->description());
        return min;
    }
    const bool overflow = error == std::errc::result_out_of_range;
    if (overflow || number < min || number > max) {
        const bool tooLow = overflow ? found->text.front() == '-' : number < min;
        const std::string bound
            = tooLow ? "must be at least " + std::to_string(min) : "must be at most " + std::to_string(max);
        this->addProblem(CatalogueError::OutOfRange,
                         found->line,
                         std::string(key) + ' ' + bound + ", got " + found->text.substr(0, maxNameBytes));
        return min;
    }
    return number;
}

double SchemaMap::number(std::string_view key, double min, double max) const
{
    const YamlValue *found = this->expectScalar(key, "a number", this->require(key));
    if (found == nullptr) {
        return min;
    }
    double number = 0;
    const char *end = found->text.data() + found->text.size();
    const auto [stop, error] = std::from_chars(found->text.data(), end, number);
    if (stop != end || error == std::errc::invalid_argument || std::isnan(number)) {
        this->addProblem(CatalogueError::WrongType,
                         found->line,
                         std::string(key) + " must be a number, got " + found->description());
        return min;
    }
    if (error == std::errc::result_out_of_range || number < min || number > max) {
        const bool tooLow = error == std::errc() ? number < min : found->text.front() == '-';
        const std::string bound = tooLow ? "must be at least " + numberText(min) : "must be at most " + numberText(max);
        this->addProblem(CatalogueError::OutOfRange,
                         found->line,
                         std::string(key) + ' ' + bound + ", got " + found->text.substr(0, maxNameBytes));
        return min;
    }
    return number;
}

bool SchemaMap::boolean(std::string_view key) const
{
    return this->choice(key, { "false", "true" }) == 1;
}

int SchemaMap::choice(std::string_view key, const std::vector<std::string_view> &choices) const
{
    const YamlValue *found = this->find(key);
    if (found == nullptr) {
        return -1;
    }
    const auto match = std::find(choices.begin(), choices.end(), found->text);
    if (found->kind == YamlValue::Kind::Scalar && match != choices.end()) {
        return static_cast<int>(match - choices.begin());
    }
    std::string all;
    for (const std::string_view choice : choices) {
        all += (all.empty() ? "" : ", ") + std::string(choice);
    }
    this->addProblem(CatalogueError::BadChoice,
                     found->line,
                     std::string(key) + " must be one of " + all + ", got " + found->description());
    return 0;
}

const std::vector<YamlValue> &SchemaMap::list(std::string_view key) const
{
    static const std::vector<YamlValue> noItems;
    const YamlValue *found = this->require(key);
    if (found == nullptr) {
        return noItems;
    }
    if (found->kind != YamlValue::Kind::Sequence) {
        this->addProblem(
            CatalogueError::WrongType, found->line, std::string(key) + " must be a list, got " + found->description());
        return noItems;
    }
    return found->items;
}

std::vector<std::string> SchemaMap::names(std::string_view key, std::string_view kind) const
{
    std::vector<std::string> result;
    std::set<std::string_view> seen;
    for (const YamlValue &entry : this->list(key)) {
        if (entry.kind != YamlValue::Kind::Scalar || !isName(entry.text)) {
            this->addProblem(CatalogueError::BadName,
                             entry.line,
                             "a " + std::string(kind) + " must be " + std::string(nameRule) + ", got "
                                 + entry.description());
        } else if (!seen.insert(entry.text).second) {
            this->addProblem(
                CatalogueError::Duplicate, entry.line, describeItem(kind, entry.text) + " is listed twice");
        } else {
            result.push_back(entry.text);
        }
    }
    return result;
}

void SchemaMap::forEachEntry(std::string_view key,
                             std::string_view kind,
                             const std::function<void(const std::string &, const YamlValue &)> &visit) const
{
    const YamlValue *found = this->require(key);
    if (found == nullptr) {
        return;
    }
    if (found->kind != YamlValue::Kind::Map) {
        this->addProblem(
            CatalogueError::WrongType, found->line, std::string(key) + " must be a map, got " + found->description());
        return;
    }
    std::set<std::string_view> seen;
    for (std::size_t index = 0; index < found->keys.size(); ++index) {
        const YamlValue &id = found->keys[index];
        if (id.kind != YamlValue::Kind::Scalar || !isName(id.text)) {
            this->addProblem(CatalogueError::BadName,
                             id.line,
                             "the id of a " + std::string(kind) + " must be " + std::string(nameRule) + ", got "
                                 + id.description());
        } else if (!seen.insert(id.text).second) {
            this->addProblem(CatalogueError::Duplicate, id.line, describeItem(kind, id.text) + " is present twice");
        } else {
            visit(id.text, found->items[index]);
        }
    }
}

}
