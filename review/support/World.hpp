// A small deployment on loopback addresses: the platform's store, servers, and the processes of the
// project, started with the command of the deploy file.
#pragma once

#include "Http.hpp"

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

using Json = nlohmann::json;

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCouldNotRun = 2;

inline void sleepFor(Millis time)
{
    std::this_thread::sleep_for(time);
}

/// What was sent, answered and run, with the milliseconds since the start.
class Journal
{
public:
    explicit Journal(const std::string &path)
        : file(path)
    { }
    long millis() const
    {
        return static_cast<long>(
            std::chrono::duration_cast<Millis>(Clock::now() - this->startedAt).count());
    }
    void write(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%8.3f ", static_cast<double>(this->millis()) / 1000);
        this->file << stamp << text << std::endl;
    }

private:
    std::ofstream file;
    std::mutex mutex;
    const Clock::time_point startedAt = Clock::now();
};

inline std::string base64(const std::string &text)
{
    constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        const auto byte = [&](std::size_t index) {
            return index < text.size() ? static_cast<unsigned char>(text[index]) : 0U;
        };
        const unsigned bits = byte(at) << 16 | byte(at + 1) << 8 | byte(at + 2);
        for (std::size_t digit = 0; digit < 4; ++digit) {
            const bool isPadding = at + digit > text.size();
            out += isPadding ? '=' : kDigits[bits >> (18 - 6 * digit) & 63];
        }
    }
    return out;
}

/// The platform's store. Rows keep the base64 text that was written.
class Store
{
public:
    Store()
        : server([this](const Request &request, const Connection &connection) {
            return this->handle(request, connection);
        })
    { }
    ~Store() { this->stop(); }
    bool start() { return this->server.start(&this->address); }
    void stop()
    {
        this->isStopping = true;
        this->changed.notify_all();
        this->server.stop();
    }
    /// As the operator or a server writes; returns once the write is acknowledged.
    void put(const std::string &table, const std::string &key, const Json &value)
    {
        this->change(table, key, base64(value.dump()), false);
    }
    void remove(const std::string &table, const std::string &key)
    {
        this->change(table, key, "", true);
    }
    /// While `isBusy`, new calls get 503; calls that wait for a change go on waiting.
    void setBusy(bool isBusy) { this->isBusy = isBusy; }
    /// While `isSilent`, calls that arrive get no response, also not later.
    void setSilent(bool isSilent) { this->isSilent = isSilent; }

    Address address;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };
    using Key = std::pair<std::string, std::string>; ///< Table and key.

    void change(const std::string &table, const std::string &key, const std::string &value,
                bool isDeleted)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->rows[{table, key}] = {value, ++this->version, isDeleted};
        }
        this->changed.notify_all();
    }
    Json page(const std::function<bool(const Key &, const Row &)> &isWanted) const
    {
        std::vector<std::pair<Key, Row>> found;
        for (const auto &item : this->rows) {
            if (isWanted(item.first, item.second)) {
                found.push_back(item);
            }
        }
        Json list = Json::array();
        for (const auto &[key, row] : found) {
            Json entry{{"table", key.first},
                       {"part", ""},
                       {"key", key.second},
                       {"row_version", row.version}};
            if (row.isDeleted) {
                entry["deleted"] = true;
            } else {
                entry["value"] = row.value;
            }
            list.push_back(entry);
        }
        const auto now = Clock::now().time_since_epoch();
        return {{"rows", list},
                {"has_more", false},
                {"row_version", this->version},
                {"now_ms", std::chrono::duration_cast<Millis>(now).count()}};
    }
    Json feed(const std::string &table, std::uint64_t after, Millis wait)
    {
        std::unique_lock lock(this->mutex);
        const auto isWanted = [&](const Key &key, const Row &row) {
            return key.first == table && row.version > after;
        };
        this->changed.wait_for(lock, wait, [&] {
            return this->isStopping
                || std::any_of(this->rows.begin(), this->rows.end(),
                               [&](const auto &item) { return isWanted(item.first, item.second); });
        });
        return this->page(isWanted);
    }
    Json transact(const Json &body, int *status)
    {
        Json answer;
        {
            const std::lock_guard lock(this->mutex);
            const auto keyOf = [](const Json &row) { return Key{row.at("table"), row.at("key")}; };
            std::set<Key> expected;
            bool holds = true;
            for (const Json &row : body.at("expected")) {
                const auto found = this->rows.find(keyOf(row));
                const bool exists = found != this->rows.end() && !found->second.isDeleted;
                holds = holds && (exists ? found->second.version : 0) == row.at("row_version");
                expected.insert(keyOf(row));
            }
            if (!holds) {
                *status = 412;
                return this->page(
                    [&](const Key &key, const Row &) { return expected.contains(key); });
            }
            ++this->version;
            for (const Json &row : body.at("write")) {
                this->rows[keyOf(row)] = {row.at("value"), this->version, false};
            }
            for (const Json &row : body.at("delete")) {
                this->rows[keyOf(row)] = {"", this->version, true};
            }
            answer = this->page([](const Key &, const Row &) { return false; });
        }
        this->changed.notify_all();
        return answer;
    }
    /// "A connection on which a response is lost delivers nothing further."
    bool ignore(const Connection &connection) const
    {
        while (!this->isStopping && !connection.isClosed()) {
            sleepFor(Millis(20));
        }
        return false;
    }
    bool handle(const Request &request, const Connection &connection)
    {
        if (this->isSilent) {
            return this->ignore(connection);
        }
        int status = 200;
        Json body;
        const std::string path = request.path();
        const std::string table = request.query("table");
        if (this->isBusy) {
            status = 503;
        } else if (path == "/api/rows-get") {
            const std::lock_guard lock(this->mutex);
            body = this->page([&](const Key &key, const Row &row) {
                return key.first == table && !row.isDeleted;
            });
        } else if (path == "/api/rows-feed") {
            body = this->feed(table, std::stoull(request.query("after")),
                              Millis(std::stoi(request.query("wait_ms"))));
        } else if (path == "/api/rows-tx") {
            body = this->transact(Json::parse(request.body), &status);
        } else {
            status = 404;
        }
        return connection.respond(status, {{"Content-Type", "application/json"}}, body.dump());
    }

    Server server;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    std::uint64_t version = 1;
    std::atomic<bool> isStopping{false};
    std::atomic<bool> isBusy{false};
    std::atomic<bool> isSilent{false};
};

/// A process of the project. Ports as in a day's settings: the same on all machines.
class Instance
{
public:
    struct Ports
    {
        int callers = 0;
        int health = 0;
        int directory = 0;
        int peers = 0;
        int metrics = 0;
        std::vector<int> all() const
        {
            return {this->callers, this->health, this->directory, this->peers, this->metrics};
        }
    };

    Instance(std::string program, std::string folder, std::string ip, Ports ports)
        : program(std::move(program))
        , folder(std::move(folder))
        , ip(std::move(ip))
        , ports(ports)
    { }
    ~Instance() { this->kill(); }

    /// The settings that deploy/site-settings.template gives for this machine.
    void writeSettings(const std::string &name, const std::string &zone,
                       const std::vector<std::string> &seeds, const Address &store,
                       const Json &bounds) const
    {
        const auto at = [this](int port) { return Address{this->ip, port}.text(); };
        const Json settings{{"instance", name},
                            {"failureDomain", zone},
                            {"region", "nordeste"},
                            {"processors", 0.25},
                            {"listen",
                             {{"callers", at(this->ports.callers)},
                              {"health", at(this->ports.health)},
                              {"directory", at(this->ports.directory)},
                              {"peers", at(this->ports.peers)},
                              {"metrics", at(this->ports.metrics)}}},
                            {"seeds", seeds},
                            {"store", {{"endpoint", store.text()}}},
                            {"bounds", bounds}};
        std::ofstream(this->settingsFile()) << settings.dump(2);
    }
    bool start()
    {
        const std::string log = this->folder + "/" + this->ip + ".log";
        this->process = ::fork();
        if (this->process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the script, however that ends.
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::setenv("BASILNOTCH_BOOT", this->settingsFile().c_str(), 1);
            ::execl(this->program.c_str(), this->program.c_str(), "serve", nullptr);
            ::_exit(127);
        }
        return this->process > 0;
    }
    bool waitReady(Millis timeout) const
    {
        const auto until = Clock::now() + timeout;
        while (Clock::now() < until) {
            const Request check{"GET", "/api/readyz", {{"Host", "ready"}}, ""};
            if (call({this->ip, this->ports.health}, check, Millis(500)).status == 200) {
                return true;
            }
            sleepFor(Millis(20));
        }
        return false;
    }
    void signal(int number) const { ::kill(this->process, number); }
    /// Waits until the process has ended; kills it at the time-out, as the platform does.
    void waitForEnd(Millis timeout)
    {
        const auto until = Clock::now() + timeout;
        while (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == 0) {
            if (Clock::now() >= until) {
                this->kill();
                return;
            }
            sleepFor(Millis(10));
        }
        this->process = 0;
    }
    void kill()
    {
        if (this->process > 0) {
            ::kill(this->process, SIGKILL);
            ::waitpid(this->process, nullptr, 0);
            this->process = 0;
        }
    }
    Address callers() const { return {this->ip, this->ports.callers}; }
    std::string seed() const { return Address{this->ip, this->ports.health}.text(); }

private:
    std::string settingsFile() const { return this->folder + "/" + this->ip + ".json"; }

    const std::string program;
    const std::string folder;
    const std::string ip;
    const Ports ports;
    pid_t process = 0;
};

/// The bounds of sites/mp-roteador.toml that the template hands to the project.
inline Json siteBounds()
{
    return {{"exposureShare", 0.15}, {"exposureSlack", 30},
            {"rollbackMs", 5000},    {"sessionGapSeconds", 5},
            {"retryRatio", 0.9},     {"retryWindowSeconds", 10},
            {"retrySlack", 58},      {"directoryTtlMaxSeconds", 5},
            {"stopGraceSeconds", 8}, {"configApplyMs", 2000},
            {"contactMs", 3000}};
}

constexpr Millis kContact{3000};     ///< contact_ms
constexpr Millis kConfigApply{2000}; ///< config_apply_ms
constexpr Millis kDrain{2000};       ///< drain_ms
constexpr Millis kGrace{8000};       ///< grace_s
constexpr Millis kHeartbeat{1200};   ///< heartbeat_ms

/// A deployment with `count` machines. Ends its processes when destroyed.
class Deployment
{
public:
    explicit Deployment(const std::string &program)
        : program(program)
        , folder(std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(this->folder);
        ::signal(SIGPIPE, SIG_IGN);
    }
    ~Deployment()
    {
        this->instances.clear();
        this->store.stop();
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
    /// Starts the store and the machines; false if something could not be started.
    bool start(int count, const Json &configuration)
    {
        if (!this->store.start()) {
            return false;
        }
        this->store.put("op", "config", configuration);
        std::vector<std::string> ips;
        for (int number = 0; number < count; ++number) {
            ips.push_back("127.0.0." + std::to_string(11 + number));
        }
        Instance::Ports ports;
        for (int first = 21000 + ::getpid() % 500 * 20; ports.callers == 0; first += 20) {
            const Instance::Ports tried{first, first + 1, first + 2, first + 3, first + 4};
            if (std::all_of(ips.begin(), ips.end(),
                            [&](const auto &ip) { return areFree(ip, tried.all()); })) {
                ports = tried;
            }
        }
        std::vector<std::string> seeds;
        for (const std::string &ip : ips) {
            this->instances.push_back(
                std::make_unique<Instance>(this->program, this->folder, ip, ports));
            seeds.push_back(this->instances.back()->seed());
        }
        for (int number = 0; number < count; ++number) {
            Instance &instance = *this->instances[static_cast<std::size_t>(number)];
            instance.writeSettings("edge-" + std::to_string(number + 1),
                                   "zone-" + std::to_string(number + 1), seeds, this->store.address,
                                   siteBounds());
            if (!instance.start()) {
                return false;
            }
        }
        return std::all_of(this->instances.begin(), this->instances.end(),
                           [](const auto &instance) { return instance->waitReady(Millis(10000)); });
    }

    Store store;
    std::vector<std::unique_ptr<Instance>> instances;

private:
    const std::string program;
    const std::string folder;
};

inline Json route(const std::string &name, const std::string &kind, const std::string &service,
                  int attempts, bool canResume)
{
    return {{"name", name},         {"host", "api.example"}, {"prefix", "/" + name + "/"},
            {"route_kind", kind},   {"timeout_ms", 4000},    {"goal_ms", 1000},
            {"priority", 1},        {"service", service},    {"max_attempts", attempts},
            {"public", false},      {"sticky", canResume},   {"can_resume", canResume},
            {"gap_target_ms", 1500}};
}

inline Json configuration(int version, const Json &routes, const std::vector<std::string> &keys)
{
    const Json engine{{"slots", 64},
                      {"kv_capacity", 489963},
                      {"kv_token_bytes", 18432},
                      {"link_mbps", 180000},
                      {"stride", 1},
                      {"models", Json::array({{{"name", "m1"}, {"cost", 0.1}}})}};
    return {
        {"version", version},
        {"routes", routes},
        {"services",
         Json::array({{{"name", "models"},
                       {"health_path", "/healthz"},
                       {"max_conns", 370},
                       {"engine", engine}},
                      {{"name", "orders"}, {"health_path", "/healthz"}, {"max_conns", 110}}})},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 4194304},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}}},
        {"tenants", Json::array({{{"name", "tenant-1"}, {"api_keys", keys}, {"priority", 1}}})}};
}

/// A server as the pages describe it. It may crash when it runs a request.
class Upstream
{
public:
    /// A request that has begun to run.
    struct Run
    {
        const Request &request;
        const Connection &connection;
        Headers headers; ///< Those of each answer of the server.
    };
    /// Answers a request; returns false if it crashes the server.
    using Work = std::function<bool(const Run &)>;

    Upstream(Store &store, Journal &journal, std::string name, std::string service, Work work)
        : store(store)
        , journal(journal)
        , name(std::move(name))
        , service(std::move(service))
        , work(std::move(work))
    { }
    ~Upstream()
    {
        this->isEnding = true;
        if (this->repair.joinable()) {
            this->repair.join();
        }
        if (this->server) {
            this->server->stop();
        }
    }
    bool start()
    {
        this->server =
            std::make_unique<Server>([this](const Request &request, const Connection &connection) {
                return this->handle(request, connection);
            });
        ++this->starts;
        this->id = "i-" + this->name + "-" + std::to_string(this->starts);
        if (!this->server->start(&this->address)) {
            return false;
        }
        const auto born = std::chrono::system_clock::now().time_since_epoch();
        this->born = std::chrono::duration_cast<Millis>(born).count();
        this->report("ready");
        return true;
    }
    /// Reports that it drains and serves on; returns once the store has acknowledged the report.
    void drain() { this->report("draining"); }

private:
    void report(const std::string &state)
    {
        this->store.put("servers", this->id,
                        {{"service", this->service},
                         {"address", this->address.text()},
                         {"zone", "zone-1"},
                         {"version", "v1"},
                         {"slots", 64},
                         {"state", state},
                         {"cold_left_ms", 0},
                         {"phase", "combined"},
                         {"models", Json::array()},
                         {"seq", state == "ready" ? 1 : 2},
                         {"born", this->born}});
    }
    bool handle(const Request &request, const Connection &connection)
    {
        const std::string attempt = findHeader(request.headers, "Attempt-Id");
        Headers headers{{"Attempt-Id", attempt}, {"Server-Load", "1,0,64"}};
        if (findHeader(request.headers, "Expect-Instance") != this->id) {
            headers.emplace_back("Not-Executed", "1");
            return connection.respond(421, headers, "");
        }
        this->journal.write("server " + this->id + " runs " + attempt + " " + request.method + " "
                            + request.target);
        headers.emplace_back("Server-Stamp", this->id + "." + attempt);
        if (this->work({request, connection, headers})) {
            return true;
        }
        this->journal.write("server " + this->id + " crashes on " + attempt);
        this->server->crash();
        this->scheduleRestart();
        return false;
    }
    /// The process is back after some seconds; its registration expires after three heartbeats.
    void scheduleRestart()
    {
        if (this->repair.joinable()) {
            this->repair.join();
        }
        this->repair = std::thread([this, gone = this->id] {
            constexpr Millis kDowntime{2000};
            for (Millis slept{0}; slept < kDowntime && !this->isEnding; slept += Millis(50)) {
                sleepFor(Millis(50));
            }
            this->server->stop();
            if (this->isEnding || !this->start()) {
                return;
            }
            for (Millis slept{0}; slept < 3 * kHeartbeat - kDowntime && !this->isEnding;
                 slept += Millis(50)) {
                sleepFor(Millis(50));
            }
            this->store.remove("servers", gone);
        });
    }

    Store &store;
    Journal &journal;
    const std::string name;
    const std::string service;
    const Work work;
    Address address;
    std::string id;
    long born = 0; ///< Unix milliseconds.
    int starts = 0;
    std::unique_ptr<Server> server;
    std::thread repair;
    std::atomic<bool> isEnding{false};
};

/// Whether the disruption of the case takes place.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace review
