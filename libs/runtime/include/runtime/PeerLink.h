// Request and reply between the system's own processes, over one TCP connection to each peer.
#pragma once

#include <base/Clock.h>
#include <base/Failure.h>
#include <memory/ProcessLimits.h>
#include <settings/Settings.h>

#include <functional>
#include <memory>
#include <string>

namespace basilnotch {

class FiberRuntime;

/// Answers requests of other instances. `handler` runs in a fiber of `runtime`.
class PeerServer
{
public:
    using Handler = std::function<std::string(std::string)>;

    /// `limits`: of the process, of which the connections of peers and what they send get a part.
    PeerServer(FiberRuntime &runtime, Endpoint listen, Handler handler,
               const ProcessLimits &limits = processLimits(0, 0));
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;
    absl::Status start();

private:
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Shared with the fibers of its connections.
};

/// Sends requests to other instances. One object serves all fibers of its runtime's thread.
class PeerClient
{
public:
    explicit PeerClient(FiberRuntime &runtime);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Suspends the calling fiber until the peer's reply or the timeout. Until then a request whose
    /// connection ends is sent again on the next one: the peer may handle it twice.
    absl::StatusOr<std::string> call(const Endpoint &peer, std::string_view message,
                                     Duration timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Shared with the fibers of its links.
};

} // namespace basilnotch
