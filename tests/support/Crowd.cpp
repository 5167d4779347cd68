// One poll loop over non-blocking sockets.
#include "Crowd.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace basilnotch::testing {

namespace {

constexpr int kPollMs = 10;
constexpr std::size_t kReadBytes = 16 * 1024;

std::chrono::steady_clock::time_point clockNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

struct Crowd::Connection
{
    const CrowdMember *member = nullptr;
    int handle = -1;
    std::int64_t sentParts = -1; ///< -1: the opening is not sent yet.
    std::size_t offset = 0;      ///< Sent of the text at hand.
    bool hasSentAll = false;
    bool isOver = false; ///< Has lost its connection and does not come back.
    std::chrono::steady_clock::time_point nextAt{};

    const std::string &text() const
    {
        return this->sentParts < 0                  ? this->member->opening
            : this->sentParts < this->member->parts ? this->member->part
                                                    : this->member->ending;
    }
};

Crowd::Crowd(const Endpoint &peer, std::vector<CrowdMember> given)
    : peer(peer)
    , members(std::move(given))
    , busyMembers(static_cast<std::int64_t>(this->members.size()))
    , thread([this] { this->run(); })
{ }

Crowd::~Crowd()
{
    this->ending.store(true);
    this->thread.join();
}

void Crowd::open(Connection &connection) const
{
    connection.sentParts = -1;
    connection.offset = 0;
    connection.hasSentAll = false;
    connection.handle = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connection.handle < 0) {
        return;
    }
    if (!connection.member->reads) {
        const int bytes = connection.member->receiveBytes;
        ::setsockopt(connection.handle, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->peer.port);
    ::inet_pton(AF_INET, this->peer.address.c_str(), &address.sin_addr);
    (void)::connect(connection.handle, reinterpret_cast<const sockaddr *>(&address),
                    sizeof(address));
}

void Crowd::close(Connection &connection) const
{
    ::close(connection.handle);
    connection.handle = -1;
    connection.isOver = !connection.member->comesBack;
    connection.nextAt = clockNow() + std::chrono::milliseconds(kPollMs);
}

bool Crowd::write(Connection &connection) const
{
    while (!connection.hasSentAll && clockNow() >= connection.nextAt) {
        const std::string &text = connection.text();
        const ssize_t sent = ::send(connection.handle, text.data() + connection.offset,
                                    text.size() - connection.offset, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        }
        connection.offset += static_cast<std::size_t>(sent);
        if (connection.offset < text.size()) {
            return true;
        }
        connection.offset = 0;
        ++connection.sentParts;
        connection.hasSentAll = connection.sentParts > connection.member->parts;
        if (connection.member->pause > Duration::zero()) {
            connection.nextAt = clockNow()
                + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                    connection.member->pause);
        }
    }
    return true;
}

bool Crowd::read(Connection &connection) const
{
    std::array<char, kReadBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const ssize_t got = ::recv(connection.handle, bytes.data(), bytes.size(), MSG_DONTWAIT);
    return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
}

void Crowd::run()
{
    std::vector<Connection> connections(this->members.size());
    for (std::size_t index = 0; index < connections.size(); ++index) {
        connections[index].member = &this->members[index];
    }
    std::vector<pollfd> polled;
    std::vector<Connection *> owners;
    while (!this->ending.load()) {
        polled.clear();
        owners.clear();
        std::int64_t busy = 0;
        for (Connection &connection : connections) {
            const bool isDue = clockNow() >= connection.nextAt;
            if (connection.handle < 0 && !connection.isOver && isDue) {
                this->open(connection);
            }
            busy +=
                connection.isOver || connection.hasSentAll || connection.member->comesBack ? 0 : 1;
            if (connection.handle < 0) {
                continue;
            }
            const bool writes = !connection.hasSentAll && isDue;
            const int events = (writes ? POLLOUT : 0) | (connection.member->reads ? POLLIN : 0);
            polled.push_back({connection.handle, static_cast<short>(events), 0});
            owners.push_back(&connection);
        }
        this->busyMembers.store(busy);
        (void)::poll(polled.data(), polled.size(), kPollMs);
        for (std::size_t index = 0; index < polled.size(); ++index) {
            const short seen = polled[index].revents;
            Connection &connection = *owners[index];
            const bool failed = (seen & (POLLERR | POLLHUP)) != 0;
            const bool goesOn = !failed && ((seen & POLLIN) == 0 || this->read(connection))
                && ((seen & POLLOUT) == 0 || this->write(connection));
            if (!goesOn) {
                this->close(connection);
            }
        }
    }
    for (const Connection &connection : connections) {
        if (connection.handle >= 0) {
            ::close(connection.handle);
        }
    }
}

std::vector<CrowdMember> crowdOf(int count, const CrowdMember &member)
{
    return std::vector<CrowdMember>(static_cast<std::size_t>(count), member);
}

ProcessUse processUse(int process)
{
    const std::string folder = "/proc/" + std::to_string(process);
    ProcessUse use;
    std::ifstream status(folder + "/status");
    std::string line;
    constexpr std::int64_t kKilobyte = 1024;
    while (std::getline(status, line)) {
        std::istringstream words(line);
        std::string name;
        words >> name;
        if (name == "VmHWM:") {
            words >> use.peakBytes;
            use.peakBytes *= kKilobyte;
            use.lives = true; // A process that has ended and is not waited for has no memory.
        }
    }
    std::error_code error;
    const auto opened = std::filesystem::directory_iterator(folder + "/fd", error);
    use.descriptors = error ? 0 : static_cast<int>(std::distance(begin(opened), end(opened)));
    return use;
}

ChildDescriptorLimit::ChildDescriptorLimit(int descriptors)
{
    rlimit limit{};
    if (descriptors > 0 && ::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        this->before = limit.rlim_cur;
        limit.rlim_cur = static_cast<rlim_t>(descriptors);
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
    }
}

ChildDescriptorLimit::~ChildDescriptorLimit()
{
    rlimit limit{};
    if (this->before > 0 && ::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = this->before;
        (void)::setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace basilnotch::testing
