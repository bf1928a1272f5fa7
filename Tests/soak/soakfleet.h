#pragma once

#include "observations.h"
#include "process.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <random>

namespace Soak
{

/// A key that was withdrawn is not accepted any more after this time.
constexpr int revocationMs = 3000;

/// The instances under test: one lycheewall-platformd each, on a loopback address of its own.
class SoakFleet
{
public:
    /// @p network is the second byte of the loopback addresses, so that several runs do not meet.
    SoakFleet(std::string program, int instances, int zones, int network, std::string storeAddress, std::string folder);

    int size() const;
    std::string callerAddress(int instance) const;
    /// Thread safety: any thread.
    void start(int instance);

    /// Waits until all instances are ready; false if one is not within ten seconds.
    bool waitUntilReady();

    /// Disturbs @p instance once, in a way that @p random selects: pauses it, kills it, stops and restarts it, or lets
    /// it reload its settings. Thread safety: any thread.
    void disturb(int instance, std::mt19937 &random, Observations &observations);

    /// Kills all instances of @p zone and starts them again after @p seconds. Thread safety: any thread.
    void loseZone(const std::string &zone, double seconds, Observations &observations);

    /// One line of text for each instance that has ended by itself. Precondition: all threads that disturb instances
    /// have ended.
    std::vector<std::string> findEndedInstances();

private:
    std::string logFile(int instance) const;
    /// True once the present process of the instance has written to its log. Before, it may not have reached main(),
    /// and SIGHUP ends any program there.
    bool hasLogged(int instance) const;
    std::string address(int instance, int port) const;
    std::string settings(int instance) const;

    std::string program;
    int zones;
    int network;
    std::string storeAddress;
    std::string folder;
    std::vector<Integration::Process> processes;
    /// One for each process.
    std::deque<std::mutex> processMutexes;
    /// Size of the log when the present process was started.
    std::vector<std::uintmax_t> logSizeAtStart;
    /// The settings file is named in the environment, which all threads share.
    std::mutex startMutex;
};

/// The availability zone of an instance or endpoint, by its number.
std::string zoneOf(int number, int zones);

/// The API key of an organisation.
std::string keyOf(const std::string &organisation);

/// Sends requests to the instances until @p stop is set, over connections that it keeps while they last.
void runCaller(const SoakFleet &fleet, Observations &observations, unsigned seed, const std::atomic<bool> &stop);

}
