#pragma once

#include "tool/command.h"

namespace Lycheewall
{

/// A caller of the real interface: asks for addresses, keeps the answer for its time and connects to one of them.
class CallerCommand : public Command
{
public:
    ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) override;

protected:
    /// Path of the caller's interface, and its JSON body.
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
