#include "http/platformclienterror.h"

#include <string>

namespace Lycheewall
{

namespace
{

class PlatformClientCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "lycheewall.platform-client";
    }
    std::string message(int value) const override
    {
        return std::string(platformClientErrorCode(static_cast<PlatformClientError>(value)));
    }
};

}

std::string_view platformClientErrorCode(PlatformClientError error)
{
    switch (error) {
    case PlatformClientError::NoAddress:
        return "no-address";
    case PlatformClientError::BadAddress:
        return "bad-address";
    case PlatformClientError::ConnectFailed:
        return "connect-failed";
    case PlatformClientError::ConnectionLost:
        return "connection-lost";
    case PlatformClientError::Timeout:
        return "timeout";
    case PlatformClientError::BadStatus:
        return "bad-status";
    case PlatformClientError::BadAnswer:
        return "bad-answer";
    case PlatformClientError::AnswerTooLarge:
        return "answer-too-large";
    case PlatformClientError::WentBackwards:
        return "went-backwards";
    }
    return "invalid";
}

const std::error_category &platformClientCategory()
{
    static const PlatformClientCategory category;
    return category;
}

std::error_code make_error_code(PlatformClientError error)
{
    return { static_cast<int>(error), platformClientCategory() };
}

}
