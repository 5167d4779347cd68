// A TCP relay that can be cut or reset connections: the network between two processes of a test.
#pragma once

#include <runtime/FiberRuntime.h>
#include <settings/Settings.h>

#include <memory>
#include <optional>

namespace basilnotch {

enum class RelayDirection {
    ToTarget,
    ToCaller,
};

/// Forwards bytes both ways until cut; a cut holds bytes back and lets no new connection through,
/// as a lost network does: nobody is told. Thread safe after start.
class CuttingRelay
{
public:
    CuttingRelay(FiberRuntime &runtime, Endpoint listen, Endpoint target);
    ~CuttingRelay();
    CuttingRelay(const CuttingRelay &) = delete;
    CuttingRelay &operator=(const CuttingRelay &) = delete;

    bool start();
    void setCut(bool cut);
    /// Cuts one way only.
    void setCut(RelayDirection direction, bool cut);
    /// The connections that are open now take all bytes and forward none any more, nor their end.
    /// Later connections are not affected.
    void muteOpenConnections();
    /// Ends the connections that are open now in order, as a peer that closes them does.
    void endOpenConnections();
    /// Resets each connection, both ways, when more than `bytes` come in `direction` since it was
    /// made; what is above them is not forwarded. Nothing ends that.
    void resetAfter(RelayDirection direction, std::optional<std::size_t> bytes);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace basilnotch
