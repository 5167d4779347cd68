// A server that writes the bytes of its answers itself, so that they can be cut anywhere, and the
// caller that reads every byte of an answer.
#pragma once

#include <settings/Settings.h>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace basilnotch::testing {

inline sockaddr_in socketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

/// Value of a header field; empty when there is none.
inline std::string rawField(std::string_view head, std::string_view name)
{
    const std::string field = absl::StrCat("\r\n", std::string(name), ": ");
    const std::size_t at = head.find(field);
    if (at == std::string_view::npos) {
        return {};
    }
    const std::size_t start = at + field.size();
    return std::string(head.substr(start, head.find('\r', start) - start));
}

/// Reads until head and body are there as Content-Length tells; empty when the peer closes first.
inline std::string readRawRequest(int connection)
{
    std::string bytes;
    char buffer[4096];
    while (true) {
        const std::size_t head = bytes.find("\r\n\r\n");
        if (head != std::string::npos) {
            std::size_t body = 0;
            (void)absl::SimpleAtoi(rawField(bytes.substr(0, head + 2), "Content-Length"), &body);
            if (bytes.size() >= head + 4 + body) {
                return bytes;
            }
        }
        const ssize_t got = ::recv(connection, buffer, sizeof(buffer), 0);
        if (got <= 0) {
            return {};
        }
        bytes.append(buffer, static_cast<std::size_t>(got));
    }
}

/// Blocking sockets and a thread for each connection.
class RawServer
{
public:
    enum class Then { Close, Reset, Keep };
    struct Reply
    {
        std::string bytes;
        Then then = Then::Close;
    };
    /// `number` counts the requests of a connection from 0. Called by one thread of this server at
    /// a time, also after the caller of the last request has its answer.
    using Script = std::function<Reply(const std::string &request, int number)>;

    /// With port 0 the system chooses one.
    RawServer(const Endpoint &listen, Script script)
        : script(std::move(script))
        , listener(::socket(AF_INET, SOCK_STREAM, 0))
        , bound(listen)
    {
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address = socketAddress(listen);
        socklen_t length = sizeof(address);
        this->listening =
            ::bind(this->listener, reinterpret_cast<sockaddr *>(&address), length) == 0
            && ::listen(this->listener, 64) == 0;
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &length);
        this->bound.port = ntohs(address.sin_port);
        this->acceptor = std::thread([this] { this->accept(); });
    }
    ~RawServer()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->listener);
        for (const int connection : this->connections) {
            ::shutdown(connection, SHUT_RDWR);
        }
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        for (const int connection : this->connections) {
            ::close(connection);
        }
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    bool isListening() const { return this->listening; }
    const Endpoint &address() const { return this->bound; }

private:
    void accept()
    {
        while (true) {
            const int connection = ::accept(this->listener, nullptr, nullptr);
            if (connection < 0) {
                return;
            }
            this->connections.push_back(connection);
            this->threads.emplace_back([this, connection] { this->serve(connection); });
        }
    }

    /// The descriptor stays open until the end, so that its number isn't given out again.
    void serve(int connection)
    {
        for (int number = 0;; ++number) {
            const std::string request = readRawRequest(connection);
            if (request.empty()) {
                ::shutdown(connection, SHUT_RDWR);
                return;
            }
            Reply reply;
            {
                const std::lock_guard lock(this->mutex);
                reply = this->script(request, number);
            }
            (void)::send(connection, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
            if (reply.then == Then::Reset) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50)); // The bytes go first.
                sockaddr unspecified{};
                unspecified.sa_family = AF_UNSPEC; // Disconnects with a reset.
                ::connect(connection, &unspecified, sizeof(unspecified));
                return;
            }
            if (reply.then == Then::Close) {
                ::shutdown(connection, SHUT_RDWR);
                return;
            }
        }
    }

    const Script script;
    const int listener;
    Endpoint bound;
    bool listening = false;
    std::mutex mutex; ///< Held while the script runs.
    std::thread acceptor;
    std::vector<int> connections; ///< Of the acceptor's thread until it has ended.
    std::vector<std::thread> threads;
};

/// What a caller's socket has received.
struct RawAnswer
{
    int status = 0;
    std::string bytes;
    std::string body;   ///< Without the framing.
    bool whole = false; ///< Complete by its framing.
};

/// Sends a request that closes the connection, and reads until the end.
inline RawAnswer rawCall(const Endpoint &peer, const std::string &method, const std::string &target,
                         const std::string &fields, const std::string &body)
{
    RawAnswer answer;
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{20, 0};
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const sockaddr_in address = socketAddress(peer);
    const std::string request = absl::StrCat(
        method, " ", target, " HTTP/1.1\r\nHost: ", peer.text(),
        "\r\nConnection: close\r\nContent-Length: ", body.size(), "\r\n", fields, "\r\n", body);
    if (::connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        (void)::send(connection, request.data(), request.size(), MSG_NOSIGNAL);
        char buffer[4096];
        ssize_t got = 0;
        while ((got = ::recv(connection, buffer, sizeof(buffer), 0)) > 0) {
            answer.bytes.append(buffer, static_cast<std::size_t>(got));
        }
    }
    ::close(connection);
    const std::size_t head = answer.bytes.find("\r\n\r\n");
    if (head == std::string::npos) {
        return answer;
    }
    (void)absl::SimpleAtoi(answer.bytes.substr(9, 3), &answer.status);
    std::string_view rest = std::string_view(answer.bytes).substr(head + 4);
    const std::string fieldsRead = answer.bytes.substr(0, head + 2);
    if (!absl::EqualsIgnoreCase(rawField(fieldsRead, "Transfer-Encoding"), "chunked")) {
        std::size_t length = 0;
        answer.body = std::string(rest);
        answer.whole = absl::SimpleAtoi(rawField(fieldsRead, "Content-Length"), &length)
            && rest.size() == length;
        return answer;
    }
    while (true) {
        const std::size_t line = rest.find("\r\n");
        std::size_t size = 0;
        if (line == std::string_view::npos
            || !absl::SimpleHexAtoi(absl::string_view(rest.data(), line), &size)
            || rest.size() < line + 4 + size) {
            return answer;
        }
        answer.body += rest.substr(line + 2, size);
        rest.remove_prefix(line + 4 + size);
        if (size == 0) {
            answer.whole = rest.empty();
            return answer;
        }
    }
}

} // namespace basilnotch::testing
