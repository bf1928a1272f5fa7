#include "tool/reporting.h"

#include <iostream>

namespace Lycheewall
{

ExitCode printUsage(const Command &command)
{
    std::cerr << "lycheewallctl: usage: " << command.name() << ' ' << command.arguments() << '\n';
    return ExitCode::BadUsage;
}

ExitCode reportUnreachable(const std::string &address, const std::error_code &error)
{
    std::cerr << "lycheewallctl: " << address << ": " << error.message() << '\n';
    return ExitCode::Unreachable;
}

}
