#include "core/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace Lycheewall
{

namespace
{

/// Lines that are buffered while the reader of the output is slow.
constexpr int asyncQueueCapacity = 1024;

log4cxx::LevelPtr toLog4cxxLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

void writeLine(LogLevel level, const std::string &component, const std::string &message)
{
    log4cxx::LogManager::getLogger(component)->forcedLog(toLog4cxxLevel(level), message, log4cxx::spi::LocationInfo());
}

}

void Log::configure(LogLevel level, Output output)
{
    const bool isAsync = output == Output::StandardOutput;
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c: %m%n");
    const auto target = isAsync ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr();
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, target);
    const auto root = log4cxx::LogManager::getRootLogger();
    root->removeAllAppenders();
    if (isAsync) {
        const auto queue = std::make_shared<log4cxx::AsyncAppender>();
        queue->setBufferSize(asyncQueueCapacity);
        queue->setBlocking(false);
        queue->addAppender(console);
        root->addAppender(queue);
    } else {
        root->addAppender(console);
    }
    root->setLevel(log4cxx::Level::getAll());
    Log::setLevel(level);
    Log::setSink(&writeLine);
}

}
