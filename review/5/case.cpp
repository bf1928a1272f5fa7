// The keys of both tenants are taken away, one after the other: the last configuration has an empty list of tenants.

#include "../standins/standins.h"

using namespace Review;

namespace
{

constexpr double revocationSeconds = 5;
constexpr double marginSeconds = 0.5;
constexpr int rounds = 5;
/// revoke: the time between two keys.
constexpr double gapSeconds = 1.5;
const std::string firstKey = "xmibw6kpqk8bdk9eevyx";
const std::string secondKey = "q2yyazax6pwawxdmdejk";
const std::string unknownKey = "zz0neverheldbyanyone";
const std::string firstTenant = R"({"Name":"miny420","ApiKeys":[")" + firstKey + R"("],"Priority":1})";
const std::string secondTenant = R"({"Name":"tavo117","ApiKeys":[")" + secondKey + R"("],"Priority":1})";

std::string version(int number, const std::string &tenants)
{
    return configuration(
        number, { { "r-file", "/file/", "non_idempotent", "desk", 2000, 400, false } }, { { "desk", 38 } }, tenants);
}

}

int main(int, char **arguments)
{
    Case test(arguments[1]);
    Store store;
    Runs runs;
    std::vector<std::unique_ptr<Server>> servers;
    const std::vector<std::string> zones { "kandy-a", "nuwara-b", "badulla-c" };
    for (int number = 0; number < 3; ++number) {
        servers.push_back(
            std::make_unique<Server>(store, runs, "i-desk" + std::to_string(number), "desk", zones[number]));
    }
    store.put("op/config", version(1, "[" + firstTenant + "," + secondTenant + "]"));
    if (!test.startFleet(store.address())) {
        test.finish(couldNotRun, "the machines did not start");
    }
    double acknowledgedAt = now();
    if (isTroubleWanted()) {
        store.put("op/config", version(2, "[" + secondTenant + "]"));
        Record::write("operator: version 2 takes away the key of miny420");
        sleepFor(gapSeconds);
        acknowledgedAt = store.put("op/config", version(3, "[]"));
        Record::write("operator: version 3 takes away the key of tavo117, the last one");
    }
    sleepUntil(acknowledgedAt + revocationSeconds + marginSeconds);
    std::map<std::string, int> ranWith;
    for (int round = 0; round < rounds; ++round) {
        for (const auto &daemon : test.daemons) {
            for (const std::string &key : { firstKey, secondKey, unknownKey }) {
                const Request request = clientRequest("POST", "/file/1", 2000, key, "first ascent");
                const std::string attemptId = request.header("X-Lycheewall-Attempt-Id");
                Client client(daemon->ip(), daemon->frontPort());
                Record::write("client: " + attemptId + " with key " + key + " to " + daemon->name());
                const Answer answer = client.exchange(request, 3);
                const std::size_t runCount = runs.of(attemptId).size();
                Record::write("client: " + attemptId + " is answered " + std::to_string(answer.status) + ", ran "
                              + std::to_string(runCount) + " time(s)");
                ranWith[key] += runCount > 0 ? 1 : 0;
            }
        }
    }
    const std::string summary = std::to_string(rounds * static_cast<int>(test.daemons.size()))
        + " requests with each key; ran: " + std::to_string(ranWith[firstKey]) + " with the first tenant's, "
        + std::to_string(ranWith[secondKey]) + " with the second tenant's, " + std::to_string(ranWith[unknownKey])
        + " with one that no configuration held";
    const int ranWithTenants = ranWith[firstKey] + ranWith[secondKey];
    if (!isTroubleWanted()) {
        test.finish(ranWithTenants == 0 ? couldNotRun : ranWith[unknownKey] > 0 ? ruleBroken : ruleHeld, summary);
    }
    test.finish(ranWithTenants + ranWith[unknownKey] > 0 ? ruleBroken : ruleHeld, summary);
}
