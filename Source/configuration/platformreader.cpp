#include "configuration/platformreader.h"

namespace Lycheewall
{

std::string_view valueNameText(ValueName name)
{
    return name == ValueName::Catalogue ? "catalogue" : "instances";
}

}
