#pragma once

#include "process.h"
#include "storestandin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <future>
#include <map>
#include <thread>

namespace Soak
{

/// The entry of an endpoint that serves @p service on @p port of the loopback interface.
std::string endpointEntry(const std::string &service, std::uint16_t port);

/// The port of @p address ("ip:port").
std::uint16_t portOf(const std::string &address);

/// Greatest memory that the process has had in use.
std::size_t peakMemoryKb(pid_t process);

/// A public route to one service. Its prefix is its name.
nlohmann::json publicRoute(const std::string &name,
                           const std::string &kind,
                           const std::string &service,
                           std::chrono::milliseconds timeout);

/// The listening sockets of an instance.
enum class Listener { Callers, Peers, Metrics, Readiness, Directory };

/**
 * One instance as a process, and its store, which runs in a thread of its own together with the endpoints that the test
 * creates on its io_context. Callers reach the instance at an address of its own.
 */
class SingleInstance
{
public:
    /// @p number distinguishes tests that run at the same time.
    SingleInstance(int number, int gracePeriodS);
    ~SingleInstance();

    /// Publishes the configuration and the endpoints, starts the instance and waits until it is ready and knows all
    /// endpoints. @p moreSettings is appended to the settings file. Returns false if the instance does not become
    /// ready. Precondition: called once.
    bool start(const nlohmann::json &configuration,
               const std::map<std::string, std::string> &entriesById,
               const std::string &moreSettings = "");

    /// Sends one request at @p sendAt over a connection that was opened before. Returns its status, 0 without a reply.
    /// Thread safety: any thread.
    int sendRequest(const std::string &method,
                    const std::string &path,
                    const std::string &attemptId,
                    std::chrono::milliseconds deadline,
                    std::chrono::steady_clock::time_point sendAt) const;

    boost::asio::ip::tcp::endpoint address(Listener listener) const;
    boost::asio::io_context &context();
    Integration::Process &process();

private:
    /// The content of the settings file.
    std::string settings() const;

    std::string folder = "/tmp/lycheewall-instance-XXXXXX";
    std::string ip;
    int firstPort;
    int gracePeriod;
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> keepRunning { io.get_executor() };
    StoreStandin store { io };
    std::thread thread;
    Integration::Process instance;
};

}
