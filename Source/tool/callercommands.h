#pragma once

#include "tool/command.h"

namespace Lycheewall
{

/// A command that sends a request as callers do: it discovers the instances, then sends the request to one of them, and
/// to the next one if that fails and the request is idempotent.
class CallerCommand : public Command
{
public:
    ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) override;

protected:
    /// Path and JSON body of the HTTP request to the caller interface.
    virtual std::string path(const std::string &pool) const = 0;
    virtual std::string body(const ToolOptions &options, const std::string &text) const = 0;
};

class QueryCommand : public CallerCommand
{
public:
    std::string name() const override;
    std::string arguments() const override;
    std::string summary() const override;

protected:
    std::string path(const std::string &pool) const override;
    std::string body(const ToolOptions &options, const std::string &text) const override;
};

class RequestCommand : public CallerCommand
{
public:
    std::string name() const override;
    std::string arguments() const override;
    std::string summary() const override;

protected:
    std::string path(const std::string &pool) const override;
    std::string body(const ToolOptions &options, const std::string &text) const override;
};

class AddressesCommand : public Command
{
public:
    std::string name() const override;
    std::string arguments() const override;
    std::string summary() const override;
    ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) override;
};

}
