#include "core/log.h"
#include "daemon/daemon.h"
#include "daemon/statereport.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "YAML file with the settings of this daemon");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace
{

constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;

}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("lycheewalld --settings FILE [--check_settings]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = Lycheewall::Settings::load(FLAGS_settings);
    if (!settings) {
        for (const auto &problem : settings.error()) {
            std::cerr << problem.message() << '\n';
        }
        return exitBadSettings;
    }
    if (FLAGS_check_settings) {
        std::cout << FLAGS_settings << ": no problems\n";
        return EXIT_SUCCESS;
    }
    Lycheewall::Log::configure(settings.value().logLevel);
    auto daemon = Lycheewall::Daemon::create(settings.value());
    if (!daemon) {
        std::cerr << "lycheewalld: cannot listen on " << settings.value().callerAddress << ", "
                  << settings.value().peerAddress << " or " << settings.value().operatorAddress << ": "
                  << daemon.error().message() << '\n';
        std::quick_exit(exitCannotStart);
    }
    daemon.value()->run();
    // Fibers that read the platform never end; the process holds nothing that has to be saved.
    std::quick_exit(EXIT_SUCCESS);
}
