#pragma once

#include <cstdint>
#include <string>

namespace Standins
{

/// Returns the time of CLOCK_BOOTTIME in nanoseconds.
std::int64_t bootTimeNanoseconds();

/// Returns @p text as a JSON string, quotes included. Control characters are replaced by spaces.
std::string jsonString(const std::string &text);

/// Appends lines to a file without buffering, so that an event is in the file before the response is sent.
class RunLog
{
public:
    /// Truncates @p path. Exits the program if the file cannot be opened.
    explicit RunLog(const std::string &path);
    ~RunLog();

    /// Writes @p line by one call of write(); aborts the program on failure. Thread safety: any thread.
    void append(const std::string &line);

private:
    int file;
};

}
