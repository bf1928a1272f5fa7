#include "core/cborparser.h"

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace Lycheewall
{

namespace
{

enum Major : std::uint8_t { Unsigned, Negative, Bytes, Text, List, Map, Tag, Simple };

constexpr unsigned majorShift = 5;
constexpr std::uint8_t argumentMask = 0x1f;
constexpr std::uint8_t oneByteArgument = 24;
constexpr std::uint8_t eightByteArgument = 27;

class Scanner
{
public:
    Scanner(std::string_view text, std::size_t listLengthLimit)
        : frame(text)
        , maxListLength(listLengthLimit)
    {
    }

    std::error_code run()
    {
        std::error_code error = this->item();
        while (!error && this->depth > 0) {
            std::uint64_t &left = this->open.at(static_cast<std::size_t>(this->depth) - 1);
            if (left == 0) {
                --this->depth;
                continue;
            }
            --left;
            error = this->item();
        }
        if (!error && this->position != this->frame.size()) {
            return CborError::Malformed;
        }
        return error;
    }

private:
    std::error_code item()
    {
        if (this->position == this->frame.size()) {
            return CborError::Malformed;
        }
        const auto head = static_cast<std::uint8_t>(this->frame[this->position]);
        ++this->position;
        const std::uint8_t shortArgument = head & argumentMask;
        std::uint64_t argument = 0;
        if (!this->readArgument(shortArgument, argument)) {
            return CborError::Malformed;
        }
        switch (head >> majorShift) {
        case Bytes:
        case Text:
            return this->skip(argument);
        case List:
            return this->enter(argument, 1);
        case Map:
            return this->enter(argument, 2);
        case Tag:
            return CborError::Malformed;
        default:
            return {};
        }
    }

    bool readArgument(std::uint8_t shortArgument, std::uint64_t &argument)
    {
        if (shortArgument < oneByteArgument) {
            argument = shortArgument;
            return true;
        }
        if (shortArgument > eightByteArgument) {
            return false;
        }
        const std::size_t size = std::size_t(1) << (shortArgument - oneByteArgument);
        if (this->frame.size() - this->position < size) {
            return false;
        }
        for (std::size_t index = 0; index < size; ++index) {
            argument = (argument << 8U) | static_cast<std::uint8_t>(this->frame[this->position + index]);
        }
        this->position += size;
        return true;
    }

    std::error_code skip(std::uint64_t size)
    {
        if (this->frame.size() - this->position < size) {
            return CborError::Malformed;
        }
        this->position += size;
        return {};
    }

    std::error_code enter(std::uint64_t entries, std::uint64_t itemsPerEntry)
    {
        if (entries > this->maxListLength) {
            return CborError::ListTooLong;
        }
        if (this->depth == maxCborDepth) {
            return CborError::NestedTooDeeply;
        }
        this->open.at(static_cast<std::size_t>(this->depth)) = entries * itemsPerEntry;
        ++this->depth;
        return {};
    }

    std::string_view frame;
    std::size_t maxListLength;
    std::size_t position = 0;
    std::array<std::uint64_t, maxCborDepth> open {};
    int depth = 0;
};

class CborCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "lycheewall.cbor";
    }
    std::string message(int value) const override
    {
        switch (static_cast<CborError>(value)) {
        case CborError::Malformed:
            return "malformed";
        case CborError::NestedTooDeeply:
            return "nested-too-deeply";
        case CborError::ListTooLong:
            return "list-too-long";
        }
        return "unknown";
    }
};

}

const std::error_category &cborCategory()
{
    static const CborCategory category;
    return category;
}

std::error_code make_error_code(CborError error)
{
    return { static_cast<int>(error), cborCategory() };
}

Result<nlohmann::json> parseCbor(const std::string &bytes, std::size_t maxListLength)
{
    const std::error_code error = Scanner(bytes, maxListLength).run();
    if (error) {
        return failure(error);
    }
    nlohmann::json item = nlohmann::json::from_cbor(bytes, true, false);
    if (item.is_discarded()) {
        return failure(make_error_code(CborError::Malformed));
    }
    return success(std::move(item));
}

}
