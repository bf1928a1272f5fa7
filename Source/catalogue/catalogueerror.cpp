#include "catalogue/catalogueerror.h"

#include <string>

namespace Lycheewall
{

namespace
{

const char *errorText(CatalogueError error)
{
    switch (error) {
    case CatalogueError::Unreadable:
        return "file cannot be read";
    case CatalogueError::TooLarge:
        return "text too large";
    case CatalogueError::NotUtf8:
        return "not UTF-8";
    case CatalogueError::ControlCharacter:
        return "control character";
    case CatalogueError::NotYaml:
        return "not YAML";
    case CatalogueError::YamlFeature:
        return "YAML feature not supported";
    case CatalogueError::TooDeep:
        return "nested too deeply";
    case CatalogueError::TooManyProblems:
        return "too many problems";
    case CatalogueError::WrongType:
        return "wrong type";
    case CatalogueError::UnknownKey:
        return "unknown key";
    case CatalogueError::MissingKey:
        return "missing key";
    case CatalogueError::Duplicate:
        return "duplicate";
    case CatalogueError::BadName:
        return "bad name";
    case CatalogueError::BadAddress:
        return "bad address";
    case CatalogueError::OutOfRange:
        return "out of range";
    case CatalogueError::BadChoice:
        return "not one of the choices";
    case CatalogueError::UnknownZone:
        return "unknown zone";
    case CatalogueError::UnknownPool:
        return "unknown pool";
    case CatalogueError::UnknownGroup:
        return "unknown group";
    case CatalogueError::BadKeyHash:
        return "bad key hash";
    case CatalogueError::Empty:
        return "empty";
    case CatalogueError::Conflict:
        return "conflict";
    }
    return "unknown error";
}

class CatalogueCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "lycheewall.catalogue";
    }
    std::string message(int value) const override
    {
        return errorText(static_cast<CatalogueError>(value));
    }
};

}

const std::error_category &catalogueCategory()
{
    static const CatalogueCategory category;
    return category;
}

std::error_code make_error_code(CatalogueError error)
{
    return { static_cast<int>(error), catalogueCategory() };
}

}
