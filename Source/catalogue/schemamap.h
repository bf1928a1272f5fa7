#pragma once

#include "catalogue/socketaddress.h"
#include "catalogue/yamlvalue.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Lycheewall
{

/**
 * Reads the entries of one YAML map and notes each that is wrong. After a problem, the methods return a harmless value,
 * so that the rest of the file is still checked; the file is refused afterwards.
 * Thread safety: none; lives inside one parser call.
 */
class SchemaMap
{
public:
    /// Notes a value that is not a map, keys that are not in @p known, and keys that are present twice.
    SchemaMap(const YamlValue &map, std::string itemName, std::vector<std::string_view> known, ProblemList &list);

    const std::string &item() const;
    int line() const;
    bool has(std::string_view key) const;
    /// Line of a key's value; the line of the map when the key is absent.
    int lineOf(std::string_view key) const;

    /// The value of a key that must be present; null with a noted problem otherwise. An explicit null is missing too.
    const YamlValue *require(std::string_view key) const;
    /// The value of a key, or null when it is absent or has no value.
    const YamlValue *find(std::string_view key) const;

    /// Free text of at most 200 bytes; required and not empty.
    std::string text(std::string_view key) const;
    /// A name (see isName); required.
    std::string name(std::string_view key) const;
    /// "ip:port"; required.
    SocketAddress address(std::string_view key) const;
    /// A whole number in [min, max]; required unless there is a default.
    std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max) const;
    std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max, std::int64_t absent) const;
    /// A whole number in [min, max] read from @p found, an entry of a list or map below this one.
    std::int64_t integerAt(std::string_view label, const YamlValue &found, std::int64_t min, std::int64_t max) const;
    /// A finite number in [min, max]; required.
    double number(std::string_view key, double min, double max) const;
    /// true or false; false when absent.
    bool boolean(std::string_view key) const;
    /// Index in @p choices; -1 when the key is absent, and 0 with a noted problem when its value is none of them.
    int choice(std::string_view key, const std::vector<std::string_view> &choices) const;
    /// The entries of a list; required, may be empty.
    const std::vector<YamlValue> &list(std::string_view key) const;
    /// Names of a list; each at most once. Entries that are no names are noted and left out.
    std::vector<std::string> names(std::string_view key, std::string_view kind) const;
    /// Calls @p visit with each id and value of a map of named entries. Bad names and duplicates are noted and left
    /// out.
    void entries(std::string_view key,
                 std::string_view kind,
                 const std::function<void(const std::string &, const YamlValue &)> &visit) const;

    void problem(CatalogueError error, int line, std::string expected) const;

private:
    const YamlValue *scalar(std::string_view key, std::string_view expected, const YamlValue *value) const;

    const YamlValue &value;
    std::string itemName;
    ProblemList &problems;
};

/// True for 1 to 64 letters, digits, '.', '_' and '-' that begin with a letter or digit. Names become parts of resource
/// ids, paths and headers, so they hold no slash, space or other character with a meaning there.
bool isName(std::string_view text);

/// What isName() demands, for messages.
constexpr std::string_view nameRule
    = "a name of 1 to 64 letters, digits, '.', '_' or '-' that begins with a letter or digit";

}
