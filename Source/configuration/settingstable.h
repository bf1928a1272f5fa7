#pragma once

#include "daemon/settings.h"

#include <array>
#include <string_view>
#include <variant>
#include <vector>

namespace Lycheewall
{

/// Where a setting is kept; the kind of member decides how its text is read.
using SettingMember = std::variant<InstanceId Settings::*,
                                   ZoneId Settings::*,
                                   std::string Settings::*,
                                   std::vector<std::string> Settings::*,
                                   int Settings::*,
                                   std::size_t Settings::*,
                                   Milliseconds Settings::*,
                                   LogLevel Settings::*>;

/// Kinds of value, which decide the check and the text of the help page.
enum class SettingType { Name, Address, AddressList, Integer, Choice };

/// Description of one key of the settings file.
struct SettingRow
{
    std::string_view key;
    SettingType type;
    /// "ms", "bytes" or empty.
    std::string_view unit;
    /// Bounds of an integer.
    std::int64_t min;
    std::int64_t max;
    /// Default as it would be written in the file; empty when the key is required.
    std::string_view absent;
    std::string_view help;
    SettingMember member;
};

/// Constant-initialised, so that Settings objects may be made during the initialisation of other statics.
using SettingsTable = std::array<SettingRow, 20>;

/// All keys in the order of the help page. The parser, its messages and the help page read this table only.
const SettingsTable &settingsTable();

/// Texts of LogLevel in order.
const std::vector<std::string_view> &logLevelTexts();

}
