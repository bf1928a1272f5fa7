#pragma once

#include <string>
#include <vector>

namespace Lycheewall
{

/// Exit codes of lycheewallctl.
enum class ExitCode : int {
    Success = 0,
    /// The request was refused, its reply is incomplete, no daemon knows the request id, route or organisation, or a
    /// file has problems.
    Refused = 1,
    /// The command line is invalid or a file cannot be read.
    BadUsage = 2,
    /// A daemon could not be reached.
    Unreachable = 3
};

/// Values of the global flags.
struct ToolOptions
{
    bool printJson = false;
    /// "ip:port" each: operator addresses of the daemons for operator commands, caller addresses for caller commands.
    std::vector<std::string> addresses;
    std::string apiKey;
    /// 0 stands for the default of the daemon.
    int deadlineMs = 0;
    bool idempotent = true;
    std::string routingKey;
    /// Of the request that is explained. The organisation may be empty.
    std::string host;
    std::string path;
    std::string method;
    std::string organisation;
};

/// One command of lycheewallctl. Thread safety: none.
class Command
{
public:
    virtual ~Command() = default;

    virtual std::string name() const = 0;
    /// Placeholders of the arguments after the name, for the usage line.
    virtual std::string arguments() const = 0;
    virtual std::string summary() const = 0;
    virtual ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) = 0;
};

}
