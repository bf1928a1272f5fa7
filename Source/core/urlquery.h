#pragma once

#include "core/result.h"

#include <map>
#include <string>
#include <string_view>

namespace Lycheewall
{

/// Percent-encodes the characters that a query value must not contain. Thread safety: any thread.
std::string percentEncode(std::string_view text);

/// Why a query string could not be decoded.
struct UrlQueryProblem
{
    /// Name of the parameter; never its value, which may be confidential.
    std::string parameter;
    std::string problem;
};

/// The decoded parameters of the query string of @p target by name; empty without a query string. Fails on a parameter
/// that has no value, is given twice or is badly encoded. Thread safety: any thread.
ResultOr<std::map<std::string, std::string>, UrlQueryProblem> decodeUrlQuery(std::string_view target);

}
