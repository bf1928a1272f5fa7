#include "gateway/connectionacceptor.h"
#include "core/manualclock.h"
#include "gateway/rawhttpserver.h"

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(ConnectionAcceptorTest)

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr rlim_t descriptorLimit = 64;
/// The acceptor pauses for this long after an accept that has failed.
constexpr auto retryDelay = 50ms;
constexpr auto shortageTime = 400ms;

/// Opens descriptors until none is left, and closes them when it goes away.
class AllDescriptors
{
public:
    AllDescriptors()
    {
        for (int descriptor = ::dup(STDIN_FILENO); descriptor >= 0; descriptor = ::dup(STDIN_FILENO)) {
            this->descriptors.push_back(descriptor);
        }
    }
    ~AllDescriptors()
    {
        for (const int descriptor : this->descriptors) {
            ::close(descriptor);
        }
    }
    AllDescriptors(const AllDescriptors &) = delete;
    AllDescriptors &operator=(const AllDescriptors &) = delete;

private:
    std::vector<int> descriptors;
};

/// A connection of the budget whose descriptor is free once it was ended.
class IdleConnection : public ConnectionBudget::Holder
{
public:
    explicit IdleConnection(ConnectionBudget &connectionBudget)
        : budget(connectionBudget)
    {
        this->budget.add(*this);
    }
    ~IdleConnection() override
    {
        this->budget.remove(*this);
        this->close();
    }
    IdleConnection(const IdleConnection &) = delete;
    IdleConnection &operator=(const IdleConnection &) = delete;

    void endForShortage(ConnectionBudget::Resource resource) override
    {
        this->endedForDescriptors = resource == ConnectionBudget::Resource::Descriptors;
        this->close();
        this->budget.update(*this, ConnectionBudget::Phase::Closed, 0);
    }

    bool endedForDescriptors = false;

private:
    void close()
    {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
            this->descriptor = -1;
        }
    }

    ConnectionBudget &budget;
    int descriptor = ::dup(STDIN_FILENO);
};

/// An acceptor, and a client whose socket was opened before descriptors become short.
struct Scenario
{
    Scenario()
    {
        this->budget->setLimits(ConnectionLimits::ofMachine(0, 1000));
        this->isListening = static_cast<bool>(this->acceptor.listen("127.0.0.1:0"));
        this->client.open(asio::ip::tcp::v4());
    }

    void connect()
    {
        this->client.connect({ asio::ip::address_v4::loopback(), this->acceptor.port() });
    }

    ManualClock clock;
    Counters counters;
    asio::io_context io;
    std::shared_ptr<ConnectionBudget> budget = std::make_shared<ConnectionBudget>(clock, counters, ConnectionLimits());
    std::vector<asio::ip::tcp::socket> accepted;
    int failures = 0;
    int otherFailures = 0;
    ConnectionAcceptor acceptor { io,
                                  budget,
                                  { [this](asio::ip::tcp::socket socket) {
                                       this->accepted.push_back(std::move(socket));
                                   },
                                    [this](const boost::system::error_code &error) {
                                        ++this->failures;
                                        this->otherFailures += error == asio::error::no_descriptors ? 0 : 1;
                                    } } };
    asio::ip::tcp::socket client { io };
    bool isListening = false;
};

/// Returns what went wrong; empty if nothing did.
using Check = std::string (*)();

/// Runs @p check in a child process that may open few descriptors. The limit of this process stays as it is.
bool passesWithFewDescriptors(Check check)
{
    const pid_t child = ::fork();
    if (child == 0) {
        const rlimit limit { descriptorLimit, descriptorLimit };
        std::string problem = ::setrlimit(RLIMIT_NOFILE, &limit) == 0 ? "" : "setrlimit has failed";
        try {
            problem += problem.empty() ? check() : "";
        } catch (const std::exception &error) {
            problem = error.what();
        }
        std::cerr << problem << std::endl;
        ::_exit(problem.empty() ? 0 : 1);
    }
    int status = 0;
    return child > 0 && ::waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

std::string checkPauseAndRecovery()
{
    Scenario scenario;
    {
        const AllDescriptors allDescriptors;
        scenario.connect();
        const auto begin = std::chrono::steady_clock::now();
        runFor(scenario.io, shortageTime);
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        if (!scenario.isListening || !scenario.accepted.empty() || scenario.otherFailures > 0) {
            return "descriptors were not short";
        }
        if (scenario.failures < 2) {
            return "the accept was not tried again";
        }
        if (scenario.failures > elapsed / retryDelay + 1) {
            return std::to_string(scenario.failures) + " failures without a pause";
        }
    }
    if (!runUntil(scenario.io, [&] { return scenario.accepted.size() == 1; })) {
        return "the waiting connection was not accepted";
    }
    asio::ip::tcp::socket next(scenario.io);
    next.connect({ asio::ip::address_v4::loopback(), scenario.acceptor.port() });
    return runUntil(scenario.io, [&] { return scenario.accepted.size() == 2; })
        ? ""
        : "the next connection was not accepted";
}

std::string checkReleaseOfConnections()
{
    Scenario scenario;
    const IdleConnection idle(*scenario.budget);
    const AllDescriptors allDescriptors;
    scenario.connect();
    if (!runUntil(scenario.io, [&] { return scenario.accepted.size() == 1; })) {
        return "no descriptor was released";
    }
    return idle.endedForDescriptors && scenario.failures > 0 ? "" : "the connection was accepted without a shortage";
}

}

// Guards against a listener that uses a core while no descriptor is left, and against one that never accepts again.
BOOST_AUTO_TEST_CASE(pausesWithoutDescriptorsAndRecovers)
{
    BOOST_TEST(passesWithFewDescriptors(&checkPauseAndRecovery));
}

// Guards against a listener that waits for descriptors which idle connections hold.
BOOST_AUTO_TEST_CASE(endsConnectionsWithoutDescriptors)
{
    BOOST_TEST(passesWithFewDescriptors(&checkReleaseOfConnections));
}

BOOST_AUTO_TEST_SUITE_END()

}
