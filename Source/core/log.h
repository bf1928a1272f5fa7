#pragma once

#include "core/loglimiter.h"

#include <atomic>
#include <mutex>
#include <string>

namespace Lycheewall
{

enum class LogLevel { Debug, Info, Warning, Error };

/**
 * The logger of one component. Each line begins with the name of the component. A repeated message is written at most
 * once a second, with the number of repeats that were suppressed since then. Never pass API keys or bodies of requests.
 * Thread safety: all methods may be called from any thread.
 */
class Log
{
public:
    /// Writes one line. Called with the mutex of the logger locked; must not log.
    using Sink = void (*)(LogLevel level, const std::string &component, const std::string &message);

    /// The logger of a component, created on first use. It is never destroyed.
    static Log &component(const std::string &name);

    enum class Output { StandardError, StandardOutput };

    /// Directs all loggers to @p output through log4cxx. Lines to standard output are written by a separate thread and
    /// dropped when it falls behind. Defined in the runtime library only.
    static void configure(LogLevel level, Output output = Output::StandardError);

    /// Discards all later messages below @p level.
    static void setLevel(LogLevel level);
    static LogLevel level();

    /// Replaces the function that writes lines; with nullptr, which is the default, all messages are discarded.
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
