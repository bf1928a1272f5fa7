#pragma once

#include "peer/codec/messagefields.h"
#include "peer/codec/peercodecerror.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace Lycheewall
{

/**
 * Reads the fields of one message from a map. Strings are moved out of the map.
 * Thread safety: none.
 */
template<typename Message> class MessageReader
{
public:
    MessageReader(nlohmann::json &source, Message &target)
        : map(source)
        , message(target)
    {
        MessageFields<Message>::visit(*this);
    }

    template<typename Field>
    void operator()(const char *key, Field Message::*member, Presence presence = Presence::Required)
    {
        if (this->problem) {
            return;
        }
        const auto entry = this->map.find(key);
        if (entry != this->map.end()) {
            this->read(*entry, this->message.*member);
        } else if (presence == Presence::Required) {
            this->problem = PeerCodecError::MissingField;
        }
    }

    /// The first problem met; no error when all fields were read.
    std::error_code error() const
    {
        return this->problem;
    }

private:
    void illTyped()
    {
        this->problem = PeerCodecError::IllTypedField;
    }

    void read(nlohmann::json &value, std::string &field)
    {
        if (!value.is_string()) {
            return this->illTyped();
        }
        field = std::move(value.get_ref<std::string &>());
    }

    void read(nlohmann::json &value, bool &field)
    {
        if (!value.is_boolean()) {
            return this->illTyped();
        }
        field = value.get<bool>();
    }

    void read(nlohmann::json &value, std::uint64_t &field)
    {
        if (!value.is_number_unsigned()) {
            return this->illTyped();
        }
        field = value.get<std::uint64_t>();
    }

    void read(nlohmann::json &value, std::uint32_t &field)
    {
        std::uint64_t wide = 0;
        this->read(value, wide);
        if (wide > std::numeric_limits<std::uint32_t>::max()) {
            return this->illTyped();
        }
        field = static_cast<std::uint32_t>(wide);
    }

    void read(nlohmann::json &value, std::int64_t &field)
    {
        const bool tooLarge = value.is_number_unsigned()
            && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (!value.is_number_integer() || tooLarge) {
            return this->illTyped();
        }
        field = value.get<std::int64_t>();
    }

    /// A reason that only a newer peer knows becomes OutcomeUnknown.
    void read(nlohmann::json &value, Refusal &field)
    {
        std::string code;
        this->read(value, code);
        field = refusalFromCode(code);
        if (field == Refusal::None && code != refusalCode(Refusal::None)) {
            field = Refusal::OutcomeUnknown;
        }
    }

    void read(nlohmann::json &value, InstanceState &field)
    {
        this->readEnum(value, field, InstanceState::Leaving);
    }

    void read(nlohmann::json &value, AttemptOutcome &field)
    {
        this->readEnum(value, field, AttemptOutcome::Unknown);
    }

    template<typename Enum> void readEnum(nlohmann::json &value, Enum &field, Enum last)
    {
        std::uint64_t number = 0;
        this->read(value, number);
        if (number > static_cast<std::uint64_t>(last)) {
            return this->illTyped();
        }
        field = static_cast<Enum>(number);
    }

    void read(nlohmann::json &value, LeaseRefusal &field)
    {
        if (!value.is_object()) {
            return this->illTyped();
        }
        this->problem = MessageReader<LeaseRefusal>(value, field).error();
    }

    template<typename Tag, typename Value> void read(nlohmann::json &value, StrongId<Tag, Value> &field)
    {
        Value raw {};
        this->read(value, raw);
        field = StrongId<Tag, Value>(std::move(raw));
    }

    template<typename Entry> void read(nlohmann::json &value, std::vector<Entry> &field)
    {
        if (!value.is_array()) {
            return this->illTyped();
        }
        field.reserve(value.size());
        for (nlohmann::json &entry : value) {
            this->read(entry, field.emplace_back());
            if (this->problem) {
                return;
            }
        }
    }

    nlohmann::json &map;
    Message &message;
    std::error_code problem;
};

}
