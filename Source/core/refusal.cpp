#include "core/refusal.h"

#include <string>

namespace Lycheewall
{

namespace
{

constexpr std::array<std::string_view, refusalCount> codes {
    "none",
    "bad-request",
    "body-too-large",
    "header-too-large",
    "request-timeout",
    "key-missing",
    "key-unknown",
    "pool-forbidden",
    "unknown-pool",
    "unknown-route",
    "method-not-allowed",
    "too-many-connections",
    "rate-exceeded",
    "no-owner",
    "not-owner",
    "cut-off",
    "not-ready",
    "queue-full",
    "deadline-unreachable",
    "deadline-exceeded",
    "endpoint-unavailable",
    "endpoint-shed",
    "endpoint-throttled",
    "endpoint-draining",
    "endpoint-cold",
    "endpoint-connection-cap",
    "zone-drained",
    "snapshot-unavailable",
    "snapshot-mismatch",
    "peer-unreachable",
    "peer-queue-full",
    "cancelled",
    "connection-lost",
    "outcome-unknown",
    "shutting-down",
    "memory-exceeded",
};

class RefusalCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "lycheewall.refusal";
    }
    std::string message(int value) const override
    {
        return std::string(refusalCode(static_cast<Refusal>(value)));
    }
};

}

std::string_view refusalCode(Refusal refusal)
{
    const auto index = static_cast<std::size_t>(refusal);
    return index < codes.size() ? codes[index] : "invalid";
}

Refusal refusalFromCode(std::string_view code)
{
    for (std::size_t index = 0; index < codes.size(); ++index) {
        if (codes[index] == code) {
            return static_cast<Refusal>(index);
        }
    }
    return Refusal::None;
}

const std::error_category &refusalCategory()
{
    static const RefusalCategory category;
    return category;
}

std::error_code make_error_code(Refusal refusal)
{
    return { static_cast<int>(refusal), refusalCategory() };
}

}
