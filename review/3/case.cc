// The store is silent for a while, from just after a server has reported that it drains. Later
// another server drains. With TROUBLE=0 the store answers all the time.
#include "World.hpp"

#include <iostream>

using namespace review;

namespace {

constexpr int kMachines = 3;
constexpr int kServers = 4;
constexpr long kFirstDrainAt = 4000; ///< Milliseconds after the start, like the next ones.
constexpr long kSilentFrom = 4100;
constexpr long kSilentUntil = 8600;
constexpr long kDrainAt = 11900; ///< Later than contact_ms after the store is back.
constexpr long kEnd = 30000;
constexpr Millis kGap{20};

/// When requests reached the server that drains.
struct Seen
{
    std::mutex mutex;
    std::vector<long> arrivals;
};

} // namespace

int main(int count, char **arguments)
{
    if (count != 3) {
        return kCouldNotRun;
    }
    Journal journal(arguments[2]);
    Seen seen;
    Deployment deployment(arguments[1]);
    std::vector<std::unique_ptr<Upstream>> servers;
    for (int number = 1; number <= kServers; ++number) {
        servers.push_back(
            std::make_unique<Upstream>(deployment.store, journal, std::to_string(number), "orders",
                                       [&, number](const Upstream::Run &run) {
                                           if (number == 1) {
                                               const std::lock_guard lock(seen.mutex);
                                               seen.arrivals.push_back(journal.millis());
                                           }
                                           sleepFor(Millis(10));
                                           run.connection.respond(200, run.headers, "stock");
                                           return true;
                                       }));
        if (!servers.back()->start()) {
            return kCouldNotRun;
        }
    }
    const Json routes = Json::array({route("reads", "idempotent", "orders", 3, false)});
    if (!deployment.start(kMachines, configuration(1, routes, {"key-1"}))) {
        return kCouldNotRun;
    }
    long acknowledged = 0;
    int sent = 0;
    int unserved = 0;
    int step = 0;
    while (journal.millis() < kEnd) {
        const long now = journal.millis();
        if (step == 0 && now >= kFirstDrainAt) {
            ++step;
            servers.back()->drain();
            journal.write("the store has acknowledged that server 4 drains");
        } else if (step == 1 && now >= kSilentFrom) {
            ++step;
            deployment.store.setSilent(hasTrouble());
            journal.write(hasTrouble() ? "the store is silent" : "no disruption");
        } else if (step == 2 && now >= kSilentUntil) {
            ++step;
            deployment.store.setSilent(false);
            journal.write("the store answers");
        } else if (step == 3 && now >= kDrainAt) {
            ++step;
            servers.front()->drain();
            acknowledged = journal.millis();
            journal.write("the store has acknowledged that server 1 drains");
        }
        const std::string id = "r-" + std::to_string(++sent);
        const Request request{"GET",
                              "/reads/stock",
                              {{"Host", "api.example"},
                               {"Attempt-Id", id},
                               {"Deadline-Ms", "1000"},
                               {"Authorization", "Bearer key-1"}},
                              ""};
        const auto machine = static_cast<std::size_t>(sent % kMachines);
        journal.write("client sends " + id + " to machine " + std::to_string(machine + 1));
        const Answer answer = call(deployment.instances[machine]->callers(), request, Millis(1500));
        journal.write("client got " + id + ": " + std::to_string(answer.status));
        unserved += answer.status == 200 ? 0 : 1;
        sleepFor(kGap);
    }
    const std::lock_guard lock(seen.mutex);
    const long before = std::count_if(seen.arrivals.begin(), seen.arrivals.end(),
                                      [&](long at) { return at < acknowledged; });
    const long late = std::count_if(seen.arrivals.begin(), seen.arrivals.end(),
                                    [&](long at) { return at > acknowledged + kDrain.count(); });
    const std::string verdict = "requests that reached the leaving server later than drain_ms "
                                "after the acknowledgement: "
        + std::to_string(late) + "; before it: " + std::to_string(before)
        + "; requests that were not served: " + std::to_string(unserved);
    journal.write(verdict);
    std::cout << verdict << std::endl;
    if (before == 0) {
        return kCouldNotRun;
    }
    return late > 0 ? kBroken : kHeld;
}
