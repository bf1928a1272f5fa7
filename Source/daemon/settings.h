#pragma once

#include "catalogue/catalogue.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/result.h"
#include "core/strongid.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Lycheewall
{

/// "debug", "info", "warn" or "error".
std::string_view logLevelText(LogLevel level);

/**
 * Settings of one daemon, read once at its start. The table in configuration/settingstable.cpp describes each key.
 * Thread safety: a value type; distinct objects may be used from distinct threads.
 */
struct Settings
{
    /// Every optional key at its default; the required ones are empty.
    Settings();

    InstanceId instance;
    ZoneId zone;
    std::string region;
    /// "ip:port", as are all addresses below.
    std::string callerAddress;
    std::string peerAddress;
    std::string operatorAddress;
    std::vector<std::string> platformAddresses;
    int workerThreads = 0;
    Milliseconds keep {};
    Milliseconds lease {};
    Milliseconds leaseRenew {};
    Milliseconds gossip {};
    Milliseconds freshness {};
    Milliseconds defaultDeadline {};
    Milliseconds maxDeadline {};
    std::size_t maxBodyBytes = 0;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxConnections = 0;
    Milliseconds idle {};
    LogLevel logLevel = LogLevel::Info;

    /// Reads and checks the file at @p path as a whole. Never returns an empty problem list.
    static ResultOr<Settings, std::vector<CatalogueProblem>> load(const std::string &path);

    /// Checks YAML text as a whole. @p file is used in problems only. Never returns an empty problem list.
    static ResultOr<Settings, std::vector<CatalogueProblem>> parse(const std::string &text, const std::string &file);

    /// The help page on all keys, as Markdown.
    static std::string help();
};

}
