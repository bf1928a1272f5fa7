#pragma once

#include "core/loglimiter.h"

#include <atomic>
#include <mutex>
#include <string>

namespace Lycheewall
{

enum class LogLevel { Debug, Info, Warning, Error };

/**
 * The logger of one part. Each line carries the part as a fixed prefix. A repeated message is written at most once a
 * second, with the number of repeats left out since. Never pass keys or bodies of requests.
 * Thread safety: all methods may be called from any thread.
 */
class Log
{
public:
    /// Writes one line. Called with the lock of the logger held; must not log.
    using Sink = void (*)(LogLevel level, const std::string &part, const std::string &message);

    /// The logger of a part, made on first use; it lives until the process ends.
    static Log &component(const std::string &name);

    enum class Output { StandardError, StandardOutput };

    /// Directs all loggers to @p output through log4cxx. Lines to standard output are written by a thread of their own
    /// and dropped when it falls behind. Defined in the runtime library only.
    static void configure(LogLevel level, Output output = Output::StandardError);

    /// Drops messages below @p level from now on.
    static void setLevel(LogLevel level);
    static LogLevel level();

    /// Replaces the place where lines go; without one, nothing is written.
    static void setSink(Sink sink);

    void debug(const std::string &message);
    void info(const std::string &message);
    void warn(const std::string &message);
    void error(const std::string &message);

private:
    explicit Log(std::string name);
    void write(LogLevel level, const std::string &message);

    std::string name;
    std::mutex mutex;
    LogLimiter limiter;
};

}
