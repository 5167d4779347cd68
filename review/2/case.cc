// A streaming request that crashes each server some events after it has begun to run, sent again
// and again at any machine. With TROUBLE=0 the same request crashes nothing.
#include "World.hpp"

#include <iostream>

using namespace review;

namespace {

constexpr int kMachines = 3;
constexpr int kServers = 9;
constexpr int kEvents = 40;       ///< Of a whole stream.
constexpr int kEventsToCrash = 4; ///< Of one run, before its server crashes.
constexpr Millis kEventGap{20};
constexpr int kResends = 6; ///< After contact_ms from the third crash.
constexpr Millis kResendGap{4000};
constexpr int kAllowedRetries = 3; ///< BUDGET: "in more than three retries".
constexpr char kDeadly[] = "/plans/deadly";

/// The times of the arrivals of the deadly request at servers, and of the crashes.
struct Seen
{
    std::mutex mutex;
    std::vector<long> arrivals;
    std::vector<long> crashes;
};

Upstream::Work work(Journal &journal, Seen &seen)
{
    return [&](const Upstream::Run &run) {
        const bool isDeadly = run.request.target == kDeadly;
        if (isDeadly) {
            const std::lock_guard lock(seen.mutex);
            seen.arrivals.push_back(journal.millis());
        }
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (const auto &[key, value] : run.headers) {
            head += key + ": " + value + "\r\n";
        }
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string resumed = findHeader(run.request.headers, "Last-Event-Id");
        const int first = resumed.empty() ? 1 : std::stoi(resumed) + 1;
        bool isSent = run.connection.send(head);
        for (int event = first; event <= kEvents && isSent; ++event) {
            sleepFor(kEventGap);
            if (isDeadly && hasTrouble() && event == first + kEventsToCrash) {
                const std::lock_guard lock(seen.mutex);
                seen.crashes.push_back(journal.millis());
                return false;
            }
            const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            isSent = run.connection.send(size + text + "\r\n");
        }
        if (isSent) {
            run.connection.send("0\r\n\r\n");
        }
        return true;
    };
}

Answer ask(const Address &machine, const std::string &target, const std::string &id)
{
    Request request{"POST", target, {}, "write a plan"};
    request.headers = {{"Host", "api.example"},
                       {"Attempt-Id", id},
                       {"Model", "m1"},
                       {"Token-Counts", "100,40"},
                       {"Prompt-Prefix", "aa11:60,bb22:40"},
                       {"Deadline-Ms", "4000"},
                       {"Authorization", "Bearer key-1"}};
    if (target != kDeadly) {
        request.headers[4].second = "cc33:60,dd44:40";
    }
    return call(machine, request, Millis(4500));
}

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
        servers.push_back(std::make_unique<Upstream>(
            deployment.store, journal, std::to_string(number), "models", work(journal, seen)));
        if (!servers.back()->start()) {
            return kCouldNotRun;
        }
    }
    const Json routes = Json::array({route("plans", "streaming", "models", 3, true)});
    if (!deployment.start(kMachines, configuration(1, routes, {"key-1"}))) {
        return kCouldNotRun;
    }
    sleepFor(kContact);
    const auto send = [&](int number, const std::string &target, const std::string &id) {
        const auto machine = static_cast<std::size_t>(number % kMachines);
        journal.write("client sends " + id + " " + target + " to machine "
                      + std::to_string(machine + 1));
        const Answer answer = ask(deployment.instances[machine]->callers(), target, id);
        journal.write("client got " + id + ": " + std::to_string(answer.status)
                      + (answer.isComplete ? " complete" : " incomplete, " + answer.end));
        return answer;
    };
    for (int number = 0; number < kMachines; ++number) {
        const Answer answer = send(number, "/plans/sound", "sound-" + std::to_string(number));
        if (answer.status != 200 || !answer.isComplete) {
            journal.write("a sound request is not served");
            return kCouldNotRun;
        }
    }
    // The client's own attempts come one after the other until three servers have crashed.
    int attempt = 0;
    const auto crashes = [&] {
        const std::lock_guard lock(seen.mutex);
        return seen.crashes;
    };
    while (hasTrouble() && crashes().size() < 3 && attempt < 9) {
        send(attempt, kDeadly, "deadly-" + std::to_string(attempt));
        ++attempt;
        sleepFor(Millis(500));
    }
    if (hasTrouble() && crashes().size() < 3) {
        journal.write("the request has not crashed three servers");
        return kCouldNotRun;
    }
    const long third = hasTrouble() ? crashes()[2] : journal.millis();
    sleepFor(kContact + kResendGap);
    for (int resend = 0; resend < kResends; ++resend, ++attempt) {
        send(attempt, kDeadly, "deadly-" + std::to_string(attempt));
        sleepFor(kResendGap);
    }
    long retries = 0;
    {
        const std::lock_guard lock(seen.mutex);
        retries = std::count_if(seen.arrivals.begin(), seen.arrivals.end(), [&](long at) {
            return hasTrouble() && at > third + kContact.count();
        });
    }
    const std::string verdict = "third crash at " + std::to_string(third)
        + " ms; arrivals later than contact_ms after it: " + std::to_string(retries)
        + " (allowed: " + std::to_string(kAllowedRetries)
        + "); crashes in all: " + std::to_string(crashes().size());
    journal.write(verdict);
    std::cout << verdict << std::endl;
    return retries > kAllowedRetries ? kBroken : kHeld;
}
