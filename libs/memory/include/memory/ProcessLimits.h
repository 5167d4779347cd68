// How much memory and how many descriptors a process may use, and how they are divided.
#pragma once

#include <cstdint>

namespace basilnotch {

struct ProcessLimits
{
    std::int64_t memoryBytes = 0;
    int descriptors = 0;

    /// Connections that callers may have: leaves descriptors for upstreams, store, peers and files,
    /// and memory for what is read from them. At most `most`.
    int callerConnections(int most) const;
    /// Connections to the port at which callers ask for instances.
    int directoryConnections() const;
    /// Connections to a port that operators' programs ask.
    int operatorConnections() const;
    /// Connections that other instances may have.
    int peerConnections() const;
};

/// Limits of this process; 0 stands for a limit that is not stated and is that of the system then:
/// of the control group or the machine, and of open files.
ProcessLimits processLimits(int memoryMb, int descriptors);

} // namespace basilnotch
