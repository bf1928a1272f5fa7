// One answer of the platform's store is lost: the one to the watch that reports a new configuration. The configuration
// moves a route to another service.

#include "../standins/standins.h"

using namespace Review;

namespace
{

constexpr double configApplySeconds = 3;
constexpr double contactSeconds = 4;
/// Beyond the bounds, so that the case doesn't depend on milliseconds.
constexpr double marginSeconds = 0.3;
constexpr double watchedSeconds = 9.5;
constexpr double periodSeconds = 0.1;

std::string version(int number, const std::string &service)
{
    return configuration(number,
                         { { "r-file", "/file/", "non_idempotent", service, 2000, 400, true } },
                         { { "old-desk", 38 }, { "new-desk", 38 } },
                         std::nullopt);
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
        const std::string suffix = std::to_string(number);
        servers.push_back(std::make_unique<Server>(store, runs, "i-old" + suffix, "old-desk", zones[number]));
        servers.push_back(std::make_unique<Server>(store, runs, "i-new" + suffix, "new-desk", zones[number]));
    }
    store.put("op/config", version(1, "old-desk"));
    if (!test.startFleet(store.address())) {
        test.finish(couldNotRun, "the machines did not start");
    }
    // An ordinary change shortly before: one more server starts.
    servers.push_back(std::make_unique<Server>(store, runs, "i-new3", "new-desk", zones[0]));
    sleepFor(0.6);
    if (isTroubleWanted()) {
        store.loseNextChange();
    }
    const double acknowledgedAt = store.put("op/config", version(2, "new-desk"));
    Record::write("operator: version 2 moves r-file from old-desk to new-desk");
    struct Sent
    {
        double at;
        std::string attemptId;
        std::string machine;
        int status;
    };
    std::vector<Sent> sent;
    while (now() < acknowledgedAt + watchedSeconds) {
        for (const auto &daemon : test.daemons) {
            const Request request = clientRequest("POST", "/file/1", 2000, {}, "first ascent");
            const std::string attemptId = request.header("X-Lycheewall-Attempt-Id");
            const double at = now();
            Client client(daemon->ip(), daemon->frontPort());
            const Answer answer = client.exchange(request, 3);
            Record::write("client: " + attemptId + " sent to " + daemon->name() + " at " + std::to_string(at)
                          + ", answered " + std::to_string(answer.status));
            sent.push_back({ at, attemptId, daemon->name(), answer.status });
        }
        sleepFor(periodSeconds);
    }
    const double lostAt = store.lostAt();
    // Without a loss, the bound of the configuration alone counts.
    const double judgedFrom
        = marginSeconds + std::max(acknowledgedAt + configApplySeconds, lostAt < 0 ? 0 : lostAt + contactSeconds);
    int judged = 0;
    int stale = 0;
    double lastStaleAt = 0;
    std::set<std::string> machines;
    for (const Sent &item : sent) {
        for (const Run &run : runs.of(item.attemptId)) {
            if (item.at >= judgedFrom) {
                ++judged;
                if (run.service == "old-desk") {
                    ++stale;
                    lastStaleAt = item.at - acknowledgedAt;
                    machines.insert(item.machine);
                }
            }
        }
    }
    if (lostAt >= 0) {
        Record::write("store: 1 of " + std::to_string(store.answersSince(lostAt - 4.5))
                      + " answers of the last seconds was lost");
    }
    if (judged == 0 || (isTroubleWanted() && lostAt < 0)) {
        test.finish(couldNotRun, "no request could be judged");
    }
    std::string names;
    for (const std::string &machine : machines) {
        names += ' ' + machine;
    }
    test.finish(stale > 0 ? ruleBroken : ruleHeld,
                std::to_string(judged) + " requests sent later than ConfigApplyMs after the acknowledgement and "
                    + "ContactMs after the loss ran; " + std::to_string(stale) + " of them at the old service"
                    + (stale > 0
                           ? ", the last " + std::to_string(lastStaleAt) + " s after the acknowledgement, at" + names
                           : std::string()));
}
