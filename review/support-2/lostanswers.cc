// Case 10: some answers to a read are lost, no server crashes. Usage: lostanswers FOLDER
#include "standin.hh"

#include <algorithm>
#include <random>

using namespace standin;

namespace {

constexpr int kInstances = 2;
constexpr int kServers = 5;
constexpr int kLosing = 3;          // answer_lost, share 0.6 of the servers.
constexpr double kLostShare = 0.4;  // answer_lost, x.
constexpr double kLostFor = 4;      // answer_lost, for_s.
constexpr double kCalmS = 8;        // Before it.
constexpr double kSettleS = 6;      // After it, until the judged time: 2 x contact_ms.
constexpr double kJudgedS = 20;
constexpr int kPauseMs = 100;       // Between the requests of a client.
constexpr int kReaders = 2;         // Clients of the added route at each instance.

std::string route(const std::string &name, const std::string &prefix)
{
    return R"({"name":")" + name + R"(","host":"ficu95.example","prefix":")" + prefix
        + R"(","route_kind":"idempotent","timeout_ms":1000,"goal_ms":150,"priority":2,)"
          R"("service":"wuno96b","max_attempts":3,"public":false})";
}

std::string config(int version, const std::string &routes)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
        + R"(],"services":[{"name":"wuno96b","health_path":"/healthz","max_conns":110,)"
          R"("protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,)"
          R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
          R"("tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]})";
}

struct Count
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        return 2;
    }
    limitTime(110);
    Record record(std::string(argv[1]) + "/record.txt");
    const bool trouble = hasTrouble();
    Store store;
    std::atomic<bool> loses{false};
    std::atomic<int> lost{0};
    std::vector<std::unique_ptr<Server>> servers(kServers);
    for (int index = 0; index < kServers; ++index) {
        servers[index] = std::make_unique<Server>([&, index](Wire &wire) {
            static std::atomic<unsigned> next{1};
            std::mt19937 random(next++);
            Message got;
            while (wire.readMessage(&got, 60000, false)) {
                const std::string id = got.header("Attempt-Id");
                sleepMs(30);
                if (loses && index < kLosing
                    && std::uniform_real_distribution<>(0, 1)(random) < kLostShare) {
                    ++lost;
                    record.line("server %d has run %s (%s); its answer is lost", index, id.c_str(),
                                got.target.c_str());
                    wire.reset();
                    return;
                }
                if (!wire.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                               + "\r\nServer-Stamp: 3e1b.07\r\nServer-Load: 0,0,6\r\n"
                                 "Content-Length: 5\r\n\r\nhello")) {
                    return;
                }
            }
        });
        store.put("servers", "i-" + std::to_string(index),
                  registration("wuno96b", servers[index]->address(), 6, 1700000000000 + index));
    }
    const std::string first = route("r-b", "/cufi504/");
    store.put("op", "config", config(1, first));
    InstanceOptions options;
    options.folder = temporaryFolder();
    std::vector<std::unique_ptr<Instance>> instances;
    for (int number = 0; number < kInstances; ++number) {
        instances.push_back(
            std::make_unique<Instance>("edge-" + std::to_string(number), store, options));
        options.seeds = {instances[0]->peerAddress()};
        instances.back()->start();
    }
    for (const auto &instance : instances) {
        if (!instance->waitReady(10000)) {
            record.line("an instance does not serve");
            return 2;
        }
    }
    store.put("op", "config", config(2, first + "," + route("r-n", "/added7/")));
    record.line("configuration 2 is acknowledged; it adds the route /added7/");
    sleepMs(4000); // contact_ms after the start, config_apply_ms after the acknowledgement.
    Count before[2];
    Count judged[2];
    std::atomic<int> phase{0}; // 1: calm, 2: judged.
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int number = 0; number < (1 + kReaders) * kInstances; ++number) {
        clients.emplace_back([&, number] {
            const int isAdded = number < kInstances ? 0 : 1;
            const Instance &instance = *instances[number % kInstances];
            std::unique_ptr<Wire> wire;
            for (int count = 0; !stop; ++count) {
                sleepMs(kPauseMs);
                // On the first route another item each time; on the added one always the same.
                const std::string path = isAdded
                    ? "/added7/fi50/2f"
                    : "/cufi504/fi50/" + std::to_string(number * 10000 + count);
                const std::string id =
                    "c" + std::to_string(number) + "-" + std::to_string(count);
                if (!wire) {
                    wire = std::make_unique<Wire>(connectTo(instance.callers));
                }
                Message answer;
                const int now = phase;
                const bool ok = wire->isOpen()
                    && wire->send("GET " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: "
                                  + id
                                  + "\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer "
                                    "n2ctnfzs989anu6wsjnb\r\n\r\n")
                    && wire->readMessage(&answer, 1500, true);
                if (now != 0) {
                    Count &counted = (now == 1 ? before : judged)[isAdded];
                    ++counted.sent;
                    counted.served += ok && answer.status == 200 ? 1 : 0;
                    counted.refused += ok && answer.status == 503 ? 1 : 0;
                }
                record.line("%s %s at %s: %d %s", id.c_str(), path.c_str(), instance.name.c_str(),
                            ok ? answer.status : 0,
                            answer.status == 503 ? answer.body.c_str() : "");
                if (!ok || sameName(answer.header("Connection"), "close")) {
                    wire.reset();
                }
            }
        });
    }
    const auto sleepS = [](double seconds) { sleepMs(static_cast<int>(seconds * 1000)); };
    phase = 1;
    sleepS(kCalmS);
    phase = 0;
    loses = trouble;
    record.line("answer_lost %s", trouble ? "begins" : "is left out");
    sleepS(kLostFor);
    loses = false;
    record.line("answer_lost ends; %d answers were lost", lost.load());
    sleepS(kSettleS);
    phase = 2;
    sleepS(kJudgedS);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    bool ended = false;
    for (const auto &instance : instances) {
        ended = ended || instance->hasEnded();
        instance->kill();
    }
    std::filesystem::remove_all(options.folder);
    for (int isAdded = 0; isAdded < 2; ++isAdded) {
        const char *name = isAdded ? "added route" : "first route";
        record.line("%s before: %d of %d served", name, before[isAdded].served.load(),
                    before[isAdded].sent.load());
        record.line("%s in steady state: %d of %d served, %d refused", name,
                    judged[isAdded].served.load(), judged[isAdded].sent.load(),
                    judged[isAdded].refused.load());
    }
    const double added = double(judged[1].served) / std::max(1, judged[1].sent.load());
    const double usual = double(judged[0].served) / std::max(1, judged[0].sent.load());
    const bool broken = judged[1].sent >= 20 && added < usual / 4;
    record.line("the processes %s", ended ? "have ended" : "live");
    record.line("%s", broken || ended ? "rule broken" : "rule held");
    std::_Exit(broken || ended ? 1 : 0);
}
