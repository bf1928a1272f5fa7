#include "core/urlquery.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace Lycheewall
{

namespace
{

constexpr int hexBase = 16;
constexpr std::size_t encodedSize = 2;

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string result;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] != '%') {
            result.push_back(text[position]);
            continue;
        }
        const std::string_view digits = text.substr(position + 1, encodedSize);
        unsigned char byte = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, hexBase);
        if (error != std::errc() || end != digits.data() + encodedSize) {
            return std::nullopt;
        }
        result.push_back(static_cast<char>(byte));
        position += encodedSize;
    }
    return result;
}

}

std::string percentEncode(std::string_view text)
{
    static const char *digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '/' || character == '-' || character == '_' || character == '.') {
            result.push_back(character);
        } else {
            result.push_back('%');
            result.push_back(digits[byte / hexBase]);
            result.push_back(digits[byte % hexBase]);
        }
    }
    return result;
}

ResultOr<std::map<std::string, std::string>, UrlQueryProblem> decodeUrlQuery(std::string_view target)
{
    std::map<std::string, std::string> parameters;
    const std::size_t question = target.find('?');
    std::string_view rest = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        const std::string name(pair.substr(0, equals));
        if (equals == std::string_view::npos) {
            return failure(UrlQueryProblem { name, "has no value" });
        }
        const auto value = percentDecode(pair.substr(equals + 1));
        if (!value) {
            return failure(UrlQueryProblem { name, "is badly encoded" });
        }
        if (!parameters.emplace(name, *value).second) {
            return failure(UrlQueryProblem { name, "is given twice" });
        }
    }
    return success(std::move(parameters));
}

}
