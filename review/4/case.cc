// All open connections to the store go silent; later a configuration takes a key away. With
// TROUBLE=0 no connection goes silent.
#include "World.hpp"

#include <iostream>

using namespace review;

namespace {

constexpr int kMachines = 3;
constexpr int kServers = 3;
constexpr Millis kCalm{2000};      ///< From readiness to the silence.
constexpr Millis kSpare{500};      ///< Beyond contact_ms after the silence.
constexpr Millis kObserved{20000}; ///< After the acknowledgement of the new configuration.
constexpr Millis kGap{200};        ///< Between two rounds of requests.

} // namespace

int main(int count, char **arguments)
{
    if (count != 3) {
        return kCouldNotRun;
    }
    Journal journal(arguments[2]);
    Deployment deployment(arguments[1]);
    std::vector<std::unique_ptr<Upstream>> servers;
    for (int number = 1; number <= kServers; ++number) {
        servers.push_back(std::make_unique<Upstream>(
            deployment.store, journal, std::to_string(number), "orders",
            [](const Upstream::Run &run) {
                sleepFor(Millis(10));
                run.connection.respond(200, run.headers, "stock");
                return true;
            }));
        if (!servers.back()->start()) {
            return kCouldNotRun;
        }
    }
    const Json routes = Json::array({route("reads", "idempotent", "orders", 3, false)});
    if (!deployment.start(kMachines, configuration(1, routes, {"key-1", "key-2"}))) {
        return kCouldNotRun;
    }
    int sent = 0;
    const auto ask = [&](int machine, const std::string &key) {
        const std::string id = "r-" + std::to_string(++sent);
        const Request request{"GET",
                              "/reads/stock",
                              {{"Host", "api.example"},
                               {"Attempt-Id", id},
                               {"Deadline-Ms", "1000"},
                               {"Authorization", "Bearer " + key}},
                              ""};
        const long at = journal.millis();
        const Answer answer = call(
            deployment.instances[static_cast<std::size_t>(machine)]->callers(), request,
            Millis(1500));
        journal.write("client sent " + id + " with " + key + " to machine "
                      + std::to_string(machine + 1) + " at " + std::to_string(at) + " ms, got "
                      + std::to_string(answer.status));
        return std::pair(at, answer.status);
    };
    sleepFor(kCalm);
    for (int machine = 0; machine < kMachines; ++machine) {
        if (ask(machine, "key-1").second != 200 || ask(machine, "key-2").second != 200) {
            journal.write("a key that holds is not served");
            return kCouldNotRun;
        }
    }
    if (hasTrouble()) {
        deployment.store.silenceOpenConnections();
        journal.write("the open connections to the store are silent from now on");
    }
    sleepFor(kContact + kSpare);
    deployment.store.put("op", "config", configuration(2, routes, {"key-1"}));
    const long acknowledged = journal.millis();
    journal.write("configuration 2, without key-2, acknowledged");
    int broken = 0;
    int unserved = 0;
    long last = 0;
    while (journal.millis() < acknowledged + kObserved.count()) {
        for (int machine = 0; machine < kMachines; ++machine) {
            unserved += ask(machine, "key-1").second == 200 ? 0 : 1;
            const auto [at, status] = ask(machine, "key-2");
            if (status == 200 && at > acknowledged + kConfigApply.count()) {
                ++broken;
                last = at - acknowledged;
            }
        }
        sleepFor(kGap);
    }
    const std::string verdict = "requests that ran with the dropped key, sent later than "
                                "config_apply_ms after the acknowledgement: "
        + std::to_string(broken) + ", the last " + std::to_string(last)
        + " ms after it; requests with the other key that were not served: "
        + std::to_string(unserved);
    journal.write(verdict);
    std::cout << verdict << std::endl;
    return broken > 0 ? kBroken : kHeld;
}
