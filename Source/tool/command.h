#pragma once

#include <string>
#include <vector>

namespace Lycheewall
{

/// Exit codes of lycheewallctl.
enum class ExitCode : int {
    Success = 0,
    /// The answer is a refusal, or covers less than all.
    Refused = 1,
    /// The command line or a file is wrong.
    BadUsage = 2,
    /// No daemon could be reached.
    Unreachable = 3
};

/// What the global flags say.
struct ToolOptions
{
    bool json = false;
    /// "ip:port" list: operators' addresses for operator commands, callers' addresses for caller commands.
    std::vector<std::string> addresses;
    std::string key;
    int deadlineMs = 0;
    bool idempotent = true;
    std::string routingKey;
};

/// One command of lycheewallctl. Thread safety: used by one thread.
class Command
{
public:
    virtual ~Command() = default;

    virtual std::string name() const = 0;
    /// Arguments after the name, for the usage line.
    virtual std::string arguments() const = 0;
    virtual std::string summary() const = 0;
    virtual ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) = 0;
};

}
