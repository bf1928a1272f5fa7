#pragma once

#include "core/result.h"
#include "daemon/settings.h"

#include <memory>

namespace Lycheewall
{

/**
 * One instance: all parts of lycheewalld, put together.
 * Thread safety: all methods may be called from any thread.
 */
class Daemon
{
public:
    /// Starts all parts. Errors: those of the listening addresses.
    static Result<std::unique_ptr<Daemon>> create(const Settings &settings);

    ~Daemon();

    /// Blocks until SIGTERM or SIGINT has led to a graceful end. Precondition: called once.
    void run();

private:
    class Parts;
    explicit Daemon(std::unique_ptr<Parts> allParts);

    std::unique_ptr<Parts> parts;
};

}
