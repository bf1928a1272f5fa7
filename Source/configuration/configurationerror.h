#pragma once

#include <system_error>

namespace Lycheewall
{

/// Why the store did not accept an offered value.
enum class ConfigurationError {
    /// The version is not above the one in force.
    StaleVersion = 1,
    /// The value has problems; see ConfigurationStore::lastProblems().
    Invalid,
    /// The same version with the same text was refused before and was not parsed again.
    KnownInvalid,
};

/// Category "lycheewall.configuration".
const std::error_category &configurationCategory();
std::error_code make_error_code(ConfigurationError error);

}

template<> struct std::is_error_code_enum<Lycheewall::ConfigurationError> : std::true_type
{
};
