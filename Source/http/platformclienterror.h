#pragma once

#include <string_view>
#include <system_error>

namespace Lycheewall
{

/// Why a read of the platform failed.
enum class PlatformClientError {
    NoAddress = 1,
    BadAddress,
    ConnectFailed,
    ConnectionLost,
    Timeout,
    BadStatus,
    BadAnswer,
    AnswerTooLarge,
    /// The version is below one that was seen before.
    WentBackwards
};

/// The code in counters, for example "connect-failed".
std::string_view platformClientErrorCode(PlatformClientError error);

/// Category "lycheewall.platform-client".
const std::error_category &platformClientCategory();
std::error_code make_error_code(PlatformClientError error);

}

template<> struct std::is_error_code_enum<Lycheewall::PlatformClientError> : std::true_type
{
};
