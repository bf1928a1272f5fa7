#include "daemon/daemon.h"

#include "daemon/daemonparts.h"

namespace Lycheewall
{

Daemon::Daemon(std::unique_ptr<Parts> allParts)
    : parts(std::move(allParts))
{
}

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::create(const Settings &settings)
{
    auto parts = std::make_unique<Parts>(settings);
    const auto started = parts->start();
    if (!started) {
        // Fibers that read the platform never end, so parts that were started cannot be taken down again.
        (void)parts.release();
        return started.error();
    }
    return std::unique_ptr<Daemon>(new Daemon(std::move(parts)));
}

void Daemon::run()
{
    this->parts->run();
}

}
