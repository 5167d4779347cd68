// Stand-ins for the scripts of review/6 to review/10: the platform's store, servers, clients, and
// the start of the project's own program. Plain sockets on 127.0.0.1, one thread for a connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

extern char **environ;

namespace standin {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

inline double nowS()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Lines of record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(std::fopen(path.c_str(), "w"))
    { }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(this->mutex);
        if (this->file) {
            std::fprintf(this->file, "%8.3f %s\n", nowS(), text);
            std::fflush(this->file);
        }
    }

private:
    std::mutex mutex;
    std::FILE *file;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline bool sameName(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && strcasecmp(left.c_str(), right.c_str()) == 0;
}

struct Message
{
    std::string first; ///< Request line or status line.
    std::string method, target;
    int status = 0;
    Headers headers;
    std::string body;
    bool whole = false; ///< The message ended as its framing says.

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : this->headers) {
            if (sameName(key, name)) {
                return value;
            }
        }
        return {};
    }
};

inline int connectTo(int port, int receiveBuffer = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    if (receiveBuffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        const ssize_t got = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (got <= 0) {
            return false;
        }
        at += static_cast<std::size_t>(got);
    }
    return true;
}

/// A connection that is read message by message.
class Wire
{
public:
    explicit Wire(int fd)
        : fd(fd)
    { }
    ~Wire() { this->close(); }
    Wire(const Wire &) = delete;
    Wire &operator=(const Wire &) = delete;

    bool isOpen() const { return this->fd >= 0; }
    int handle() const { return this->fd; }
    void close()
    {
        if (this->fd >= 0) {
            ::close(this->fd);
        }
        this->fd = -1;
    }
    void reset()
    {
        if (this->fd >= 0) {
            const linger now{1, 0};
            ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        }
        this->close();
    }
    bool send(const std::string &bytes) { return sendAll(this->fd, bytes); }

    /// More bytes into the buffer; 1: some, 0: the peer has closed, -1: reset, -2: out of time.
    int fill(int timeoutMs)
    {
        pollfd state{this->fd, POLLIN, 0};
        const int ready = ::poll(&state, 1, timeoutMs);
        if (ready == 0) {
            return -2;
        }
        char part[65536];
        const ssize_t got = ::recv(this->fd, part, sizeof(part), 0);
        if (got > 0) {
            this->buffer.append(part, static_cast<std::size_t>(got));
            return 1;
        }
        this->lastError = got == 0 ? 0 : errno;
        return got == 0 ? 0 : -1;
    }

    /// Head of a message; false when the connection ends before.
    bool readHead(Message *message, int timeoutMs)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (this->fill(timeoutMs) != 1) {
                return false;
            }
        }
        std::istringstream lines(this->buffer.substr(0, end + 2));
        this->buffer.erase(0, end + 4);
        *message = Message();
        std::string line;
        std::getline(lines, line);
        line.pop_back();
        message->first = line;
        std::istringstream words(line);
        words >> message->method >> message->target;
        message->status = std::atoi(message->target.c_str());
        while (std::getline(lines, line)) {
            line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::size_t value = line.find_first_not_of(' ', colon + 1);
                message->headers.emplace_back(
                    line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            }
        }
        return true;
    }

    /// Body by its framing; of an answer also to the end of the connection.
    bool readBody(Message *message, int timeoutMs, bool isAnswer)
    {
        const std::string length = message->header("Content-Length");
        if (sameName(message->header("Transfer-Encoding"), "chunked")) {
            while (true) {
                std::size_t end = 0;
                while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                    if (this->fill(timeoutMs) != 1) {
                        return false;
                    }
                }
                const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
                while (this->buffer.size() < end + 2 + size + 2) {
                    if (this->fill(timeoutMs) != 1) {
                        message->body += this->buffer.substr(end + 2);
                        return false;
                    }
                }
                message->body += this->buffer.substr(end + 2, size);
                this->buffer.erase(0, end + 2 + size + 2);
                if (size == 0) {
                    message->whole = true;
                    return true;
                }
            }
        }
        if (!length.empty() || !isAnswer) {
            const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
            while (this->buffer.size() < size) {
                if (this->fill(timeoutMs) != 1) {
                    message->body = this->buffer;
                    return false;
                }
            }
            message->body = this->buffer.substr(0, size);
            this->buffer.erase(0, size);
            message->whole = true;
            return true;
        }
        int got = 0;
        while ((got = this->fill(timeoutMs)) == 1) { }
        message->body = std::exchange(this->buffer, {});
        message->whole = got == 0;
        return message->whole;
    }
    bool readMessage(Message *message, int timeoutMs, bool isAnswer)
    {
        return this->readHead(message, timeoutMs) && this->readBody(message, timeoutMs, isAnswer);
    }

    std::string buffer;
    int lastError = 0;

private:
    int fd;
};

/// Ids of the processes that run; ended when a script is.
inline std::atomic<int> startedIds[64];

inline void endStarted()
{
    for (std::atomic<int> &id : startedIds) {
        if (id > 0) {
            ::kill(id, SIGKILL);
        }
    }
}

/// Accepts on a port of 127.0.0.1; each connection has a thread. It can fall over and come back at
/// its address: all its connections and its listener close, as when its process is killed.
class Server
{
public:
    using Handler = std::function<void(Wire &)>;

    explicit Server(Handler handler, int receiveBuffer = 0)
        : handler(std::move(handler))
        , fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int one = 1;
        ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        if (receiveBuffer > 0) {
            ::setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        this->bindTo(0);
        std::thread([this] { this->accept(); }).detach();
    }
    /// Falls over; `wire` may be the connection of the caller's thread.
    void crash()
    {
        const std::lock_guard lock(this->mutex);
        this->isDown = true;
        ::shutdown(this->fd, SHUT_RDWR);
        ::close(this->fd);
        this->fd = -1;
        for (const int open : this->open) {
            ::shutdown(open, SHUT_RDWR);
        }
    }
    void restart()
    {
        const std::lock_guard lock(this->mutex);
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        this->bindTo(this->number);
        this->isDown = false;
    }
    bool down() const { return this->isDown; }
    int port() const { return this->number; }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->number); }

private:
    void bindTo(int port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        if (::bind(this->fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(this->fd, 1024) != 0
            || ::getsockname(this->fd, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
            std::perror("listen");
            endStarted();
            ::_exit(2);
        }
        this->number = ntohs(address.sin_port);
    }
    void accept()
    {
        while (true) {
            const int from = this->fd;
            const int got = from < 0 ? -1 : ::accept4(from, nullptr, nullptr, SOCK_CLOEXEC);
            if (got < 0) {
                sleepMs(5);
                continue;
            }
            const int one = 1;
            ::setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            {
                const std::lock_guard lock(this->mutex);
                this->open.insert(got);
            }
            std::thread([this, got] {
                {
                    Wire wire(got);
                    this->handler(wire);
                    const std::lock_guard lock(this->mutex);
                    this->open.erase(got);
                }
            }).detach();
        }
    }

    Handler handler;
    std::mutex mutex;
    std::set<int> open; ///< Connections.
    std::atomic<int> fd;
    std::atomic<bool> isDown{false};
    int number = 0;
};

inline std::string base64(const std::string &bytes)
{
    static const char *kLetters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8
                | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += at + index > bytes.size() ? '='
                                              : kLetters[(group >> (18 - 6 * index)) & 0x3f];
        }
    }
    return text;
}

inline std::string unbase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char letter : text) {
        int value = letter >= 'A' && letter <= 'Z' ? letter - 'A'
            : letter >= 'a' && letter <= 'z'       ? letter - 'a' + 26
            : letter >= '0' && letter <= '9'       ? letter - '0' + 52
            : letter == '+'                        ? 62
            : letter == '/'                        ? 63
                                                   : -1;
        if (value < 0) {
            continue;
        }
        group = group << 6 | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 0xff);
        }
    }
    return bytes;
}

inline std::string parameter(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    std::istringstream parts(query == std::string::npos ? "" : target.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.rfind(name + "=", 0) == 0) {
            std::string value;
            for (std::size_t at = name.size() + 1; at < part.size(); ++at) {
                if (part[at] == '%' && at + 2 < part.size()) {
                    value += static_cast<char>(
                        std::strtol(part.substr(at + 1, 2).c_str(), nullptr, 16));
                    at += 2;
                } else {
                    value += part[at];
                }
            }
            return value;
        }
    }
    return {};
}

/// The platform's metadata store.
class Store
{
public:
    Store()
        : server([this](Wire &wire) { this->serve(wire); })
    { }
    std::string address() const { return this->server.address(); }

    /// As the operator or a server writes.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        this->rows[{table, key}] = {value, ++this->version, false};
        this->changed.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->rows[{table, key}] = {"", ++this->version, true};
        this->changed.notify_all();
    }
    /// Unreachable from now on, until it is back.
    void goDown() { this->server.crash(); }
    void comeBack() { this->server.restart(); }
    std::string value(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->rows.find({table, key});
        return found == this->rows.end() || found->second.deleted ? "" : found->second.value;
    }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    static void answer(Wire &wire, int status, const std::string &body)
    {
        wire.send("HTTP/1.1 " + std::to_string(status)
                  + " X\r\nContent-Type: application/json\r\nContent-Length: "
                  + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    static std::int64_t nowMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   Clock::now().time_since_epoch())
            .count();
    }
    json page(const std::vector<std::pair<std::string, std::string>> &keys) const
    {
        json list = json::array();
        for (const auto &key : keys) {
            const auto found = this->rows.find(key);
            json row{{"table", key.first}, {"part", ""}, {"key", key.second}};
            row["row_version"] = found == this->rows.end() ? 0 : found->second.version;
            if (found != this->rows.end() && found->second.deleted) {
                row["deleted"] = true;
            } else if (found != this->rows.end()) {
                row["value"] = base64(found->second.value);
            }
            list.push_back(std::move(row));
        }
        return {{"rows", std::move(list)}, {"row_version", this->version}, {"now_ms", nowMs()}};
    }
    void serve(Wire &wire)
    {
        Message request;
        while (wire.readMessage(&request, 60000, false)) {
            const std::string path = request.target.substr(0, request.target.find('?'));
            if (path == "/api/rows-get") {
                this->get(wire, request.target);
            } else if (path == "/api/rows-feed") {
                this->feed(wire, request.target);
            } else if (path == "/api/rows-tx") {
                this->transact(wire, request.body);
            } else {
                answer(wire, 404, "{}");
            }
        }
    }
    void get(Wire &wire, const std::string &target)
    {
        const std::string table = parameter(target, "table");
        const std::string from = parameter(target, "from");
        std::string body;
        {
            const std::lock_guard lock(this->mutex);
            std::vector<std::pair<std::string, std::string>> keys;
            for (const auto &[key, row] : this->rows) {
                if (key.first == table && key.second >= from && !row.deleted) {
                    keys.push_back(key);
                }
            }
            const bool more = keys.size() > 500;
            keys.resize(std::min<std::size_t>(keys.size(), 500));
            json result = this->page(keys);
            result["has_more"] = more;
            body = result.dump();
        }
        answer(wire, 200, body);
    }
    void feed(Wire &wire, const std::string &target)
    {
        const std::string table = parameter(target, "table");
        const std::uint64_t after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const int wait = std::atoi(parameter(target, "wait_ms").c_str());
        const auto until = Clock::now() + std::chrono::milliseconds(wait);
        std::string body;
        {
            std::unique_lock lock(this->mutex);
            std::vector<std::pair<std::string, std::string>> keys;
            while (true) {
                keys.clear();
                for (const auto &[key, row] : this->rows) {
                    if (key.first == table && row.version > after) {
                        keys.push_back(key);
                    }
                }
                if (!keys.empty()
                    || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
                    break;
                }
            }
            std::sort(keys.begin(), keys.end(), [this](const auto &left, const auto &right) {
                return this->rows.at(left).version < this->rows.at(right).version;
            });
            body = this->page(keys).dump();
        }
        answer(wire, 200, body);
    }
    void transact(Wire &wire, const std::string &text)
    {
        const json call = json::parse(text, nullptr, false);
        int status = 200;
        std::string body;
        {
            const std::lock_guard lock(this->mutex);
            std::vector<std::pair<std::string, std::string>> expected;
            for (const json &row : call.value("expected", json::array())) {
                const std::pair<std::string, std::string> key{row["table"], row["key"]};
                const auto found = this->rows.find(key);
                const std::uint64_t known = found == this->rows.end() || found->second.deleted
                    ? 0
                    : found->second.version;
                status = known == row["row_version"].get<std::uint64_t>() ? status : 412;
                expected.push_back(key);
            }
            if (status == 200) {
                ++this->version;
                for (const json &row : call.value("write", json::array())) {
                    this->rows[{row["table"], row["key"]}] = {
                        unbase64(row["value"].get<std::string>()), this->version, false};
                }
                for (const json &row : call.value("delete", json::array())) {
                    this->rows[{row["table"], row["key"]}] = {"", this->version, true};
                }
                body = json{{"row_version", this->version}, {"now_ms", nowMs()}}.dump();
            } else {
                body = this->page(expected).dump();
            }
            this->changed.notify_all();
        }
        answer(wire, status, body);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, Row> rows;
    std::uint64_t version = 1;
    Server server; // Last: its threads use the members above.
};

inline int freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        std::perror("free port");
        std::exit(2);
    }
    ::close(fd);
    return ntohs(address.sin_port);
}

struct InstanceOptions
{
    int memoryMb = 260;
    int descriptors = 4100;
    std::string zone = "recife-a";
    std::vector<std::string> seeds;
    std::string folder;
};

/// Ends the script and what it has started after `seconds`, or when it is told to end.
inline void limitTime(int seconds)
{
    const auto stop = [](int) {
        endStarted();
        ::_exit(2);
    };
    ::signal(SIGTERM, stop);
    ::signal(SIGINT, stop);
    ::signal(SIGALRM, stop);
    ::alarm(static_cast<unsigned>(seconds));
}

/// One process of the product, started as the deploy file says.
class Instance
{
public:
    Instance(const std::string &name, const Store &store, const InstanceOptions &options)
        : name(name)
        , options(options)
        , callers(freePort())
        , health(freePort())
        , directory(freePort())
        , peers(freePort())
        , metrics(freePort())
        , settings(options.folder + "/" + name + ".json")
    {
        const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        std::string seeds;
        for (const std::string &seed : options.seeds) {
            seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
        }
        std::ofstream(this->settings)
            << "{\"instance\":\"" << name << "\",\"failureDomain\":\"" << options.zone
            << "\",\"region\":\"nordeste\",\"processors\":0.25,\"limits\":{\"memoryMb\":"
            << options.memoryMb << ",\"maxDescriptors\":" << options.descriptors
            << "},\"listen\":{\"callers\":" << at(this->callers) << ",\"health\":"
            << at(this->health) << ",\"directory\":" << at(this->directory)
            << ",\"peers\":" << at(this->peers) << ",\"metrics\":" << at(this->metrics)
            << "},\"seeds\":[" << seeds << "],\"store\":{\"endpoint\":\"" << store.address()
            << "\"},\"bounds\":{\"exposureShare\":0.15,\"exposureSlack\":30,\"rollbackMs\":5000,"
               "\"sessionGapSeconds\":5,\"retryRatio\":0.9,\"retryWindowSeconds\":10,"
               "\"retrySlack\":58,\"directoryTtlMaxSeconds\":5,\"stopGraceSeconds\":8,"
               "\"configApplyMs\":2000,\"drainMs\":2000,\"contactMs\":3000}}\n";
    }
    ~Instance() { this->kill(); }
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    std::string peerAddress() const { return "127.0.0.1:" + std::to_string(this->peers); }

    void start()
    {
        const char *root = std::getenv("REVIEW_ROOT");
        const std::string program =
            std::string(root ? root : ".") + "/target/tools/basilnotch/basilnotch";
        std::vector<std::string> words{program, "serve"};
        std::vector<char *> arguments{words[0].data(), words[1].data(), nullptr};
        std::vector<std::string> variables;
        for (char **item = environ; *item; ++item) {
            if (std::strncmp(*item, "BASILNOTCH_BOOT=", 16) != 0) {
                variables.emplace_back(*item);
            }
        }
        variables.push_back("BASILNOTCH_BOOT=" + this->settings);
        std::vector<char *> environment;
        for (std::string &item : variables) {
            environment.push_back(item.data());
        }
        environment.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        const std::string log = this->options.folder + "/" + this->name + ".log";
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        if (::posix_spawn(&this->id, program.c_str(), &actions, nullptr, arguments.data(),
                          environment.data())
            != 0) {
            std::fprintf(stderr, "cannot start %s\n", program.c_str());
            std::exit(2);
        }
        posix_spawn_file_actions_destroy(&actions);
        this->note(this->id);
    }
    bool waitReady(int timeoutMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        while (Clock::now() < until) {
            if (this->ready()) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }
    bool ready() const
    {
        Wire wire(connectTo(this->health));
        Message answer;
        return wire.isOpen() && wire.send("GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            && wire.readMessage(&answer, 1000, true) && answer.status == 200;
    }
    /// Whether the process has ended; `how` tells how.
    bool hasEnded(std::string *how = nullptr)
    {
        int status = 0;
        if (this->id > 0 && ::waitpid(this->id, &status, WNOHANG) == this->id) {
            this->note(0);
            this->id = 0;
            this->end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                            : "status " + std::to_string(WEXITSTATUS(status));
        }
        if (how) {
            *how = this->end;
        }
        return this->id == 0;
    }
    void signal(int number) const
    {
        if (this->id > 0) {
            ::kill(this->id, number);
        }
    }
    void kill()
    {
        if (this->id > 0) {
            ::kill(this->id, SIGKILL);
            ::waitpid(this->id, nullptr, 0);
            this->note(0);
            this->id = 0;
        }
    }
    /// A figure of /proc/ID/status in kilobytes, such as VmRSS.
    long memoryKb(const std::string &field) const
    {
        std::ifstream file("/proc/" + std::to_string(this->id) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.rfind(field + ":", 0) == 0) {
                return std::atol(line.c_str() + field.size() + 1);
            }
        }
        return 0;
    }

    const std::string name;
    const InstanceOptions options;
    const int callers, health, directory, peers, metrics;
    const std::string settings;

private:
    void note(int now)
    {
        if (this->slot < 0) {
            static std::atomic<int> next{0};
            this->slot = next++ % 64;
        }
        startedIds[this->slot] = now;
    }

    pid_t id = 0;
    int slot = -1; ///< In startedIds.
    std::string end;
};

inline std::string temporaryFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(path.data())) {
        std::perror("mkdtemp");
        std::exit(2);
    }
    return path;
}

inline void allowDescriptors()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline std::string registration(const std::string &service, const std::string &address, int slots,
                                std::int64_t born, int seq = 1, const std::string &state = "ready")
{
    return json{{"service", service}, {"address", address}, {"zone", "recife-a"},
                {"version", "v1"},    {"slots", slots},     {"state", state},
                {"cold_left_ms", 0},  {"seq", seq},         {"born", born}}
        .dump();
}

} // namespace standin
