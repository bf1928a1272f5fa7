// Measures a fleet of real processes: fleet_measure path [songlam|craglanka] or fleet_measure slopes
#include "fleet.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace Integration;
using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

/// Processor seconds and resident megabytes of a process.
struct Usage
{
    double cpuSeconds = 0;
    double megabytes = 0;
};

Usage usageOf(pid_t process)
{
    const std::string folder = "/proc/" + std::to_string(process);
    const std::string stat = readFile(folder + "/stat");
    std::stringstream fields(stat.substr(stat.rfind(')') + 2));
    std::string skipped;
    // utime and stime are fields 14 and 15; the text starts at field 3.
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    std::stringstream memory(readFile(folder + "/statm"));
    double total = 0;
    double resident = 0;
    memory >> total >> resident;
    constexpr double bytesPerMegabyte = 1e6;
    return { (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
             resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerMegabyte };
}

Usage usageOfAll(Fleet &fleet)
{
    Usage sum;
    for (const int number : fleet.allDaemons()) {
        const Usage one = usageOf(fleet.daemon(number).id());
        sum.cpuSeconds += one.cpuSeconds;
        sum.megabytes += one.megabytes;
    }
    return sum;
}

json idleFigures(Fleet &fleet, double seconds)
{
    const Usage before = usageOfAll(fleet);
    const std::uint64_t bytesBefore = fleet.counter("lycheewall_peer_bytes_out_total");
    const std::uint64_t framesBefore = fleet.counter("lycheewall_peer_frames_out_total");
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    const Usage after = usageOfAll(fleet);
    const double daemons = fleet.size();
    const auto bytes = static_cast<double>(fleet.counter("lycheewall_peer_bytes_out_total") - bytesBefore);
    const auto frames = static_cast<double>(fleet.counter("lycheewall_peer_frames_out_total") - framesBefore);
    return { { "daemons", fleet.size() },
             { "core-share-percent", 100 * (after.cpuSeconds - before.cpuSeconds) / took / daemons },
             { "megabytes", after.megabytes / daemons },
             { "peer-kb-out-per-s", bytes / took / daemons / 1000 },
             { "peer-frames-out-per-s", frames / took / daemons } };
}

json loadFigures(Fleet &fleet, const std::vector<CallerStream> &streams, double seconds)
{
    const Usage before = usageOfAll(fleet);
    json summary = fleet.callers(streams, seconds)->finish(60s);
    const Usage after = usageOfAll(fleet);
    summary.erase("streams");
    const double cpu = after.cpuSeconds - before.cpuSeconds;
    summary["requests-per-core-second"] = summary["queries"].get<double>() / cpu;
    summary["cpu-ms-per-request"] = 1000 * cpu / summary["queries"].get<double>();
    summary["megabytes-per-daemon"] = after.megabytes / fleet.size();
    return summary;
}

std::vector<CallerStream> queriesOf(const std::string &deployment, double rate)
{
    if (deployment == "craglanka") {
        return { { "adams-peak-press", "route-search", "query", rate } };
    }
    return { { "vinh-school-board", "marking-portal", "query", rate } };
}

std::vector<CallerStream> singlesOf(const std::string &deployment, double rate)
{
    return { { "", deployment == "craglanka" ? "layout" : "notices", "request", rate } };
}

void measurePath(const std::string &deployment)
{
    FleetOptions options;
    options.deployment = deployment;
    Fleet fleet(options);
    if (!fleet.awaitReady(20s)) {
        throw std::runtime_error("the daemons did not become ready within 20 s");
    }
    std::cout << json { { "idle", idleFigures(fleet, 5) } }.dump() << std::endl;
    for (const double rate : { 20.0, 60.0, 100.0 }) {
        json figures = loadFigures(fleet, queriesOf(deployment, rate), 8);
        std::cout << json { { "queries-per-s", rate }, { "figures", figures } }.dump() << std::endl;
    }
    std::cout << json {
        { "singles-per-s", 300 }, { "figures", loadFigures(fleet, singlesOf(deployment, 300), 6) }
    }.dump() << std::endl;
    json times = json::array();
    for (int edit = 0; edit < 20; ++edit) {
        const auto start = std::chrono::steady_clock::now();
        const int version = fleet.publishCatalogue(fleet.catalogue() + "# edit " + std::to_string(edit) + "\n");
        if (!fleet.awaitVersion(fleet.allDaemons(), "catalogue", version, 5s)) {
            throw std::runtime_error("a change was not in force within 5 s");
        }
        times.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
    }
    std::sort(times.begin(), times.end());
    std::cout << json { { "configuration-ms", { { "median", times[10] }, { "max", times[19] } } } }.dump() << std::endl;
}

void measureSlopes()
{
    for (const int daemons : { 2, 4, 8, 16, 24 }) {
        FleetOptions options;
        options.daemons = daemons;
        Fleet fleet(options);
        if (!fleet.awaitReady(30s)) {
            throw std::runtime_error("the daemons did not become ready within 30 s");
        }
        std::cout << idleFigures(fleet, 8).dump() << std::endl;
    }
}

}

int main(int argc, char **argv)
{
    const std::string what = argc > 1 ? argv[1] : "path";
    try {
        if (what == "slopes") {
            measureSlopes();
        } else {
            measurePath(argc > 2 ? argv[2] : "songlam");
        }
    } catch (const std::exception &problem) {
        std::cerr << "fleet_measure: " << problem.what() << std::endl;
        return 1;
    }
    return 0;
}
