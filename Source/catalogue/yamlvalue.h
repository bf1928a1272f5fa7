#pragma once

#include "catalogue/problemlist.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lycheewall
{

/// One value of a YAML file with its line. Unlike YAML::Node, it is a plain tree that keeps duplicate keys.
struct YamlValue
{
    enum class Kind { Null, Scalar, Sequence, Map };

    Kind kind = Kind::Null;
    int line = 0;
    /// Text of a scalar.
    std::string text;
    /// Entries of a sequence, or the values of a map in file order.
    std::vector<YamlValue> items;
    /// Keys of a map, in step with items.
    std::vector<YamlValue> keys;

    /// "nothing", "a list", "a map" or the quoted text, for messages.
    std::string description() const;
};

/**
 * Reads the only document of @p text. Whatever the text holds ends in a value or in problems: size, encoding, control
 * characters and depth are limited, and anchors, aliases and tags are refused, so no text expands to more than its
 * length.
 */
std::optional<YamlValue> readYaml(const std::string &text, ProblemList &problems);

/// Longest text accepted, in bytes; the platform's bound for a value.
constexpr std::size_t maxYamlBytes = 1024UL * 1024UL;

}
