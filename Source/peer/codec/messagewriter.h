#pragma once

#include "peer/codec/messagefields.h"

#include <nlohmann/json.hpp>
#include <type_traits>

namespace Lycheewall
{

/**
 * Writes the fields of one message into a map.
 * Thread safety: none.
 */
template<typename Message> class MessageWriter
{
public:
    explicit MessageWriter(const Message &source)
        : message(source)
    {
        MessageFields<Message>::visit(*this);
    }

    template<typename Field>
    void operator()(const char *key, Field Message::*member, Presence /*presence*/ = Presence::Required)
    {
        this->map.emplace(key, this->value(this->message.*member));
    }

    nlohmann::json take()
    {
        return std::move(this->map);
    }
    std::size_t longestList() const
    {
        return this->longest;
    }

private:
    template<typename Field> nlohmann::json value(const Field &field)
    {
        if constexpr (std::is_same_v<Field, Refusal>) {
            return std::string(refusalCode(field));
        } else if constexpr (std::is_enum_v<Field>) {
            return static_cast<unsigned>(field);
        } else if constexpr (std::is_same_v<Field, LeaseRefusal>) {
            return MessageWriter<LeaseRefusal>(field).take();
        } else if constexpr (std::is_arithmetic_v<Field> || std::is_same_v<Field, std::string>) {
            return field;
        } else {
            return field.value();
        }
    }

    template<typename Entry> nlohmann::json value(const std::vector<Entry> &entries)
    {
        this->longest = std::max(this->longest, entries.size());
        nlohmann::json list = nlohmann::json::array();
        for (const Entry &entry : entries) {
            list.push_back(this->value(entry));
        }
        return list;
    }

    const Message &message;
    nlohmann::json map = nlohmann::json::object();
    std::size_t longest = 0;
};

}
