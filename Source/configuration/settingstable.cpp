#include "configuration/settingstable.h"

namespace Lycheewall
{

namespace
{

using Type = SettingType;

constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = 1024 * kibibyte;

constexpr SettingsTable rows { {
    { "instance", Type::Name, "", 0, 0, "", "Id of this instance, as in the instance list.", &Settings::instance },
    { "zone", Type::Name, "", 0, 0, "", "Availability zone of this machine, as in the catalogue.", &Settings::zone },
    { "region", Type::Name, "", 0, 0, "", "Region of this machine.", &Settings::region },
    { "caller-address", Type::Address, "", 0, 0, "", "Where callers connect.", &Settings::callerAddress },
    { "peer-address", Type::Address, "", 0, 0, "", "Where other instances connect.", &Settings::peerAddress },
    { "operator-address",
      Type::Address,
      "",
      0,
      0,
      "127.0.0.1:20900",
      "Where operators connect. The interface checks no key, so keep it on the loopback address.",
      &Settings::operatorAddress },
    { "platform-addresses",
      Type::AddressList,
      "",
      1,
      16,
      "",
      "Addresses of the configuration service, tried in turn.",
      &Settings::platformAddresses },
    { "worker-threads", Type::Integer, "", 1, 64, "4", "Threads that serve requests.", &Settings::workerThreads },
    { "keep-ms",
      Type::Integer,
      "ms",
      100,
      600'000,
      "10000",
      "How long callers keep an answer of /v1/addresses, and how long a leaving instance keeps its listener.",
      &Settings::keep },
    { "lease-ms",
      Type::Integer,
      "ms",
      300,
      30'000,
      "1500",
      "Period of a lease; the same on all instances. At least twice lease-renew-ms.",
      &Settings::lease },
    { "lease-renew-ms", Type::Integer, "ms", 50, 10'000, "300", "Interval of lease renewals.", &Settings::leaseRenew },
    { "gossip-ms",
      Type::Integer,
      "ms",
      50,
      1500,
      "500",
      "Interval of gossip to peers. At most half of freshness-ms.",
      &Settings::gossip },
    // A zone that is taken out of service gets no new work after 3 s, so an older view must not dispatch.
    { "freshness-ms",
      Type::Integer,
      "ms",
      300,
      3000,
      "3000",
      "An instance that heard neither the platform nor most of its peers for this long admits nothing on keyed routes.",
      &Settings::freshness },
    { "default-deadline-ms",
      Type::Integer,
      "ms",
      1,
      5000,
      "2000",
      "Deadline of a request that names none. At most max-deadline-ms.",
      &Settings::defaultDeadline },
    // A request in flight when its key is withdrawn ends within its deadline, and the bound for withdrawal is 5 s.
    { "max-deadline-ms",
      Type::Integer,
      "ms",
      1,
      5000,
      "5000",
      "Greatest deadline that a request may name.",
      &Settings::maxDeadline },
    { "max-body-bytes",
      Type::Integer,
      "bytes",
      kibibyte,
      64 * mebibyte,
      "1048576",
      "Greatest request body.",
      &Settings::maxBodyBytes },
    { "max-header-bytes",
      Type::Integer,
      "bytes",
      kibibyte,
      mebibyte,
      "8192",
      "Greatest request header.",
      &Settings::maxHeaderBytes },
    { "max-connections",
      Type::Integer,
      "",
      1,
      100'000,
      "1024",
      "Connections of callers at the same time.",
      &Settings::maxConnections },
    { "idle-ms",
      Type::Integer,
      "ms",
      100,
      3'600'000,
      "30000",
      "A caller's connection without a request is closed after this time.",
      &Settings::idle },
    { "log-level", Type::Choice, "", 0, 0, "info", "Least level of the lines that are logged.", &Settings::logLevel },
} };

}

const SettingsTable &settingsTable()
{
    return rows;
}

const std::vector<std::string_view> &logLevelTexts()
{
    static const std::vector<std::string_view> levels { "debug", "info", "warn", "error" };
    return levels;
}

std::string_view logLevelText(LogLevel level)
{
    return logLevelTexts().at(static_cast<std::size_t>(level));
}

}
