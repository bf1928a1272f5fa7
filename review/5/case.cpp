// The keys of the only tenant are taken away: the new configuration has an empty list of tenants.

#include "../standins/standins.h"

using namespace Review;

namespace
{

constexpr double revocationSeconds = 5;
constexpr double marginSeconds = 0.5;
constexpr int rounds = 5;
const std::string heldKey = "xmibw6kpqk8bdk9eevyx";
const std::string unknownKey = "zz0neverheldbyanyone";

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
    store.put("op/config", version(1, R"([{"Name":"miny420","ApiKeys":[")" + heldKey + R"("],"Priority":1}])"));
    if (!test.startFleet(store.address())) {
        test.finish(couldNotRun, "the machines did not start");
    }
    double acknowledgedAt = now();
    if (isTroubleWanted()) {
        acknowledgedAt = store.put("op/config", version(2, "[]"));
        Record::write("operator: version 2 takes the key of miny420 away");
    }
    sleepUntil(acknowledgedAt + revocationSeconds + marginSeconds);
    int withHeldKey = 0;
    int withUnknownKey = 0;
    int sent = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const auto &daemon : test.daemons) {
            for (const std::string &key : { heldKey, unknownKey }) {
                const Request request = clientRequest("POST", "/file/1", 2000, key, "first ascent");
                const std::string attemptId = request.header("X-Lycheewall-Attempt-Id");
                Client client(daemon->ip(), daemon->frontPort());
                Record::write("client: " + attemptId + " with key " + key + " to " + daemon->name());
                const Answer answer = client.exchange(request, 3);
                const std::size_t runCount = runs.of(attemptId).size();
                Record::write("client: " + attemptId + " is answered " + std::to_string(answer.status) + ", ran "
                              + std::to_string(runCount) + " time(s)");
                ++sent;
                (key == heldKey ? withHeldKey : withUnknownKey) += runCount > 0 ? 1 : 0;
            }
        }
    }
    const int halfOfSent = sent / 2;
    const std::string summary = std::to_string(halfOfSent) + " requests with the tenant's key, "
        + std::to_string(withHeldKey) + " ran; " + std::to_string(halfOfSent)
        + " with a key that no configuration held, " + std::to_string(withUnknownKey) + " ran";
    if (!isTroubleWanted()) {
        test.finish(withHeldKey == 0 ? couldNotRun : withUnknownKey > 0 ? ruleBroken : ruleHeld, summary);
    }
    test.finish(withHeldKey + withUnknownKey > 0 ? ruleBroken : ruleHeld, summary);
}
