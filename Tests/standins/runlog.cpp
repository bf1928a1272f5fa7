#include "runlog.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace Standins
{

std::int64_t bootTimeNanoseconds()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1'000'000'000 + time.tv_nsec;
}

std::string jsonString(const std::string &text)
{
    std::string result = "\"";
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            result += '\\';
        }
        // Header values hold no control characters, but a body that is not JSON may.
        result += static_cast<unsigned char>(letter) < ' ' ? ' ' : letter;
    }
    return result + '"';
}

RunLog::RunLog(const std::string &path)
    : file(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644))
{
    if (this->file < 0) {
        std::perror(path.c_str());
        std::exit(2);
    }
}

RunLog::~RunLog()
{
    close(this->file);
}

void RunLog::append(const std::string &line)
{
    if (write(this->file, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        std::perror("endpoint log");
        std::abort();
    }
}

}
