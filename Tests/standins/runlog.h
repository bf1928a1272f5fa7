#pragma once

#include <cstdint>
#include <string>

namespace Standins
{

/// Nanoseconds of CLOCK_BOOTTIME.
std::int64_t bootTimeNanoseconds();

/// @p text as a JSON string with its quotes.
std::string jsonString(const std::string &text);

/// Appends lines to a file, each with one write, so that an event is in the file before its answer leaves.
class RunLog
{
public:
    /// Truncates @p path. Ends the program when it cannot be written.
    explicit RunLog(const std::string &path);
    ~RunLog();

    /// Thread safety: any thread.
    void append(const std::string &line);

private:
    int file;
};

}
