// A small blocking HTTP/1.1 server and client on loopback addresses, one thread a connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Address
{
    std::string ip = "127.0.0.1";
    int port = 0;
    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string findHeader(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string path() const { return this->target.substr(0, this->target.find('?')); }
    std::string query(const std::string &name) const
    {
        std::size_t at = this->target.find('?');
        while (at != std::string::npos) {
            const std::size_t end = this->target.find('&', at + 1);
            const std::string part = this->target.substr(
                at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
            if (part.rfind(name + "=", 0) == 0) {
                return part.substr(name.size() + 1);
            }
            at = end;
        }
        return {};
    }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// Whether all of `ports` can be bound at `ip`.
inline bool areFree(const std::string &ip, const std::vector<int> &ports)
{
    return std::all_of(ports.begin(), ports.end(), [&](int port) {
        const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in where = socketAddress({ip, port});
        const bool isFree =
            ::bind(handle, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) == 0;
        ::close(handle);
        return isFree;
    });
}

/// Reads what a peer sends, piece by piece.
class Reader
{
public:
    explicit Reader(int handle)
        : handle(handle)
    { }

    /// False at the end of the connection or at `until`.
    bool fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
        pollfd state{this->handle, POLLIN, 0};
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0) {
            this->timedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t got = ::recv(this->handle, bytes, sizeof(bytes), 0);
        if (got <= 0) {
            this->wasReset = got < 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }
    bool line(std::string *out, Clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill(until)) {
                return false;
            }
        }
        *out = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return true;
    }
    bool bytes(std::size_t count, std::string *out, Clock::time_point until)
    {
        while (this->buffer.size() < count) {
            if (!this->fill(until)) {
                return false;
            }
        }
        out->append(this->buffer, 0, count);
        this->buffer.erase(0, count);
        return true;
    }
    bool headers(Headers *out, Clock::time_point until)
    {
        std::string text;
        while (this->line(&text, until)) {
            if (text.empty()) {
                return true;
            }
            const std::size_t colon = text.find(':');
            if (colon == std::string::npos) {
                return false;
            }
            const std::size_t start = text.find_first_not_of(' ', colon + 1);
            out->emplace_back(text.substr(0, colon),
                              start == std::string::npos ? "" : text.substr(start));
        }
        return false;
    }

    std::string buffer;
    bool wasReset = false;
    bool timedOut = false;

private:
    const int handle;
};

/// One connection that a server has accepted. Its handler writes the answer.
class Connection
{
public:
    explicit Connection(int handle)
        : handle(handle)
    { }
    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                ::send(this->handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    bool respond(int status, const Headers &headers, const std::string &body) const
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
        for (const auto &[key, value] : headers) {
            text += key + ": " + value + "\r\n";
        }
        return this->send(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                          + body);
    }
    /// Whether the peer has closed the connection.
    bool isClosed() const
    {
        char byte = 0;
        return ::recv(this->handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    const int handle;
};

/// Accepts connections until stop(), which closes them all at once, as the end of a process does.
class Server
{
public:
    /// Returns false to close the connection.
    using Handler = std::function<bool(const Request &, const Connection &)>;

    explicit Server(Handler handler)
        : handler(std::move(handler))
    { }
    ~Server() { this->stop(); }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Listens at `where`; with port 0 at a free one, which `where` then names.
    bool start(Address *where)
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address = socketAddress(*where);
        if (::bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(this->listener, 256) != 0) {
            return false;
        }
        socklen_t size = sizeof(address);
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size);
        where->port = ntohs(address.sin_port);
        this->isStopped = false;
        this->acceptor = std::thread([this] { this->acceptLoop(); });
        return true;
    }
    void stop()
    {
        if (this->isStopped.exchange(true)) {
            return;
        }
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->listener);
        this->closeConnections();
        while (this->running.load() > 0) {
            std::this_thread::sleep_for(Millis(1));
        }
    }
    /// Closes the listener and all connections, callable from a handler.
    void crash()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->closeConnections();
    }

private:
    void closeConnections()
    {
        const std::lock_guard lock(this->mutex);
        for (const int handle : this->open) {
            ::shutdown(handle, SHUT_RDWR);
        }
    }
    void acceptLoop()
    {
        while (!this->isStopped) {
            const int handle = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                if (this->isStopped || errno == EINVAL) {
                    return; // The listener has been closed.
                }
                continue;
            }
            const int on = 1;
            ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(this->mutex);
                this->open.insert(handle);
            }
            ++this->running;
            std::thread([this, handle] {
                this->serve(Connection(handle));
                {
                    const std::lock_guard lock(this->mutex);
                    this->open.erase(handle);
                    ::close(handle);
                }
                --this->running;
            }).detach();
        }
    }
    void serve(const Connection &connection)
    {
        Reader reader(connection.handle);
        while (true) {
            const auto until = Clock::now() + std::chrono::minutes(5);
            Request request;
            std::string first;
            if (!reader.line(&first, until) || !reader.headers(&request.headers, until)) {
                return;
            }
            const std::size_t space = first.find(' ');
            request.method = first.substr(0, space);
            request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
            const std::string length = findHeader(request.headers, "Content-Length");
            if (!length.empty() && !reader.bytes(std::stoul(length), &request.body, until)) {
                return;
            }
            if (!this->handler(request, connection)) {
                return;
            }
        }
    }

    const Handler handler;
    int listener = -1;
    std::atomic<bool> isStopped{true};
    std::atomic<int> running{0};
    std::mutex mutex;
    std::set<int> open;
    std::thread acceptor;
};

struct Answer
{
    int status = 0; ///< 0: none.
    Headers headers;
    std::string body;
    bool isComplete = false;
    std::string end; ///< How the connection ended, if the answer is not complete.
};

/// Sends one request on a connection of its own.
inline Answer call(const Address &to, const Request &request, Millis timeout)
{
    Answer answer;
    const auto until = Clock::now() + timeout;
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in where = socketAddress(to);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&where), sizeof(where)) != 0) {
        ::close(handle);
        answer.end = "no connection";
        return answer;
    }
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[key, value] : request.headers) {
        text += key + ": " + value + "\r\n";
    }
    if (!request.body.empty() || request.method == "POST") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    Connection(handle).send(text + "\r\n" + request.body);
    Reader reader(handle);
    std::string first;
    if (reader.line(&first, until) && reader.headers(&answer.headers, until)) {
        answer.status = std::stoi(first.substr(first.find(' ') + 1));
        const std::string length = findHeader(answer.headers, "Content-Length");
        if (findHeader(answer.headers, "Transfer-Encoding") == "chunked") {
            std::string size;
            while (reader.line(&size, until)) {
                const std::size_t count = std::stoul(size, nullptr, 16);
                std::string end;
                if (!reader.bytes(count, &answer.body, until) || !reader.line(&end, until)) {
                    break;
                }
                if (count == 0) {
                    answer.isComplete = true;
                    break;
                }
            }
        } else if (!length.empty()) {
            answer.isComplete = reader.bytes(std::stoul(length), &answer.body, until);
        }
    }
    if (!answer.isComplete) {
        answer.end = reader.timedOut ? "time-out" : reader.wasReset ? "reset" : "closed";
    }
    ::close(handle);
    return answer;
}

} // namespace review
