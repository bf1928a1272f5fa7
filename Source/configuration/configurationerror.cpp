#include "configuration/configurationerror.h"

#include <string>

namespace Lycheewall
{

namespace
{

class ConfigurationCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "lycheewall.configuration";
    }
    std::string message(int value) const override
    {
        switch (static_cast<ConfigurationError>(value)) {
        case ConfigurationError::StaleVersion:
            return "the version is not above the one in force";
        case ConfigurationError::Invalid:
            return "the value has problems";
        case ConfigurationError::KnownInvalid:
            return "the same value was refused before";
        }
        return "unknown error";
    }
};

}

const std::error_category &configurationCategory()
{
    static const ConfigurationCategory category;
    return category;
}

std::error_code make_error_code(ConfigurationError error)
{
    return { static_cast<int>(error), configurationCategory() };
}

}
