#pragma once

#include "tool/command.h"

namespace Lycheewall
{

/// Validates a catalogue or an instance list before it is published.
class ValidateCommand : public Command
{
public:
    std::string name() const override;
    std::string arguments() const override;
    std::string summary() const override;
    ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) override;
};

/// Shows the state of each given daemon: current versions, peers, leases, endpoints, connections and queues.
class StateCommand : public Command
{
public:
    std::string name() const override;
    std::string arguments() const override;
    std::string summary() const override;
    ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) override;
};

/// Shows the counters of each given daemon.
class CountersCommand : public Command
{
public:
    std::string name() const override;
    std::string arguments() const override;
    std::string summary() const override;
    ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) override;
};

/// Shows the trace of one request by its id.
class ExplainCommand : public Command
{
public:
    std::string name() const override;
    std::string arguments() const override;
    std::string summary() const override;
    ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) override;
};

/// Changes the log level of each given daemon.
class LogLevelCommand : public Command
{
public:
    std::string name() const override;
    std::string arguments() const override;
    std::string summary() const override;
    ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) override;
};

}
