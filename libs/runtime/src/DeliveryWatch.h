// Looks after connections with bytes under way. The kernel alone can't: a TCP_USER_TIMEOUT also
// breaks the connection of a peer that acknowledges everything but reads slowly, and without one an
// unreachable peer is noticed after minutes.
#pragma once

#include "DeliveryProgress.h"

#include <memory>

namespace basilnotch {

class FiberRuntime;
class DeliveryWatch;

/// A connection of a DeliveryWatch, which must not outlive the watch's thread.
class WatchedConnection
{
public:
    WatchedConnection() = default;
    virtual ~WatchedConnection();
    WatchedConnection(const WatchedConnection &) = delete;
    WatchedConnection &operator=(const WatchedConnection &) = delete;

    virtual int socketHandle() = 0;
    /// All bytes that the kernel has taken so far.
    virtual std::int64_t writtenBytes() const = 0;
    /// Called at each check; must neither block nor destroy a connection. Returns whether to go on
    /// watching. `result` is that of a complete delivery if the system does not tell.
    virtual bool onDelivery(const DeliveryProgress::Result &result, TimePoint now) = 0;

private:
    friend class DeliveryWatch;
    struct Registration;
    std::shared_ptr<Registration> registration; ///< While it is watched.
    DeliveryProgress progress;
};

/// Checks its connections at a fixed interval on the thread of one FiberRuntime. Not thread-safe.
class DeliveryWatch
{
public:
    explicit DeliveryWatch(FiberRuntime &runtime);
    ~DeliveryWatch();
    DeliveryWatch(const DeliveryWatch &) = delete;
    DeliveryWatch &operator=(const DeliveryWatch &) = delete;

    /// Does nothing if `connection` is watched already.
    void add(WatchedConnection &connection);

private:
    struct State;
    std::shared_ptr<State> state; ///< The timer's handler has a weak one.
};

} // namespace basilnotch
