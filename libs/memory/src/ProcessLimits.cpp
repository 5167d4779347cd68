// Limits that the system states, and the shares of them.
#include <memory/ProcessLimits.h>

#include <algorithm>
#include <fstream>
#include <string>

#include <sys/resource.h>
#include <unistd.h>

namespace basilnotch {

namespace {

constexpr std::int64_t kMegabyte = 1'000'000;
constexpr int kFileDescriptors = 200; ///< For files, event loops and sockets that listen.
/// Per cent of the other descriptors; a request that is forwarded needs one towards its upstream.
constexpr int kCallerPercent = 65;
constexpr int kHundred = 100;
// Of all descriptors, a port may use one in so many, but not more than its maximum.
constexpr int kDirectoryShare = 16;
constexpr int kMaxDirectory = 256;
constexpr int kOperatorShare = 64;
constexpr int kMaxOperator = 64;
constexpr int kPeerShare = 8;
constexpr int kMaxPeer = 1024;
constexpr int kFewest = 24;
constexpr int kUsual = 1024; ///< Descriptors, when nobody says how many.
/// Of an idle connection or one that reads a short request: its fiber's stack and buffers.
constexpr std::int64_t kConnectionBytes = 20 * 1024;
constexpr std::int64_t kConnectionMemoryShare = 3; ///< They may use one part in this.

std::int64_t groupMemory()
{
    std::int64_t least = 0;
    for (const char *path :
         {"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"}) {
        std::int64_t bytes = 0;
        std::ifstream file(path);
        if (file >> bytes && bytes > 0 && (least == 0 || bytes < least)) {
            least = bytes;
        }
    }
    return least;
}

std::int64_t systemMemory()
{
    const std::int64_t machine =
        std::int64_t{::sysconf(_SC_PHYS_PAGES)} * std::int64_t{::sysconf(_SC_PAGESIZE)};
    const std::int64_t group = groupMemory();
    return group > 0 ? std::min(machine, group) : machine;
}

/// 0 when the system does not say.
int systemDescriptors()
{
    constexpr rlim_t kMost = 1'000'000;
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0
        ? static_cast<int>(std::min(limit.rlim_cur, kMost))
        : 0;
}

} // namespace

int ProcessLimits::callerConnections(int most) const
{
    // A process with few descriptors opens few files, too.
    const int files = std::min(kFileDescriptors, this->descriptors / 4);
    const int byDescriptors = (this->descriptors - files) * kCallerPercent / kHundred;
    const std::int64_t byMemory = this->memoryBytes / kConnectionMemoryShare / kConnectionBytes;
    const std::int64_t fewest = std::min<std::int64_t>(byDescriptors, byMemory);
    return static_cast<int>(std::clamp<std::int64_t>(fewest, 1, most));
}

int ProcessLimits::directoryConnections() const
{
    return std::clamp(this->descriptors / kDirectoryShare, kFewest, kMaxDirectory);
}

int ProcessLimits::operatorConnections() const
{
    return std::clamp(this->descriptors / kOperatorShare, kFewest, kMaxOperator);
}

int ProcessLimits::peerConnections() const
{
    return std::clamp(this->descriptors / kPeerShare, kFewest, kMaxPeer);
}

ProcessLimits processLimits(int memoryMb, int descriptors)
{
    const int system = systemDescriptors();
    ProcessLimits limits;
    limits.memoryBytes = memoryMb > 0 ? memoryMb * kMegabyte : systemMemory();
    limits.descriptors = descriptors > 0 && (system == 0 || descriptors < system) ? descriptors
        : system > 0                                                              ? system
                                                                                  : kUsual;
    return limits;
}

} // namespace basilnotch
