#include "fleet.h"

#include "http/blockingclient.h"

#include <csignal>
#include <filesystem>
#include <sstream>
#include <stdexcept>
#include <unistd.h>
#include <yaml-cpp/yaml.h>

namespace Integration
{

using nlohmann::json;

namespace
{

constexpr int platformPort = 19000;
constexpr int platformControlPort = 19001;
constexpr int endpointControlPort = 19002;
constexpr int callerBasePort = 19100;
constexpr int peerBasePort = 19300;
constexpr int operatorBasePort = 19500;
constexpr std::chrono::seconds startBound { 15 };

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string lastLine(const std::string &text)
{
    std::string last;
    std::stringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        last = line.empty() ? last : line;
    }
    return last;
}

std::uint64_t valueOfCounter(const std::string &exposition, const std::string &name)
{
    std::stringstream stream(exposition);
    for (std::string line; std::getline(stream, line);) {
        const auto space = line.rfind(' ');
        if (space != std::string::npos && line.substr(0, space) == name) {
            return std::stoull(line.substr(space + 1));
        }
    }
    return 0;
}

}

CallerRun::CallerRun(Process started, std::string outputFile)
    : process(std::move(started))
    , output(std::move(outputFile))
{
}

json CallerRun::finish(std::chrono::milliseconds bound)
{
    if (this->process.wait(bound) != 0) {
        return nullptr;
    }
    return json::parse(lastLine(readFile(this->output)), nullptr, false);
}

std::vector<json> CallerRun::intervals() const
{
    std::vector<json> all;
    std::stringstream stream(readFile(this->output));
    const std::string prefix = "interval ";
    for (std::string line; std::getline(stream, line);) {
        if (line.rfind(prefix, 0) == 0) {
            all.push_back(json::parse(line.substr(prefix.size())));
        }
    }
    return all;
}

Fleet::Fleet(const FleetOptions &fleetOptions)
    : options(fleetOptions)
{
    std::string pattern = "/tmp/lycheewall-fleet-XXXXXX";
    this->directory = mkdtemp(pattern.data());
    const std::string source = std::string(LYCHEEWALL_EXAMPLES) + "/" + this->options.deployment;
    this->catalogueText = readFile(source + "/catalogue.yaml");
    for (const auto &zone : YAML::Load(this->catalogueText)["zones"]) {
        this->zones.push_back(zone.as<std::string>());
    }
    writeFile(this->directory + "/catalogue.yaml", this->catalogueText);
    writeFile(this->directory + "/instances.yaml", this->instanceListText(this->allDaemons()));
    this->platform = Process(STANDIN_PROGRAMS "/standin_platform",
                             { "--port",
                               std::to_string(platformPort),
                               "--control_port",
                               std::to_string(platformControlPort),
                               "--catalogue",
                               this->directory + "/catalogue.yaml",
                               "--instances",
                               this->directory + "/instances.yaml" },
                             this->directory + "/platform.log");
    std::vector<std::string> arguments { "--catalogue",    this->directory + "/catalogue.yaml",
                                         "--log",          this->directory + "/runs.jsonl",
                                         "--control_port", std::to_string(endpointControlPort),
                                         "--seed",         std::to_string(this->options.seed) };
    arguments.insert(arguments.end(), this->options.endpointArguments.begin(), this->options.endpointArguments.end());
    this->endpointHost = Process(STANDIN_PROGRAMS "/standin_endpoints", arguments, this->directory + "/endpoints.log");
    waitFor([&] { return !this->platformCalls().is_null() && !this->endpointStats().is_null(); }, startBound);
    // A leftover of an aborted run would answer in their place on the fixed ports.
    if (!this->platform.alive() || !this->endpointHost.alive()) {
        throw std::runtime_error("the platform or the endpoints did not start; see " + this->directory);
    }
    for (const int number : this->allDaemons()) {
        this->startDaemon(number);
    }
}

Fleet::~Fleet()
{
    this->daemons.clear();
    if (std::getenv("LYCHEEWALL_KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->directory, ignored);
    }
}

std::vector<int> Fleet::allDaemons() const
{
    std::vector<int> numbers;
    for (int number = 0; number < this->options.daemons; ++number) {
        numbers.push_back(number);
    }
    return numbers;
}

int Fleet::size() const
{
    return this->options.daemons;
}

const std::string &Fleet::folder() const
{
    return this->directory;
}

std::string Fleet::instanceName(int number) const
{
    return this->options.deployment + "-" + std::to_string(number);
}

std::string Fleet::callerAddress(int number) const
{
    return loopback(callerBasePort + number);
}

std::string Fleet::operatorAddress(int number) const
{
    return loopback(operatorBasePort + number);
}

std::string Fleet::instanceListText(const std::vector<int> &listed) const
{
    std::string text = "instances:\n";
    for (const int number : listed) {
        text += "  " + this->instanceName(number)
            + ": { zone: " + this->zones[static_cast<std::size_t>(number) % this->zones.size()] + ", caller-address: \""
            + this->callerAddress(number) + "\", peer-address: \"" + loopback(peerBasePort + number)
            + "\", state: live }\n";
    }
    return text;
}

void Fleet::startDaemon(int number)
{
    const std::string file = this->directory + "/" + this->instanceName(number) + ".yaml";
    writeFile(file,
              "instance: " + this->instanceName(number)
                  + "\nzone: " + this->zones[static_cast<std::size_t>(number) % this->zones.size()]
                  + "\nregion: " + this->options.deployment + "\ncaller-address: \"" + this->callerAddress(number)
                  + "\"\npeer-address: \"" + loopback(peerBasePort + number) + "\"\noperator-address: \""
                  + this->operatorAddress(number) + "\"\nplatform-addresses: [\"" + loopback(platformPort)
                  + "\"]\nworker-threads: 2\nkeep-ms: " + std::to_string(this->options.keepMs) + "\n");
    this->daemons[number] = Process(
        LYCHEEWALL_DAEMON, { "--settings", file }, this->directory + "/" + this->instanceName(number) + ".log");
}

Process &Fleet::daemon(int number)
{
    return this->daemons.at(number);
}

json Fleet::ask(const std::string &address,
                const std::string &method,
                const std::string &target,
                const std::string &body) const
{
    const auto answer = Lycheewall::BlockingClient::exchange(address, { method, target, {}, body }, 2);
    if (!answer) {
        return nullptr;
    }
    json parsed = json::parse(answer.value().body, nullptr, false);
    return parsed.is_discarded() ? json(answer.value().body) : parsed;
}

json Fleet::state(int number) const
{
    return this->ask(this->operatorAddress(number), "GET", "/state", "");
}

std::uint64_t Fleet::counterOf(int number, const std::string &fullName) const
{
    const json text = this->ask(this->operatorAddress(number), "GET", "/counters", "");
    return text.is_string() ? valueOfCounter(text.get<std::string>(), fullName) : 0;
}

std::uint64_t Fleet::counter(const std::string &fullName) const
{
    std::uint64_t sum = 0;
    for (const auto &[number, process] : this->daemons) {
        sum += this->counterOf(number, fullName);
    }
    return sum;
}

std::vector<int> Fleet::holders(const std::string &resource) const
{
    std::vector<int> found;
    for (const auto &[number, process] : this->daemons) {
        const json state = this->state(number);
        if (state.is_object() && std::count(state["held"].begin(), state["held"].end(), resource) > 0) {
            found.push_back(number);
        }
    }
    return found;
}

bool Fleet::awaitReady(std::chrono::milliseconds bound)
{
    std::size_t resources = 0;
    const YAML::Node parsed = YAML::Load(this->catalogueText);
    for (const auto &pool : parsed["pools"]) {
        constexpr std::size_t cut = 4;
        resources
            += pool.second["groups"] ? pool.second["groups"].size() : (pool.second["endpoints"].size() + cut - 1) / cut;
    }
    resources += parsed["organisations"].size();
    return waitFor(
        [&] {
            std::size_t held = 0;
            for (const auto &[number, process] : this->daemons) {
                const json state = this->state(number);
                if (!state.is_object() || state.value("state", "") != "ready") {
                    return false;
                }
                held += state["held"].size();
            }
            return held == resources;
        },
        bound);
}

std::string Fleet::catalogue() const
{
    return this->catalogueText;
}

int Fleet::publishCatalogue(const std::string &text)
{
    return this->ask(loopback(platformControlPort), "POST", "/publish/catalogue", text)["version"];
}

int Fleet::publishInstances(const std::vector<int> &listed)
{
    return this->ask(
        loopback(platformControlPort), "POST", "/publish/instances", this->instanceListText(listed))["version"];
}

void Fleet::platformMode(const std::string &mode)
{
    this->ask(loopback(platformControlPort), "POST", "/mode/" + mode, "");
}

json Fleet::platformCalls() const
{
    return this->ask(loopback(platformControlPort), "GET", "/calls", "");
}

bool Fleet::awaitVersion(const std::vector<int> &numbers,
                         const std::string &name,
                         int version,
                         std::chrono::milliseconds bound) const
{
    return waitFor(
        [&] {
            for (const int number : numbers) {
                const json state = this->state(number);
                if (!state.is_object() || state[name + "-version"] < version) {
                    return false;
                }
            }
            return true;
        },
        bound);
}

void Fleet::endpoints(const std::string &command)
{
    this->ask(loopback(endpointControlPort), "POST", "/" + command, "");
}

json Fleet::endpointStats() const
{
    return this->ask(loopback(endpointControlPort), "GET", "/stats", "");
}

std::uint64_t Fleet::endpointSum(const std::string &name) const
{
    std::uint64_t sum = 0;
    const json stats = this->endpointStats();
    for (const auto &[id, endpoint] : stats.items()) {
        sum += endpoint.at(name).get<std::uint64_t>();
    }
    return sum;
}

std::string Fleet::keyOf(const std::string &organisation) const
{
    const std::string file = std::string(LYCHEEWALL_EXAMPLES) + "/" + this->options.deployment + "/demo-keys.yaml";
    const YAML::Node key = YAML::LoadFile(file)[organisation];
    return key ? key.as<std::string>() : "";
}

std::shared_ptr<CallerRun>
Fleet::callers(const std::vector<CallerStream> &streams, double seconds, const std::vector<std::string> &more)
{
    std::string text;
    for (const CallerStream &stream : streams) {
        text += text.empty() ? "" : ";";
        text += this->keyOf(stream.organisation) + "," + stream.pool + "," + stream.kind + ","
            + std::to_string(stream.rate) + "," + (stream.organisation.empty() ? "open" : stream.organisation);
    }
    std::string addresses;
    for (const auto &[number, process] : this->daemons) {
        addresses += addresses.empty() ? "" : ",";
        addresses += this->callerAddress(number);
    }
    const std::string name = this->directory + "/callers-" + std::to_string(++this->callerRuns);
    std::vector<std::string> arguments {
        "--addresses", addresses,
        "--streams",   text,
        "--seconds",   std::to_string(seconds),
        "--seed",      std::to_string(this->options.seed + static_cast<std::uint64_t>(this->callerRuns)),
        "--answers",   name + ".answers"
    };
    arguments.insert(arguments.end(), more.begin(), more.end());
    Process process(STANDIN_PROGRAMS "/standin_callers", arguments, name + ".out");
    return std::make_shared<CallerRun>(std::move(process), name + ".out");
}

json Fleet::checkLogs(std::string &violations)
{
    std::string answers;
    for (int run = 1; run <= this->callerRuns; ++run) {
        answers += readFile(this->directory + "/callers-" + std::to_string(run) + ".answers");
    }
    writeFile(this->directory + "/answers.jsonl", answers);
    const std::string output = this->directory + "/checker.out";
    std::filesystem::remove(output);
    Process checker(STANDIN_PROGRAMS "/log_checker",
                    { "--endpoints", this->directory + "/runs.jsonl", "--answers", this->directory + "/answers.jsonl" },
                    output);
    checker.wait(std::chrono::seconds(60));
    violations = readFile(output);
    return json::parse(lastLine(violations), nullptr, false);
}

}
