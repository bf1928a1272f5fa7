#pragma once

// Stand-ins for the platform's store, the servers and the clients, and the processes under test. They speak what
// PROTOCOL.md says, on loopback addresses only, and need nothing but the C++ standard library and POSIX.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review
{

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// Seconds on the steady clock since the program started.
inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleepUntil(double time)
{
    sleepFor(time - now());
}

/// False if the environment asks for a run without the disruption.
inline bool isTroubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// The file record.txt. Thread safety: any thread.
class Record
{
public:
    static void open(const std::string &path)
    {
        file().open(path, std::ios::trunc);
    }
    static void write(const std::string &text)
    {
        static std::mutex mutex;
        const std::lock_guard<std::mutex> lock(mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f  ", now());
        file() << time << text << std::endl;
    }

private:
    static std::ofstream &file()
    {
        static std::ofstream stream;
        return stream;
    }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::string header(const std::string &name) const
    {
        return headerOf(this->headers, name);
    }
    std::string path() const
    {
        return this->target.substr(0, this->target.find('?'));
    }
    /// Value of a query parameter, decoded.
    std::string parameter(const std::string &name) const
    {
        std::size_t start = this->target.find('?');
        while (start != std::string::npos) {
            const std::size_t end = this->target.find('&', start + 1);
            const std::string pair = this->target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
            if (pair.compare(0, name.size() + 1, name + "=") == 0) {
                return decodePercent(pair.substr(name.size() + 1));
            }
            start = end;
        }
        return {};
    }

private:
    static std::string decodePercent(const std::string &text)
    {
        std::string result;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '%' && index + 2 < text.size()) {
                result.push_back(static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16)));
                index += 2;
            } else {
                result.push_back(text[index]);
            }
        }
        return result;
    }
};

struct Reply
{
    int status = 200;
    Headers headers;
    std::string body;
    /// The answer is lost, and the connection returns nothing further.
    bool isLost = false;
    /// The connection is closed without an answer.
    bool isBrokenOff = false;
};

/// Buffered reading from a socket.
class Reader
{
public:
    explicit Reader(int socket)
        : fd(socket)
    {
    }
    /// Returns false at the end of the stream, after an error and after the timeout.
    bool fill(double timeout = -1)
    {
        pollfd item { this->fd, POLLIN, 0 };
        if (timeout >= 0 && ::poll(&item, 1, static_cast<int>(timeout * 1000)) <= 0) {
            return false;
        }
        char bytes[65536];
        const ssize_t size = ::recv(this->fd, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            this->ended = true;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    bool readLine(std::string &line, double timeout = -1)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill(timeout)) {
                return false;
            }
        }
        line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return true;
    }
    bool readBytes(std::size_t size, std::string &bytes, double timeout = -1)
    {
        while (this->buffer.size() < size) {
            if (!this->fill(timeout)) {
                return false;
            }
        }
        bytes = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return true;
    }
    bool readHeaders(Headers &headers, double timeout = -1)
    {
        std::string line;
        while (this->readLine(line, timeout)) {
            if (line.empty()) {
                return true;
            }
            const std::size_t colon = line.find(':');
            std::size_t value = colon == std::string::npos ? line.size() : colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            headers.emplace_back(line.substr(0, colon), line.substr(value));
        }
        return false;
    }
    bool readBody(const Headers &headers, std::string &body, double timeout = -1)
    {
        if (strcasecmp(headerOf(headers, "Transfer-Encoding").c_str(), "chunked") != 0) {
            const std::string length = headerOf(headers, "Content-Length");
            return length.empty() || this->readBytes(std::stoul(length), body, timeout);
        }
        for (;;) {
            std::string line;
            std::string chunk;
            if (!this->readLine(line, timeout)) {
                return false;
            }
            const std::size_t size = std::stoul(line, nullptr, 16);
            if (!this->readBytes(size, chunk, timeout) || !this->readLine(line, timeout)) {
                return false;
            }
            body += chunk;
            if (size == 0) {
                return true;
            }
        }
    }

    std::string buffer;
    bool ended = false;

private:
    int fd;
};

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// An HTTP/1.1 server on a free loopback port, with a thread for each connection.
class HttpServer
{
public:
    using Handler = std::function<Reply(const Request &)>;

    explicit HttpServer(Handler requestHandler)
        : handler(std::move(requestHandler))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = socketAddress("127.0.0.1", 0);
        socklen_t size = sizeof(address);
        if (::bind(this->listener, reinterpret_cast<sockaddr *>(&address), size) != 0
            || ::listen(this->listener, 512) != 0) {
            std::exit(couldNotRun);
        }
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size);
        this->port = ntohs(address.sin_port);
        std::thread([this] { this->acceptAll(); }).detach();
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }
    /// Ends as a process does: closes the port and all connections.
    void stop()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopped = true;
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        for (const int fd : this->connections) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void acceptAll()
    {
        for (;;) {
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                if (this->stopped) {
                    ::close(fd);
                    return;
                }
                this->connections.insert(fd);
            }
            std::thread([this, fd] {
                this->serve(fd);
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->connections.erase(fd);
                ::close(fd);
            }).detach();
        }
    }
    void serve(int fd)
    {
        Reader reader(fd);
        std::string line;
        while (reader.readLine(line)) {
            Request request;
            std::istringstream words(line);
            words >> request.method >> request.target;
            if (!reader.readHeaders(request.headers) || !reader.readBody(request.headers, request.body)) {
                return;
            }
            const Reply reply = this->handler(request);
            if (reply.isBrokenOff) {
                return;
            }
            if (reply.isLost) {
                while (reader.fill()) {
                    reader.buffer.clear();
                }
                return;
            }
            std::string text = "HTTP/1.1 " + std::to_string(reply.status) + " Status\r\n";
            for (const auto &[name, value] : reply.headers) {
                text += name + ": " + value + "\r\n";
            }
            text += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n";
            if (request.method != "HEAD") {
                text += reply.body;
            }
            if (!sendAll(fd, text)) {
                return;
            }
        }
    }

    Handler handler;
    int listener = -1;
    int port = 0;
    std::mutex mutex;
    bool stopped = false;
    std::set<int> connections;
};

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        unsigned group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = group << 8U
                | (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
        }
        for (int digit = 0; digit < 4; ++digit) {
            const bool isPadding = index + static_cast<std::size_t>(digit) > bytes.size();
            text.push_back(isPadding ? '=' : digits[(group >> (18U - 6U * static_cast<unsigned>(digit))) & 63U]);
        }
    }
    return text;
}

/// The platform's store, as far as the system may call it.
class Store
{
public:
    Store()
        : server([this](const Request &request) { return this->handle(request); })
    {
    }
    std::string address() const
    {
        return this->server.address();
    }
    /// Writes an item; the return is the acknowledgement.
    double put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->removed.erase(key);
        this->items[key] = { value, ++this->revision };
        Record::write("store: acknowledges " + key + " at revision " + std::to_string(this->revision));
        this->changed.notify_all();
        return now();
    }
    double remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->items.erase(key);
        this->removed[key] = ++this->revision;
        Record::write("store: removes " + key + " at revision " + std::to_string(this->revision));
        this->changed.notify_all();
        return now();
    }
    /// The answer to the next watch that has something to report is lost.
    void loseNextChange()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->losesNextChange = true;
    }
    /// Time at which the answer was lost; negative if none was.
    double lostAt()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->lossTime;
    }
    int answersSince(double time)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        int count = 0;
        for (const double at : this->answerTimes) {
            count += at >= time ? 1 : 0;
        }
        return count;
    }

private:
    struct Item
    {
        std::string value;
        long revision = 0;
    };

    static std::string encode(const std::string &key, const Item &item)
    {
        const std::string number = std::to_string(item.revision);
        return R"({"Key":")" + key + R"(","Value":")" + encodeBase64(item.value) + R"(","Revision":)" + number
            + R"(,"Created":)" + number + R"(,"Lease":0})";
    }
    static Reply json(const std::string &text)
    {
        Reply reply;
        reply.headers = { { "Content-Type", "application/json" } };
        reply.body = text;
        return reply;
    }
    Reply handle(const Request &request)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        Reply reply;
        if (request.path() == "/v1/kv-range") {
            reply = this->range(request.parameter("Prefix"), request.parameter("after"));
        } else if (request.path() == "/v1/kv-watch") {
            reply = this->watch(request, lock);
        } else {
            reply.status = 404;
        }
        this->answerTimes.push_back(now());
        return reply;
    }
    Reply range(const std::string &prefix, const std::string &after)
    {
        std::string list;
        for (const auto &[key, item] : this->items) {
            if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
                list += (list.empty() ? "" : ",") + encode(key, item);
            }
        }
        return json(R"({"items":[)" + list + R"(],"HasMore":false,"At":)" + std::to_string(this->revision) + "}");
    }
    Reply watch(const Request &request, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = request.parameter("Prefix");
        const long after = std::atol(request.parameter("after").c_str());
        const auto wait = std::chrono::milliseconds(std::atol(request.parameter("WaitTimeoutMs").c_str()));
        this->changed.wait_for(lock, wait, [this, after] { return this->revision > after; });
        std::map<long, std::string> events;
        for (const auto &[key, item] : this->items) {
            if (item.revision > after && key.compare(0, prefix.size(), prefix) == 0) {
                events[item.revision] = encode(key, item);
            }
        }
        for (const auto &[key, removedAt] : this->removed) {
            if (removedAt > after && key.compare(0, prefix.size(), prefix) == 0) {
                events[removedAt]
                    = R"({"Key":")" + key + R"(","Revision":)" + std::to_string(removedAt) + R"(,"Deleted":true})";
            }
        }
        std::string list;
        for (const auto &[number, event] : events) {
            list += (list.empty() ? "" : ",") + event;
        }
        Reply reply = json(R"({"events":[)" + list + R"(],"At":)" + std::to_string(this->revision) + "}");
        if (!events.empty() && this->losesNextChange) {
            this->losesNextChange = false;
            this->lossTime = now();
            reply.isLost = true;
            Record::write("store: the answer to a watch is lost; its connection returns nothing further");
        }
        return reply;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::map<std::string, long> removed;
    long revision = 100;
    bool losesNextChange = false;
    double lossTime = -1;
    std::vector<double> answerTimes;
    HttpServer server;
};

/// A request that a server ran.
struct Run
{
    double at = 0;
    std::string server;
    std::string service;
    std::string attemptId;
    std::string method;
    std::string target;
    std::string tenant;
};

/// All that the servers of a case ran. Thread safety: any thread.
class Runs
{
public:
    void add(const Run &run)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->runs.push_back(run);
        Record::write(run.server + " of " + run.service + ": runs " + run.attemptId + ' ' + run.method + ' '
                      + run.target + (run.tenant.empty() ? "" : " tenant=" + run.tenant));
    }
    std::vector<Run> all()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->runs;
    }
    std::vector<Run> of(const std::string &attemptId)
    {
        std::vector<Run> result;
        for (const Run &run : this->all()) {
            if (run.attemptId == attemptId) {
                result.push_back(run);
            }
        }
        return result;
    }

private:
    std::mutex mutex;
    std::vector<Run> runs;
};

/// A server of a service.
class Server
{
public:
    /// @p workSeconds: how long a request runs.
    Server(Store &platformStore,
           Runs &allRuns,
           std::string serverId,
           std::string ofService,
           std::string inZone,
           double workSeconds = 0.005,
           int slotCount = 6)
        : store(platformStore)
        , runs(allRuns)
        , id(std::move(serverId))
        , service(std::move(ofService))
        , zone(std::move(inZone))
        , work(workSeconds)
        , slots(slotCount)
        , server([this](const Request &request) { return this->handle(request); })
    {
        this->report("ready");
    }
    /// Writes the server's entry; the return is the time of the acknowledgement.
    double report(const std::string &state)
    {
        return this->store.put("servers/" + this->id,
                               R"({"Service":")" + this->service + R"(","Address":")" + this->server.address()
                                   + R"(","Zone":")" + this->zone + R"(","Version":"v1","Slots":)"
                                   + std::to_string(this->slots) + R"(,"State":")" + state
                                   + R"(","WarmupLeftMs":0,"Sequence":1,"born":1700000000000})");
    }
    void stop()
    {
        Record::write(this->id + ": ends");
        this->ended = true;
        this->server.stop();
    }

    /// Bytes with which the server answers @p attemptId.
    static std::string bodyFor(const std::string &attemptId)
    {
        return "answer to " + attemptId + "\n";
    }

private:
    Reply handle(const Request &request)
    {
        Reply reply;
        if (request.path() == "/health") {
            reply.headers = { { "X-Lycheewall-Instance-Id", this->id } };
            return reply;
        }
        const std::string attemptId = request.header("X-Lycheewall-Attempt-Id");
        const std::string target = request.header("X-Lycheewall-Target-Instance");
        reply.headers.emplace_back("X-Lycheewall-Attempt-Id", attemptId);
        if (!target.empty() && target != this->id) {
            reply.status = 421;
            return reply;
        }
        this->runs.add({ now(),
                         this->id,
                         this->service,
                         attemptId,
                         request.method,
                         request.target,
                         request.header("X-Lycheewall-Tenant") });
        sleepFor(this->work);
        if (this->ended) {
            reply.isBrokenOff = true;
            return reply;
        }
        reply.headers.emplace_back("X-Lycheewall-Server-Stamp", this->id + "." + attemptId);
        reply.body = bodyFor(attemptId);
        return reply;
    }

    Store &store;
    Runs &runs;
    std::string id;
    std::string service;
    std::string zone;
    double work;
    int slots;
    std::atomic<bool> ended { false };
    HttpServer server;
};

/// A process of the system, started with the run command of the deploy file.
class Daemon
{
public:
    /// Ports and first two address bytes that the machines of a case share.
    struct Network
    {
        std::string prefix;
        int port = 0;
    };

    static Network chooseNetwork()
    {
        std::mt19937 random(static_cast<unsigned>(::getpid()) ^ static_cast<unsigned>(::time(nullptr)));
        for (int tries = 0; tries < 50; ++tries) {
            Network network;
            network.prefix = "127." + std::to_string(20 + random() % 200) + '.' + std::to_string(1 + random() % 250);
            network.port = static_cast<int>(12000 + random() % 18000);
            if (isFree(network)) {
                return network;
            }
        }
        std::exit(couldNotRun);
    }

    Daemon(const Network &machineNetwork,
           int machineNumber,
           std::string inZone,
           const std::string &storeAddress,
           const std::string &workFolder)
        : network(machineNetwork)
        , number(machineNumber)
        , zone(std::move(inZone))
        , folder(workFolder)
    {
        std::ofstream(this->settingsPath()) << this->settings(storeAddress);
    }
    ~Daemon()
    {
        this->kill(SIGKILL);
        this->wait();
    }
    std::string name() const
    {
        return "front-" + std::to_string(this->number);
    }
    std::string ip() const
    {
        return this->network.prefix + '.' + std::to_string(this->number);
    }
    int frontPort() const
    {
        return this->network.port + 3;
    }
    int readyPort() const
    {
        return this->network.port + 4;
    }
    void start()
    {
        const char *program = "target/platform/lycheewall-platformd";
        Record::write("start " + this->name() + " at " + this->ip() + ':' + std::to_string(this->frontPort()));
        const std::string variable = "LYCHEEWALL_CONFIG=" + this->settingsPath();
        const std::string log = this->folder + '/' + this->name() + ".log";
        const pid_t parent = ::getpid();
        this->pid = ::fork();
        if (this->pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(couldNotRun);
            }
            const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(file, STDOUT_FILENO);
            ::dup2(file, STDERR_FILENO);
            char *arguments[] = { const_cast<char *>(program), nullptr };
            char *environment[] = { const_cast<char *>(variable.c_str()),
                                    const_cast<char *>("PATH=/usr/bin:/bin"),
                                    const_cast<char *>("LANG=C.UTF-8"),
                                    nullptr };
            ::execve(program, arguments, environment);
            ::_exit(127);
        }
    }
    void kill(int signal) const
    {
        if (this->pid > 0) {
            ::kill(this->pid, signal);
        }
    }
    void wait()
    {
        if (this->pid > 0) {
            ::waitpid(this->pid, nullptr, 0);
            this->pid = -1;
        }
    }
    /// True if the process has ended.
    bool hasEnded()
    {
        int status = 0;
        if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->pid = -1;
        }
        return this->pid <= 0;
    }
    bool isReady() const;
    /// Resident memory of the process in kilobytes; 0 if it is unknown.
    long memoryKb() const
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.compare(0, 6, "VmRSS:") == 0) {
                return std::atol(line.c_str() + 6);
            }
        }
        return 0;
    }

private:
    static bool isFree(const Network &network)
    {
        for (int machine = 1; machine <= 3; ++machine) {
            for (int offset = 0; offset < 26; ++offset) {
                const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const sockaddr_in address
                    = socketAddress(network.prefix + '.' + std::to_string(machine), network.port + offset);
                const bool isBound = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
                ::close(fd);
                if (!isBound) {
                    return false;
                }
            }
        }
        return true;
    }
    std::string settingsPath() const
    {
        return this->folder + '/' + this->name() + ".yaml";
    }
    std::string settings(const std::string &storeAddress) const
    {
        const auto at = [this](int offset) {
            return '"' + this->ip() + ':' + std::to_string(this->network.port + offset) + '"';
        };
        const auto seed = [this](int machine) {
            return "  - \"" + this->network.prefix + '.' + std::to_string(machine) + ':'
                + std::to_string(this->network.port) + "\"\n";
        };
        return "NodeName: \"" + this->name() + "\"\nRole: \"gateway\"\nMachineClass: \"front\"\n"
            + "Serves:\n  - \"front\"\n  - \"control_plane\"\n  - \"directory\"\nIp: \"" + this->ip() + "\"\nZone: \""
            + this->zone + "\"\nRegion: \"lk-central\"\nZones:\n  kandy-a: \"lk-central\"\n"
            + "  nuwara-b: \"lk-central\"\n  badulla-c: \"lk-central\"\nListenAddresses:\n  Front: " + at(3)
            + "\n  Ready: " + at(4) + "\n  Control: " + at(0) + "\n  directory: " + at(5) + "\nInternalPortRange:\n  - "
            + std::to_string(this->network.port + 10) + "\n  - " + std::to_string(this->network.port + 25)
            + "\nSeedNodes:\n" + seed(1) + seed(2) + seed(3) + "Bootstrap: true\nLossCounts: false\nLimits:\n"
            + "  CpuShare: 0.25\n  CpuCores: 1\n  MemoryMb: 260\n  MaxFds: 4100\n  LinkMbps: 1000.0\n  DiskMb: 0\n"
            + "DataDir: null\nDiscovery: \"platform\"\nEntry: \"directory\"\nHeartbeatMs: 1200\n"
            + "FaultTolerance:\n  Machines: 1\n  Zones: 1\n  Regions: 0\nBounds:\n  SeedStalenessS: 3\n"
            + "  AddressReuseS: 2\n  ContactMs: 4000\n  AckTimeoutMs: 5000\n  CatchUpS: 4\n  DrainTimeoutMs: 3000\n"
            + "  GracePeriodS: 6\n  LossSlackMs: 200\n  ConfigApplyMs: 3000\n  DowngradeSlackMs: 250\n"
            + "  MaxSkewMs: 12000\n  StrictRevocation: true\n  RevocationMs: 5000\n  RetryBudgetRatio: 0.2\n"
            + "  BudgetWindowS: 10\n  BudgetSlack: 52\n  QuotaWindowS: 5\n  QuotaOverage: 0.25\n"
            + "  QuotaTolerance: 20\n  WarmupOverage: 1.5\n  WarmupTolerance: 5\n  EvacuationMs: 5000\n"
            + "  RecoveryS: 12\n  ttl_max_s: 5\nplatform:\n  Address: \"" + storeAddress + "\"\n  form: \"read\"\n"
            + "  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  MaxValueBytes: 1048576\n  MinTtlMs: 1000\n";
    }

    Network network;
    int number;
    std::string zone;
    std::string folder;
    pid_t pid = -1;
};

/// The answer that a client got.
struct Answer
{
    /// False if the bytes on the connection are no answer in HTTP/1.1, or if it ended or timed out.
    bool isComplete = false;
    /// What was read when it is not complete.
    std::string raw;
    int status = 0;
    Headers headers;
    std::string body;
    std::string header(const std::string &name) const
    {
        return headerOf(this->headers, name);
    }
};

/// A connection of a client.
class Client
{
public:
    Client(const std::string &ip, int port)
        : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , reader(this->fd)
    {
        const sockaddr_in address = socketAddress(ip, port);
        this->connected = ::connect(this->fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        const int on = 1;
        ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;
    ~Client()
    {
        ::close(this->fd);
    }
    bool isConnected() const
    {
        return this->connected && !this->reader.ended;
    }
    bool send(const Request &request)
    {
        std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
        for (const auto &[name, value] : request.headers) {
            text += name + ": " + value + "\r\n";
        }
        if (!request.body.empty()) {
            text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        }
        return sendAll(this->fd, text + "\r\n" + request.body);
    }
    /// Reads the answer to a request with @p method, as RFC 9112 delimits it: one to HEAD has no body.
    Answer read(const std::string &method, double timeout)
    {
        Answer answer;
        std::string line;
        if (!this->reader.readLine(line, timeout)) {
            answer.raw = this->reader.buffer;
            return answer;
        }
        answer.raw = line;
        if (line.compare(0, 9, "HTTP/1.1 ") != 0) {
            return answer;
        }
        answer.status = std::atoi(line.c_str() + 9);
        answer.isComplete = this->reader.readHeaders(answer.headers, timeout)
            && (method == "HEAD" || this->reader.readBody(answer.headers, answer.body, timeout));
        return answer;
    }
    Answer exchange(const Request &request, double timeout)
    {
        return this->send(request) ? this->read(request.method, timeout) : Answer();
    }
    /// Bytes that arrive while no request is waiting.
    std::string unexpectedBytes(double timeout)
    {
        if (this->reader.buffer.empty()) {
            this->reader.fill(timeout);
        }
        return this->reader.buffer;
    }

private:
    int fd;
    bool connected = false;
    Reader reader;
};

inline bool Daemon::isReady() const
{
    Client client(this->ip(), this->readyPort());
    return client.isConnected()
        && client.exchange({ "GET", "/v1/ready", { { "Host", "ready" } }, {} }, 1).status == 200;
}

/// A case: the folder, the record, and the fleet of three machines in three zones.
class Case
{
public:
    /// @p folder: where record.txt is written. Ends the program if it runs for too long.
    explicit Case(const std::string &folder)
    {
        now();
        std::signal(SIGPIPE, SIG_IGN);
        Record::open(folder + "/record.txt");
        Record::write(std::string("trouble: ") + (isTroubleWanted() ? "yes" : "no"));
        char path[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(path) == nullptr) {
            std::exit(couldNotRun);
        }
        this->workFolder = path;
        std::thread([] {
            sleepFor(110);
            std::cerr << "the case took too long\n";
            ::_exit(couldNotRun);
        }).detach();
    }
    /// Starts three machines and waits until all are ready and know each other.
    bool startFleet(const std::string &storeAddress)
    {
        const Daemon::Network network = Daemon::chooseNetwork();
        const std::vector<std::string> zones { "kandy-a", "nuwara-b", "badulla-c" };
        for (int number = 1; number <= 3; ++number) {
            this->daemons.push_back(
                std::make_unique<Daemon>(network, number, zones[number - 1], storeAddress, this->workFolder));
            this->daemons.back()->start();
        }
        const double deadline = now() + 20;
        for (const auto &daemon : this->daemons) {
            while (!daemon->isReady()) {
                if (now() > deadline || daemon->hasEnded()) {
                    Record::write(daemon->name() + " does not get ready");
                    return false;
                }
                sleepFor(0.05);
            }
        }
        sleepFor(4);
        Record::write("all machines are ready");
        return true;
    }
    /// Ends all processes and the program.
    [[noreturn]] void finish(int result, const std::string &summary)
    {
        Record::write("result " + std::to_string(result) + ": " + summary);
        std::cout << summary << std::endl;
        for (const auto &daemon : this->daemons) {
            daemon->kill(SIGKILL);
            daemon->wait();
        }
        const char *kept = std::getenv("KEEP_LOGS");
        if (kept == nullptr) {
            const std::string command = "rm -rf " + this->workFolder;
            if (std::system(command.c_str()) != 0) {
                std::cerr << this->workFolder << " could not be removed\n";
            }
        } else {
            std::cout << "logs: " << this->workFolder << std::endl;
        }
        ::_exit(result);
    }

    std::vector<std::unique_ptr<Daemon>> daemons;

private:
    std::string workFolder;
};

/// Id of a new client attempt.
inline std::string newAttemptId()
{
    static std::atomic<unsigned> next { 0 };
    char text[32];
    std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(::getpid()), ++next);
    return text;
}

/// A request of a client, with its own attempt id.
inline Request clientRequest(const std::string &method,
                             const std::string &target,
                             int deadlineMs,
                             const std::string &key = {},
                             const std::string &body = {})
{
    Request request { method,
                      target,
                      { { "Host", "hufi27.example" },
                        { "X-Lycheewall-Attempt-Id", newAttemptId() },
                        { "X-Lycheewall-Deadline-Ms", std::to_string(deadlineMs) } },
                      body };
    if (!key.empty()) {
        request.headers.emplace_back("Authorization", "Token " + key);
    }
    return request;
}

struct RouteText
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 5000;
    int targetLatencyMs = 800;
    bool isPublic = false;
    int maxAttempts = 2;
};

/// The operator's configuration. @p tenants is the JSON list of tenants; without a value the configuration has none.
inline std::string configuration(int version,
                                 const std::vector<RouteText> &routes,
                                 const std::vector<std::pair<std::string, int>> &services,
                                 const std::optional<std::string> &tenants)
{
    std::string routeList;
    for (const RouteText &route : routes) {
        routeList += (routeList.empty() ? "" : ",") + std::string(R"({"Name":")") + route.name
            + R"(","Host":"hufi27.example","Prefix":")" + route.prefix + R"(","Kind":")" + route.kind
            + R"(","TimeoutMs":)" + std::to_string(route.timeoutMs) + R"(,"TargetLatencyMs":)"
            + std::to_string(route.targetLatencyMs) + R"(,"Priority":2,"Service":")" + route.service
            + R"(","MaxAttempts":)" + std::to_string(route.maxAttempts) + R"(,"Public":)"
            + (route.isPublic ? "true}" : "false}");
    }
    std::string serviceList;
    for (const auto &[name, connections] : services) {
        serviceList += (serviceList.empty() ? "" : ",") + std::string(R"({"Name":")") + name
            + R"(","HealthCheckPath":"/health","MaxConnections":)" + std::to_string(connections)
            + R"(,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0})";
    }
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" + routeList + R"(],"Services":[)" + serviceList
        + R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000})"
        + (tenants ? R"(,"Tenants":)" + *tenants : std::string()) + "}";
}

}
