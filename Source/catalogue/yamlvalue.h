#pragma once

#include "catalogue/problemlist.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lycheewall
{

/// One value of a YAML file and its line. Unlike YAML::Node, the tree keeps duplicate keys, so that they can be
/// reported.
struct YamlValue
{
    enum class Kind { Null, Scalar, Sequence, Map };

    Kind kind = Kind::Null;
    int line = 0;
    /// Text of a scalar.
    std::string text;
    /// Entries of a sequence, or the values of a map in file order.
    std::vector<YamlValue> items;
    /// Keys of a map; keys[i] belongs to items[i].
    std::vector<YamlValue> keys;

    /// Describes the value in messages: "nothing", "a list", "a map" or the quoted text.
    std::string description() const;
};

/**
 * Parses @p text, which must not hold more than one document; the value of an empty text is null. Returns std::nullopt
 * and adds a problem if the text is rejected. Safe for untrusted text: size and depth are limited, invalid UTF-8 and
 * control characters are rejected, and so are anchors, aliases and tags, so that no text expands to more than its
 * length.
 */
std::optional<YamlValue> readYaml(const std::string &text, ProblemList &problems);

/// Maximum size of a text in bytes. It equals the platform's limit for a value.
constexpr std::size_t maxYamlBytes = 1024UL * 1024UL;

}
