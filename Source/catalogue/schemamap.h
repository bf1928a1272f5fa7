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
 * Validates the entries of one YAML map and adds each problem to a problem list. After a problem, the methods return a
 * default value, so that the rest of the file is validated too; the parser rejects the file afterwards.
 * Thread safety: none; it is used within one call of a parser.
 */
class SchemaMap
{
public:
    /// Reports a value that is not a map, keys that are not in @p known, and duplicate keys. @p map and @p list must
    /// outlive this object.
    SchemaMap(const YamlValue &map, std::string itemName, std::vector<std::string_view> known, ProblemList &list);

    const std::string &item() const;
    int line() const;
    bool has(std::string_view key) const;
    /// Line of the value of @p key, or of the map if the key is absent.
    int lineOf(std::string_view key) const;

    /// Returns the value of a required key. If it is absent or an explicit null, reports a problem and returns nullptr.
    const YamlValue *require(std::string_view key) const;
    /// Returns the value of a key, or nullptr if the key is absent or its value is null.
    const YamlValue *find(std::string_view key) const;

    /// Required text of 1 to 200 bytes.
    std::string text(std::string_view key) const;
    /// Required name, see isName().
    std::string name(std::string_view key) const;
    /// Required address, "ip:port".
    SocketAddress address(std::string_view key) const;
    /// Integer in [min, max]; required unless @p defaultValue is given.
    std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max) const;
    std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max, std::int64_t defaultValue) const;
    /// Integer in [min, max] from @p found, an entry of a list or map nested in this one. Problems name it @p label.
    std::int64_t integerAt(std::string_view label, const YamlValue &found, std::int64_t min, std::int64_t max) const;
    /// Required finite number in [min, max].
    double number(std::string_view key, double min, double max) const;
    /// "true" or "false"; false if the key is absent.
    bool boolean(std::string_view key) const;
    /// Returns the index of the value in @p choices, or -1 if the key is absent. For any other value, reports a problem
    /// and returns 0.
    int choice(std::string_view key, const std::vector<std::string_view> &choices) const;
    /// Entries of a required list, which may be empty.
    const std::vector<YamlValue> &list(std::string_view key) const;
    /// Names in a required list. Entries that are not names and duplicates are reported and skipped. @p kind says in
    /// messages what the names stand for.
    std::vector<std::string> names(std::string_view key, std::string_view kind) const;
    /// Calls @p visit with the id and the value of each entry of a required map. Entries whose id is not a name, and
    /// duplicates, are reported and skipped. @p kind says in messages what the entries are.
    void forEachEntry(std::string_view key,
                      std::string_view kind,
                      const std::function<void(const std::string &, const YamlValue &)> &visit) const;

    void addProblem(CatalogueError error, int line, std::string expected) const;

private:
    const YamlValue *expectScalar(std::string_view key, std::string_view expected, const YamlValue *value) const;

    const YamlValue &value;
    std::string itemName;
    ProblemList &problems;
};

/// True for 1 to 64 letters, digits, '.', '_' and '-', the first of which is a letter or digit. Names become parts of
/// resource ids, paths and headers, so they must not contain slashes, spaces or other characters that are special
/// there.
bool isName(std::string_view text);

/// The rule of isName(), as text for messages.
constexpr std::string_view nameRule
    = "a name of 1 to 64 letters, digits, '.', '_' or '-' that begins with a letter or digit";

}
