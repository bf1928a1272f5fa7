#pragma once

#include <system_error>

namespace Lycheewall
{

/// What is wrong with an item of a catalogue, an instance list or a settings file.
enum class CatalogueError {
    /// The file cannot be read.
    Unreadable = 1,
    TooLarge,
    NotUtf8,
    ControlCharacter,
    NotYaml,
    /// Anchors, aliases, tags or several documents.
    YamlFeature,
    TooDeep,
    TooManyProblems,
    WrongType,
    UnknownKey,
    MissingKey,
    /// A key or id is present twice.
    Duplicate,
    BadName,
    BadAddress,
    OutOfRange,
    BadChoice,
    UnknownZone,
    UnknownPool,
    UnknownGroup,
    BadKeyHash,
    /// A list or map that needs an entry has none.
    Empty,
    /// Two keys that contradict each other.
    Conflict,
};

/// Category "lycheewall.catalogue".
const std::error_category &catalogueCategory();
std::error_code make_error_code(CatalogueError error);

}

template<> struct std::is_error_code_enum<Lycheewall::CatalogueError> : std::true_type
{
};
