// Compares what callers were told with what ran at the endpoints. Shares no code with lycheewall or the stand-ins.
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

DEFINE_string(endpoints, "", "log of standin_endpoints");
DEFINE_string(answers, "", "log of the callers, one JSON line per answer");

namespace
{

using nlohmann::json;

/// Reads JSON lines. An unfinished last line is left out: its writer may have been killed.
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
    static const json none = json::array();
    const auto found = object.find(name);
    return found != object.end() && found->is_array() ? *found : none;
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

    void check(const json &answer)
    {
        this->answer = &answer;
        const std::string request = text(answer, "request");
        if (!request.empty() && !this->seen.insert(request).second) {
            this->report("answer-repeated", "a second answer to the same request");
        }
        this->checkOrganisation();
        if (!answer.value("idempotent", true)) {
            this->checkAtMostOnce();
        }
        if (text(answer, "run") == "not-run") {
            this->checkNotRun();
        }
        if (number(answer, "status") == 200) {
            this->checkParts();
        }
    }

    const std::map<std::string, int> &violations() const
    {
        return this->counts;
    }

private:
    const std::vector<json> &eventsOfRequest() const
    {
        static const std::vector<json> none;
        const auto found = this->events.find(text(*this->answer, "request"));
        return found == this->events.end() ? none : found->second;
    }

    void report(const std::string &kind, const std::string &detail)
    {
        ++this->counts[kind];
        std::cout << kind << ": request " << text(*this->answer, "request") << ": " << detail << "\n";
    }

    void checkOrganisation()
    {
        for (const json &event : this->eventsOfRequest()) {
            if (text(event, "organisation") != text(*this->answer, "organisation")) {
                this->report("wrong-organisation",
                             "endpoint " + text(event, "endpoint") + " was told " + text(event, "organisation"));
                return;
            }
        }
    }

    /// A fan-out runs once per shard; a request without a snapshot runs once in all.
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

    void checkParts()
    {
        const json none = json::object();
        const json &coverage = this->answer->contains("coverage") ? this->answer->at("coverage") : none;
        std::set<std::string> answered;
        std::uint64_t documents = 0;
        for (const json &part : list(*this->answer, "result")) {
            const std::string group = text(part, "group");
            if (!answered.insert(group).second) {
                this->report("part-repeated", "two parts of group " + group);
                continue;
            }
            documents += this->checkPart(part, group);
        }
        for (const json &missing : list(coverage, "missing")) {
            if (answered.count(text(missing, "group")) > 0) {
                this->report("missing-but-answered", "group " + text(missing, "group"));
            }
        }
        if (coverage.empty()) {
            return;
        }
        this->compare("shards-answered", number(coverage, "shards-answered"), answered.size());
        this->compare("documents-answered", number(coverage, "documents-answered"), documents);
        const std::size_t asked = answered.size() + list(coverage, "missing").size();
        this->compare("shards-asked", number(coverage, "shards-asked"), asked);
        if (number(coverage, "documents-asked") < documents) {
            this->report("coverage-untrue", "documents-asked is below what the endpoints answered");
        }
    }

    /// Returns the documents of the part as the endpoint logged them.
    std::uint64_t checkPart(const json &part, const std::string &group)
    {
        const json &answer = *this->answer;
        const std::uint64_t snapshot = number(answer, "snapshot");
        if (text(part, "request") != text(answer, "request")) {
            this->report("part-of-another-request", "group " + group + " belongs to " + text(part, "request"));
        }
        if (answer.contains("body") && part.contains("echo") && part["echo"] != answer["body"]) {
            this->report("part-of-another-request", "group " + group + " echoes another body");
        }
        if (number(part, "snapshot") != snapshot) {
            this->report("mixed-snapshots", "group " + group + " is of " + std::to_string(number(part, "snapshot")));
        }
        for (const json &event : this->eventsOfRequest()) {
            const bool same = text(event, "event") == "finished" && text(event, "shard") == group
                && text(event, "pool") == text(answer, "pool") && number(event, "snapshot") == snapshot
                && text(event, "organisation") == text(answer, "organisation");
            if (same) {
                return number(event, "documents");
            }
        }
        this->report("answered-but-not-finished", "no endpoint finished group " + group + " at this snapshot");
        return 0;
    }

    void compare(const char *name, std::uint64_t told, std::uint64_t actual)
    {
        if (told != actual) {
            this->report("coverage-untrue",
                         std::string(name) + " says " + std::to_string(told) + ", is " + std::to_string(actual));
        }
    }

    std::map<std::string, std::vector<json>> events;
    std::set<std::string> seen;
    std::map<std::string, int> counts;
    const json *answer = nullptr;
};

}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<json> events = readLines(FLAGS_endpoints);
    const std::vector<json> answers = readLines(FLAGS_answers);
    Checker checker(events);
    for (const json &answer : answers) {
        checker.check(answer);
    }
    const bool clean = checker.violations().empty();
    const json summary { { "answers", answers.size() },
                         { "events", events.size() },
                         { "violations", checker.violations() } };
    std::cout << summary.dump() << std::endl;
    return clean ? 0 : 1;
}
