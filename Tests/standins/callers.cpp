// Open-loop load generator for the caller interface. Like real callers, it discovers the instances by a request,
// refreshes their list when it expires, and connects to them directly.
#include "runtime/await.h"
#include "runtime/socketaddress.h"
#include "runtime/worker.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cmath>
#include <csignal>
#include <fstream>
#include <future>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <sys/socket.h>

DEFINE_string(addresses, "", "caller addresses for the first discovery request, comma-separated ip:port");
DEFINE_string(streams, "", "key,pool,query|request|once,rate per second,organisation; several separated by semicolons");
DEFINE_double(seconds, 5, "how long requests are sent");
DEFINE_int32(deadline_ms, 2000, "deadline of each request");
DEFINE_uint64(seed, 1, "seed for the arrival times and the choice of addresses");
DEFINE_string(answers, "", "log file, one JSON line per reply");
DEFINE_double(mark_seconds, 0, "length of the intervals for which separate figures are printed; 0 for none");

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Lycheewall::awaitCompletion;
using Lycheewall::awaitValue;
using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

struct RequestStream
{
    std::string key;
    std::string pool;
    std::string kind;
    double rate = 0;
    std::string organisation;
};

struct Sample
{
    std::size_t stream = 0;
    double scheduledAtSeconds = 0;
    double latencyMs = 0;
    /// "complete", "partial", a refusal code, or "cut" if the exchange failed.
    std::string outcome;
    double coverage = 0;
};

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> items;
    std::stringstream stream(text);
    for (std::string item; std::getline(stream, item, separator);) {
        items.push_back(item);
    }
    return items;
}

/// Sends the requests of all streams. Thread safety: all fibers run on one worker, so no locks are needed.
class LoadGenerator
{
public:
    LoadGenerator(Lycheewall::Worker &runningWorker, std::vector<RequestStream> allStreams)
        : worker(runningWorker)
        , streams(std::move(allStreams))
        , random(FLAGS_seed)
        , addresses(split(FLAGS_addresses, ','))
        , replyLog(FLAGS_answers)
    {
    }

    void run()
    {
        this->start = SteadyClock::now();
        this->refreshAddresses();
        for (std::size_t index = 0; index < this->streams.size(); ++index) {
            ++this->activeFibers;
            boost::fibers::fiber([this, index] { this->generateArrivals(index); }).detach();
        }
        while (this->activeFibers > 0) {
            boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
            if (SteadyClock::now() >= this->addressesValidUntil && this->secondsNow() < FLAGS_seconds) {
                this->refreshAddresses();
            }
        }
        this->connections.clear();
        this->replyLog.close();
    }

    json summaryOfInterval(double from, double to) const;
    json summaryOf(const std::vector<Sample> &selected) const;
    const std::vector<Sample> &allSamples() const
    {
        return this->samples;
    }
    std::vector<Sample> samplesOf(std::size_t stream) const;

private:
    using Connection = std::unique_ptr<beast::tcp_stream>;
    using Response = http::response<http::string_body>;

    double secondsNow() const
    {
        return std::chrono::duration<double>(SteadyClock::now() - this->start).count();
    }

    void generateArrivals(std::size_t index)
    {
        std::mt19937_64 times(FLAGS_seed * 1000 + index);
        std::exponential_distribution<double> gap(this->streams[index].rate);
        double scheduledAt = gap(times);
        while (scheduledAt < FLAGS_seconds) {
            boost::this_fiber::sleep_until(
                this->start
                + std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(scheduledAt)));
            ++this->activeFibers;
            const double scheduledTime = scheduledAt;
            boost::fibers::fiber([this, index, scheduledTime] {
                this->send(index, scheduledTime);
                --this->activeFibers;
            }).detach();
            scheduledAt += gap(times);
        }
        --this->activeFibers;
    }

    std::string makeBody(const RequestStream &stream)
    {
        const std::string text = "words-" + std::to_string(++this->sequence);
        if (stream.kind == "query") {
            return json { { "query", text }, { "deadline-ms", FLAGS_deadline_ms } }.dump();
        }
        return json {
            { "body", text }, { "idempotent", stream.kind != "once" }, { "deadline-ms", FLAGS_deadline_ms }
        }.dump();
    }

    void send(std::size_t index, double scheduledTime)
    {
        const RequestStream &stream = this->streams[index];
        const std::string action = stream.kind == "query" ? "query" : "request";
        http::request<http::string_body> request(
            http::verb::post, "/v1/pools/" + stream.pool + "/" + action, 11, this->makeBody(stream));
        request.set(http::field::host, "lycheewall");
        if (!stream.key.empty()) {
            request.set(http::field::authorization, "Bearer " + stream.key);
        }
        request.prepare_payload();
        const std::string address
            = this->addresses.empty() ? "" : this->addresses[this->random() % this->addresses.size()];
        const auto response = this->exchange(address, request);
        this->recordReply(index, scheduledTime, response);
    }

    std::optional<Response> exchange(const std::string &address, const http::request<http::string_body> &request)
    {
        Connection connection = this->connect(address);
        if (!connection) {
            return this->reportFailure(address, "connect", {});
        }
        connection->expires_after(std::chrono::milliseconds(FLAGS_deadline_ms + 3000));
        const auto [writeError, written]
            = awaitValue<std::size_t>([&](auto done) { http::async_write(*connection, request, std::move(done)); });
        if (writeError) {
            return this->reportFailure(address, "write", writeError);
        }
        beast::flat_buffer buffer;
        Response response;
        const auto [readError, size] = awaitValue<std::size_t>(
            [&](auto done) { http::async_read(*connection, buffer, response, std::move(done)); });
        if (readError) {
            return this->reportFailure(address, "read", readError);
        }
        if (response.keep_alive()) {
            connection->expires_never();
            this->connections[address].push_back(std::move(connection));
        }
        return response;
    }

    /// Reports a failed exchange on standard error, with the time and the step that failed.
    std::nullopt_t reportFailure(const std::string &address, const char *step, const beast::error_code &error) const
    {
        std::cerr << "exchange failed after " << this->secondsNow() << " s: " << step << " " << address << " "
                  << error.message() << std::endl;
        return std::nullopt;
    }

    /// Returns false if the server has closed the idle connection, which must not be used for a request then.
    static bool isOpen(beast::tcp_stream &connection)
    {
        char byte = 0;
        const auto size = ::recv(connection.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size < 0 && errno == EAGAIN;
    }

    Connection connect(const std::string &address)
    {
        auto &idle = this->connections[address];
        while (!idle.empty()) {
            Connection connection = std::move(idle.back());
            idle.pop_back();
            if (isOpen(*connection)) {
                return connection;
            }
        }
        const auto target = Lycheewall::parseAddress(address);
        if (!target) {
            return nullptr;
        }
        auto connection = std::make_unique<beast::tcp_stream>(this->worker.context());
        connection->expires_after(std::chrono::seconds(1));
        const auto error
            = awaitCompletion([&](auto done) { connection->async_connect(target.value(), std::move(done)); });
        return error ? nullptr : std::move(connection);
    }

    void refreshAddresses()
    {
        this->addressesValidUntil = SteadyClock::now() + std::chrono::milliseconds(500);
        http::request<http::string_body> request(http::verb::get, "/v1/addresses", 11);
        request.set(http::field::host, "lycheewall");
        for (const std::string &address : std::vector<std::string>(this->addresses)) {
            const auto response = this->exchange(address, request);
            const json parsed = response ? json::parse(response->body(), nullptr, false) : json();
            if (!parsed.is_object() || response->result_int() != 200) {
                continue;
            }
            this->addresses.clear();
            for (const json &instance : parsed["addresses"]) {
                this->addresses.push_back(instance["address"]);
            }
            this->addressesValidUntil = SteadyClock::now() + std::chrono::milliseconds(parsed["keep-ms"].get<int>());
            return;
        }
    }

    void recordReply(std::size_t index, double scheduledTime, const std::optional<Response> &response)
    {
        Sample sample { index, scheduledTime, (this->secondsNow() - scheduledTime) * 1000, "cut", 0 };
        const RequestStream &stream = this->streams[index];
        json line { { "organisation", stream.key.empty() ? "" : stream.organisation },
                    { "pool", stream.pool },
                    { "idempotent", stream.kind != "once" },
                    { "status", 0 } };
        const json parsed = response ? json::parse(response->body(), nullptr, false) : json();
        if (parsed.is_object()) {
            line["status"] = response->result_int();
            line["request"] = parsed["request-id"];
            if (parsed.contains("error")) {
                sample.outcome = parsed["error"]["code"];
                line["code"] = parsed["error"]["code"];
                line["run"] = parsed["error"]["run"];
            } else {
                this->recordResult(parsed, sample, line);
            }
        }
        this->samples.push_back(sample);
        if (this->replyLog.is_open()) {
            this->replyLog << line.dump() << '\n';
        }
    }

    static void recordResult(const json &parsed, Sample &sample, json &line)
    {
        sample.outcome = "complete";
        sample.coverage = 1;
        line["result"] = parsed["result"];
        if (!parsed.contains("coverage")) {
            return;
        }
        const json &coverage = parsed["coverage"];
        line["snapshot"] = parsed["snapshot"];
        line["coverage"] = coverage;
        sample.outcome = coverage["missing"].empty() ? "complete" : "partial";
        sample.coverage
            = coverage["documents-answered"].get<double>() / std::max(1.0, coverage["documents-asked"].get<double>());
    }

    Lycheewall::Worker &worker;
    std::vector<RequestStream> streams;
    std::mt19937_64 random;
    std::vector<std::string> addresses;
    std::ofstream replyLog;
    std::map<std::string, std::vector<Connection>> connections;
    SteadyClock::time_point start;
    SteadyClock::time_point addressesValidUntil;
    std::vector<Sample> samples;
    std::uint64_t sequence = 0;
    int activeFibers = 0;
};

double quantile(std::vector<double> sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

json LoadGenerator::summaryOf(const std::vector<Sample> &selected) const
{
    std::map<std::string, int> outcomes;
    std::vector<double> times;
    double coverageSum = 0;
    for (const Sample &sample : selected) {
        ++outcomes[sample.outcome];
        if (sample.outcome == "complete" || sample.outcome == "partial") {
            times.push_back(sample.latencyMs);
            coverageSum += sample.coverage;
        }
    }
    std::sort(times.begin(), times.end());
    json refused = json::object();
    for (const auto &[outcome, count] : outcomes) {
        if (outcome != "complete" && outcome != "partial" && outcome != "cut") {
            refused[outcome] = count;
        }
    }
    const auto rounded = [](double value) {
        return std::round(value * 100) / 100;
    };
    return { { "queries", selected.size() },
             { "complete", outcomes["complete"] },
             { "partial", outcomes["partial"] },
             { "cut", outcomes["cut"] },
             { "refused", refused },
             { "p50-ms", rounded(quantile(times, 0.5)) },
             { "p99-ms", rounded(quantile(times, 0.99)) },
             { "p999-ms", rounded(quantile(times, 0.999)) },
             { "coverage", times.empty() ? 0.0 : coverageSum / static_cast<double>(times.size()) } };
}

json LoadGenerator::summaryOfInterval(double from, double to) const
{
    std::vector<Sample> selected;
    for (const Sample &sample : this->samples) {
        if (sample.scheduledAtSeconds >= from && sample.scheduledAtSeconds < to) {
            selected.push_back(sample);
        }
    }
    return this->summaryOf(selected);
}

std::vector<Sample> LoadGenerator::samplesOf(std::size_t stream) const
{
    std::vector<Sample> selected;
    for (const Sample &sample : this->samples) {
        if (sample.stream == stream) {
            selected.push_back(sample);
        }
    }
    return selected;
}

std::vector<RequestStream> parseStreams()
{
    std::vector<RequestStream> streams;
    for (const std::string &text : split(FLAGS_streams, ';')) {
        const auto fields = split(text, ',');
        if (fields.size() != 5) {
            std::cerr << "standin_callers: a stream has 5 fields: " << text << '\n';
            std::exit(2);
        }
        streams.push_back({ fields[0], fields[1], fields[2], std::stod(fields[3]), fields[4] });
    }
    return streams;
}

}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    const auto worker = Lycheewall::Worker::create();
    const auto streams = parseStreams();
    LoadGenerator loadGenerator(*worker, streams);
    std::promise<void> done;
    worker->spawn([&] {
        loadGenerator.run();
        done.set_value();
    });
    done.get_future().wait();
    for (double from = 0; FLAGS_mark_seconds > 0 && from < FLAGS_seconds; from += FLAGS_mark_seconds) {
        json interval = loadGenerator.summaryOfInterval(from, from + FLAGS_mark_seconds);
        interval["from-s"] = from;
        std::cout << "interval " << interval.dump() << '\n';
    }
    json all = loadGenerator.summaryOf(loadGenerator.allSamples());
    all["streams"] = json::array();
    for (std::size_t index = 0; index < streams.size(); ++index) {
        json one = loadGenerator.summaryOf(loadGenerator.samplesOf(index));
        one["organisation"] = streams[index].organisation;
        one["pool"] = streams[index].pool;
        one["kind"] = streams[index].kind;
        all["streams"].push_back(one);
    }
    std::cout << all.dump() << std::endl;
    std::quick_exit(0);
}
