#include "singleinstance.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace Soak
{

namespace
{

namespace http = boost::beast::http;
using namespace std::chrono_literals;

constexpr int portsOfInstance = 10;
constexpr int lastPeerPortOffset = 7;
constexpr int firstPortOfAll = 22900;
constexpr auto startTimeout = 20s;

}

std::uint16_t portOf(const std::string &address)
{
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
}

std::size_t peakMemoryKb(pid_t process)
{
    constexpr const char *field = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word && word != field) { }
    std::size_t kilobytes = 0;
    status >> kilobytes;
    return kilobytes;
}

std::string endpointEntry(const std::string &service, std::uint16_t port)
{
    return nlohmann::json {
        { "Service", service },   { "Address", "127.0.0.1:" + std::to_string(port) },
        { "Zone", "z" },          { "Version", "v1" },
        { "Slots", 64 },          { "State", "ready" },
        { "WarmupLeftMs", 0 },    { "Sequence", 1 },
        { "born", 1700000000123 }
    }.dump();
}

nlohmann::json publicRoute(const std::string &name,
                           const std::string &kind,
                           const std::string &service,
                           std::chrono::milliseconds timeout)
{
    return {
        { "Name", name },    { "Host", "instance.example" },   { "Prefix", "/" + name + "/" }, { "Kind", kind },
        { "Public", true },  { "TimeoutMs", timeout.count() }, { "TargetLatencyMs", 800 },     { "Service", service },
        { "MaxAttempts", 1 }
    };
}

SingleInstance::SingleInstance(int number, int gracePeriodS)
    : ip("127.250.1." + std::to_string(number))
    , firstPort(firstPortOfAll + number * portsOfInstance)
    , gracePeriod(gracePeriodS)
{
    this->folder = mkdtemp(this->folder.data());
}

SingleInstance::~SingleInstance()
{
    ::unsetenv("LYCHEEWALL_CONFIG");
    this->io.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
    std::filesystem::remove_all(this->folder);
}

boost::asio::ip::tcp::endpoint SingleInstance::address(Listener listener) const
{
    int port = this->firstPort;
    switch (listener) {
    case Listener::Callers:
        break;
    case Listener::Peers:
        port += 1;
        break;
    case Listener::Metrics:
        port += 2;
        break;
    case Listener::Readiness:
        port += lastPeerPortOffset + 1;
        break;
    case Listener::Directory:
        port += lastPeerPortOffset + 2;
        break;
    }
    return { boost::asio::ip::make_address(this->ip), static_cast<std::uint16_t>(port) };
}

std::string SingleInstance::settings() const
{
    const auto text = [this](Listener listener) {
        return "\"" + this->ip + ":" + std::to_string(this->address(listener).port()) + "\"\n";
    };
    std::string settings = "NodeName: \"instance\"\nIp: \"" + this->ip + "\"\nZone: \"z\"\nSeedNodes: []\n";
    settings += "ListenAddresses:\n  Front: " + text(Listener::Callers);
    settings += "  Ready: " + text(Listener::Readiness);
    settings += "  directory: " + text(Listener::Directory);
    settings += "InternalPortRange: [" + std::to_string(this->firstPort + 1) + ", "
        + std::to_string(this->firstPort + lastPeerPortOffset) + "]\n";
    settings += "Bounds:\n  GracePeriodS: " + std::to_string(this->gracePeriod) + "\n";
    settings += "platform:\n  Address: \"" + this->store.address() + "\"\n";
    return settings;
}

bool SingleInstance::start(const nlohmann::json &configuration,
                           const std::map<std::string, std::string> &entriesById,
                           const std::string &moreSettings)
{
    this->store.set("op/config", configuration.dump());
    for (const auto &[id, entry] : entriesById) {
        this->store.set("servers/" + id, entry);
    }
    this->thread = std::thread([this] { this->io.run(); });
    const std::string settingsFile = this->folder + "/settings.yaml";
    Integration::writeFile(settingsFile, this->settings() + moreSettings);
    ::setenv("LYCHEEWALL_CONFIG", settingsFile.c_str(), 1);
    const char *otherProgram = std::getenv("LYCHEEWALL_TESTED_PROGRAM");
    this->instance = Integration::Process(
        otherProgram == nullptr ? LYCHEEWALL_PLATFORMD : otherProgram, {}, this->folder + "/log");
    const auto isReady = [&] {
        const std::string log = Integration::readFile(this->folder + "/log");
        bool ready = log.find("Ready to serve requests") != std::string::npos;
        for (const auto &[id, entry] : entriesById) {
            ready = ready && log.find("Endpoint " + id) != std::string::npos;
        }
        return ready;
    };
    return Integration::waitFor(isReady, startTimeout);
}

int SingleInstance::sendRequest(const std::string &method,
                                const std::string &path,
                                const std::string &attemptId,
                                std::chrono::milliseconds deadline,
                                std::chrono::steady_clock::time_point sendAt) const
{
    boost::asio::io_context requestIo;
    boost::asio::ip::tcp::socket socket(requestIo);
    boost::system::error_code error;
    socket.connect(this->address(Listener::Callers), error);
    std::this_thread::sleep_until(sendAt);
    http::request<http::string_body> request(http::string_to_verb(method), path, 11);
    request.set(http::field::host, "instance.example");
    request.set("X-Lycheewall-Attempt-Id", attemptId);
    request.set("X-Lycheewall-Deadline-Ms", std::to_string(deadline.count()));
    request.prepare_payload();
    if (!error) {
        http::write(socket, request, error);
    }
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error) {
        http::read(socket, buffer, response, error);
    }
    return error ? 0 : static_cast<int>(response.result_int());
}

boost::asio::io_context &SingleInstance::context()
{
    return this->io;
}

Integration::Process &SingleInstance::process()
{
    return this->instance;
}

}
