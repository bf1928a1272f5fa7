#include "integration/process.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

namespace
{

using namespace std::chrono_literals;

/// A settings file that lets its reader wait until the test writes: the program is then known to be in its start.
class BlockingSettings
{
public:
    BlockingSettings()
    {
        this->folder = mkdtemp(this->folder.data());
        BOOST_REQUIRE(::mkfifo(this->path().c_str(), S_IRUSR | S_IWUSR) == 0);
        ::setenv("LYCHEEWALL_CONFIG", this->path().c_str(), 1);
    }
    ~BlockingSettings()
    {
        ::unsetenv("LYCHEEWALL_CONFIG");
        std::filesystem::remove_all(this->folder);
    }

    std::string path() const
    {
        return this->folder + "/settings.yaml";
    }

    std::string log() const
    {
        return this->folder + "/log";
    }

    /// Opens the file as soon as the program reads it; -1 if it does not within some seconds.
    int openWhenRead() const
    {
        int file = -1;
        Integration::waitFor(
            [&] {
                file = ::open(this->path().c_str(), O_WRONLY | O_NONBLOCK);
                return file >= 0;
            },
            10s);
        return file;
    }

private:
    std::string folder = "/tmp/lycheewall-startup-XXXXXX";
};

}

BOOST_AUTO_TEST_SUITE(StartupTest)

// Guards against a process that ends because the platform tells it to reload its settings while it still starts.
BOOST_AUTO_TEST_CASE(reloadSignalDuringStartIsSurvived)
{
    const BlockingSettings settings;
    Integration::Process process(LYCHEEWALL_PLATFORMD, {}, settings.log());
    const int file = settings.openWhenRead();
    BOOST_REQUIRE(file >= 0);
    process.signal(SIGHUP);
    ::close(file);
    // The settings are empty, so the program ends with an error, not by the signal.
    BOOST_TEST(process.wait(10s) == EXIT_FAILURE);
}

BOOST_AUTO_TEST_SUITE_END()
