#pragma once

#include "tool/command.h"

namespace Lycheewall
{

/// Shows where one instance would send a request now, and why, without sending it.
class ExplainRouteCommand : public Command
{
public:
    std::string name() const override;
    std::string arguments() const override;
    std::string summary() const override;
    ExitCode run(const ToolOptions &options, const std::vector<std::string> &arguments) override;
};

}
