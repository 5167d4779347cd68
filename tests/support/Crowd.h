// Clients that keep no bound, on sockets of one thread of their own, and what they cost a process.
#pragma once

#include <base/Clock.h>
#include <settings/Settings.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace basilnotch::testing {

/// What one client sends: `opening`, `parts` times `part`, `ending`; then its connection stays
/// open.
struct CrowdMember
{
    std::string opening;
    std::string part;
    std::int64_t parts = 0;
    std::string ending;
    Duration pause{};        ///< After each part; zero: as fast as the connection takes them.
    bool reads = true;       ///< Reads and drops whatever is answered.
    bool comesBack = false;  ///< Connects again whenever its connection ends.
    int receiveBytes = 4096; ///< Of its socket's buffer, when it does not read.
};

/// Runs from its construction to its destruction, which closes all connections.
class Crowd
{
public:
    Crowd(const Endpoint &peer, std::vector<CrowdMember> members);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Whether each member that does not come back has sent everything or lost its connection.
    bool isDone() const { return this->busyMembers.load() == 0; }

private:
    struct Connection;

    void run();
    void open(Connection &connection) const;
    void close(Connection &connection) const;
    /// Whether the connection goes on.
    bool write(Connection &connection) const;
    bool read(Connection &connection) const;

    const Endpoint peer;
    const std::vector<CrowdMember> members;
    std::atomic<std::int64_t> busyMembers;
    std::atomic<bool> ending{false};
    std::thread thread;
};

/// `count` times `member`.
std::vector<CrowdMember> crowdOf(int count, const CrowdMember &member);

/// What a process has used, from /proc.
struct ProcessUse
{
    bool lives = false;
    std::int64_t peakBytes = 0; ///< Of resident memory.
    int descriptors = 0;
};
ProcessUse processUse(int process);

/// Processes that are started while one of these exists may open this many descriptors.
class ChildDescriptorLimit
{
public:
    /// 0: no other limit than this process has.
    explicit ChildDescriptorLimit(int descriptors);
    ~ChildDescriptorLimit();
    ChildDescriptorLimit(const ChildDescriptorLimit &) = delete;
    ChildDescriptorLimit &operator=(const ChildDescriptorLimit &) = delete;

private:
    std::uint64_t before = 0; ///< 0: unchanged.
};

} // namespace basilnotch::testing
