#pragma once

#include <system_error>

namespace Lycheewall
{

/// Kinds of validation errors in a catalogue, an instance list or a settings file.
enum class CatalogueError {
    Unreadable = 1,
    TooLarge,
    NotUtf8,
    ControlCharacter,
    NotYaml,
    /// The text uses anchors, aliases or tags, or holds several documents.
    YamlFeature,
    TooDeep,
    TooManyProblems,
    WrongType,
    UnknownKey,
    MissingKey,
    /// A key, id, name, address or key hash occurs more than once.
    Duplicate,
    BadName,
    BadAddress,
    OutOfRange,
    BadChoice,
    UnknownZone,
    UnknownPool,
    UnknownGroup,
    BadKeyHash,
    /// A list or map that needs at least one entry has none.
    Empty,
    /// Two keys contradict each other.
    Conflict,
};

/// Category "lycheewall.catalogue".
const std::error_category &catalogueCategory();
std::error_code make_error_code(CatalogueError error);

}

template<> struct std::is_error_code_enum<Lycheewall::CatalogueError> : std::true_type
{
};
