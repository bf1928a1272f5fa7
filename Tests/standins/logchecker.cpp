// Checks the replies that callers received against the runs that the endpoints logged. Independent of the code of
// lycheewall and of the stand-ins.
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

DEFINE_string(endpoints, "", "log of standin_endpoints");
DEFINE_string(answers, "", "log of the callers, one JSON line per reply");

namespace
{

using nlohmann::json;

/// Reads JSON lines. Skips an incomplete last line, whose writer may have been killed.
std::vector<json> readLines(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        std::cerr << "cannot read " << path << std::endl;
        std::exit(2);
    }
    std::vector<json> lines;
    for (std::string line; std::getline(stream, line);) {
        if (stream.eof()) {
            break;
        }
        json value = json::parse(line, nullptr, false);
        if (!value.is_object()) {
            std::cerr << path << ": not a JSON object: " << line << std::endl;
            std::exit(2);
        }
        lines.push_back(std::move(value));
    }
    return lines;
}

std::string text(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

std::uint64_t number(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer() ? found->get<std::uint64_t>() : 0;
}

const json &list(const json &object, const char *name)
{
    static const json emptyArray = json::array();
    const auto found = object.find(name);
    return found != object.end() && found->is_array() ? *found : emptyArray;
}

class Checker
{
public:
    explicit Checker(const std::vector<json> &events)
    {
        for (const json &event : events) {
            this->events[text(event, "request")].push_back(event);
        }
    }

    void check(const json &reply)
    {
        this->reply = &reply;
        const std::string request = text(reply, "request");
        if (!request.empty() && !this->checkedRequests.insert(request).second) {
            this->report("answer-repeated", "a second reply to the same request");
        }
        this->checkOrganisation();
        if (!reply.value("idempotent", true)) {
            this->checkAtMostOnce();
        }
        if (text(reply, "run") == "not-run") {
            this->checkNotRun();
        }
        if (number(reply, "status") == 200) {
            this->checkShardResponses();
        }
    }

    const std::map<std::string, int> &violations() const
    {
        return this->violationCounts;
    }

private:
    const std::vector<json> &eventsOfRequest() const
    {
        static const std::vector<json> emptyArray;
        const auto found = this->events.find(text(*this->reply, "request"));
        return found == this->events.end() ? emptyArray : found->second;
    }

    void report(const std::string &kind, const std::string &detail)
    {
        ++this->violationCounts[kind];
        std::cout << kind << ": request " << text(*this->reply, "request") << ": " << detail << "\n";
    }

    void checkOrganisation()
    {
        for (const json &event : this->eventsOfRequest()) {
            if (text(event, "organisation") != text(*this->reply, "organisation")) {
                this->report("wrong-organisation",
                             "endpoint " + text(event, "endpoint") + " received organisation "
                                 + text(event, "organisation"));
                return;
            }
        }
    }

    /// A query may run once per shard, a request without a snapshot once overall.
    void checkAtMostOnce()
    {
        std::map<std::string, int> runs;
        for (const json &event : this->eventsOfRequest()) {
            if (text(event, "event") == "started") {
                ++runs[number(event, "snapshot") > 0 ? text(event, "shard") : ""];
            }
        }
        for (const auto &[shard, count] : runs) {
            if (count > 1) {
                this->report("ran-more-than-once", std::to_string(count) + " runs, shard \"" + shard + "\"");
            }
        }
    }

    void checkNotRun()
    {
        for (const json &event : this->eventsOfRequest()) {
            if (text(event, "event") == "started") {
                this->report("not-run-but-started", "started at endpoint " + text(event, "endpoint"));
                return;
            }
        }
    }

    void checkShardResponses()
    {
        const json emptyObject = json::object();
        const json &coverage = this->reply->contains("coverage") ? this->reply->at("coverage") : emptyObject;
        std::set<std::string> answeredGroups;
        std::uint64_t documents = 0;
        for (const json &shardResponse : list(*this->reply, "result")) {
            const std::string group = text(shardResponse, "group");
            if (!answeredGroups.insert(group).second) {
                this->report("part-repeated", "two shard responses of group " + group);
                continue;
            }
            documents += this->checkShardResponse(shardResponse, group);
        }
        for (const json &missing : list(coverage, "missing")) {
            if (answeredGroups.count(text(missing, "group")) > 0) {
                this->report("missing-but-answered", "group " + text(missing, "group"));
            }
        }
        if (coverage.empty()) {
            return;
        }
        this->compare("shards-answered", number(coverage, "shards-answered"), answeredGroups.size());
        this->compare("documents-answered", number(coverage, "documents-answered"), documents);
        const std::size_t requested = answeredGroups.size() + list(coverage, "missing").size();
        this->compare("shards-asked", number(coverage, "shards-asked"), requested);
        if (number(coverage, "documents-asked") < documents) {
            this->report("coverage-untrue", "documents-asked is lower than the documents that the endpoints logged");
        }
    }

    /// Returns the number of documents that the endpoint logged for this shard response.
    std::uint64_t checkShardResponse(const json &shardResponse, const std::string &group)
    {
        const json &reply = *this->reply;
        const std::uint64_t snapshot = number(reply, "snapshot");
        if (text(shardResponse, "request") != text(reply, "request")) {
            this->report("part-of-another-request", "group " + group + " belongs to " + text(shardResponse, "request"));
        }
        if (reply.contains("body") && shardResponse.contains("echo") && shardResponse["echo"] != reply["body"]) {
            this->report("part-of-another-request", "group " + group + " echoes another body");
        }
        if (number(shardResponse, "snapshot") != snapshot) {
            this->report("mixed-snapshots",
                         "group " + group + " has snapshot " + std::to_string(number(shardResponse, "snapshot")));
        }
        for (const json &event : this->eventsOfRequest()) {
            const bool matches = text(event, "event") == "finished" && text(event, "shard") == group
                && text(event, "pool") == text(reply, "pool") && number(event, "snapshot") == snapshot
                && text(event, "organisation") == text(reply, "organisation");
            if (matches) {
                return number(event, "documents");
            }
        }
        this->report("answered-but-not-finished", "no endpoint finished group " + group + " at this snapshot");
        return 0;
    }

    void compare(const char *name, std::uint64_t reported, std::uint64_t actual)
    {
        if (reported != actual) {
            this->report("coverage-untrue",
                         std::string(name) + " is " + std::to_string(reported) + ", expected "
                             + std::to_string(actual));
        }
    }

    std::map<std::string, std::vector<json>> events;
    std::set<std::string> checkedRequests;
    std::map<std::string, int> violationCounts;
    const json *reply = nullptr;
};

}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<json> events = readLines(FLAGS_endpoints);
    const std::vector<json> replies = readLines(FLAGS_answers);
    Checker checker(events);
    for (const json &reply : replies) {
        checker.check(reply);
    }
    const bool clean = checker.violations().empty();
    const json summary { { "answers", replies.size() },
                         { "events", events.size() },
                         { "violations", checker.violations() } };
    std::cout << summary.dump() << std::endl;
    return clean ? 0 : 1;
}
