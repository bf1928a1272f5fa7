#include "core/log.h"

#include "core/boottimeclock.h"

#include <map>
#include <memory>

namespace Lycheewall
{

namespace
{

std::atomic<LogLevel> currentLevel { LogLevel::Info };
std::atomic<Log::Sink> currentSink { nullptr };

/// Replaces control characters by spaces, so that each message is a single line.
std::string singleLine(std::string text)
{
    constexpr unsigned char firstPrintable = 0x20;
    for (char &character : text) {
        if (static_cast<unsigned char>(character) < firstPrintable) {
            character = ' ';
        }
    }
    return text;
}

}

Log::Log(std::string componentName)
    : name(std::move(componentName))
{
}

Log &Log::component(const std::string &name)
{
    // Never destroyed, because threads may still log while static objects are destroyed.
    static auto *const mutex = new std::mutex;
    static auto *const loggers = new std::map<std::string, std::unique_ptr<Log>>;
    const std::lock_guard lock(*mutex);
    std::unique_ptr<Log> &logger = (*loggers)[name];
    if (!logger) {
        logger.reset(new Log(name));
    }
    return *logger;
}

void Log::setLevel(LogLevel level)
{
    currentLevel.store(level);
}

LogLevel Log::level()
{
    return currentLevel.load();
}

void Log::setSink(Sink sink)
{
    currentSink.store(sink);
}

void Log::debug(const std::string &message)
{
    this->write(LogLevel::Debug, message);
}

void Log::info(const std::string &message)
{
    this->write(LogLevel::Info, message);
}

void Log::warn(const std::string &message)
{
    this->write(LogLevel::Warning, message);
}

void Log::error(const std::string &message)
{
    this->write(LogLevel::Error, message);
}

void Log::write(LogLevel level, const std::string &message)
{
    const Sink sink = currentSink.load();
    if (sink == nullptr || level < currentLevel.load()) {
        return;
    }
    const TimePoint now = BootTimeClock().now();
    const std::lock_guard lock(this->mutex);
    const auto suppressed = this->limiter.admit(message, now);
    if (!suppressed) {
        return;
    }
    std::string line = singleLine(message);
    if (*suppressed > 0) {
        line += " (" + std::to_string(*suppressed) + " repeats suppressed)";
    }
    sink(level, this->name, line);
}

}
