#pragma once

#include "tool/command.h"

#include <system_error>

namespace Lycheewall
{

/// Prints how the command is used.
ExitCode printUsage(const Command &command);

/// Prints why the daemon at @p address could not be reached.
ExitCode reportUnreachable(const std::string &address, const std::error_code &error);

}
