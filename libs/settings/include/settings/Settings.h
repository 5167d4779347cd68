// Settings of one entry instance: plain values with their defaults, read from JSON with comments.
// Every key is checked; an unknown key is a fault, so a misspelt one cannot pass as a default.
#pragma once

#include <base/Clock.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An IP address with a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    std::string text() const;
    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

/// Reads "ADDRESS:PORT"; false when it is not one.
bool parseEndpoint(std::string_view text, Endpoint *endpoint);

struct PeerSettings
{
    std::string name;
    Endpoint endpoint; ///< Where the peer listens for other instances.
};

/// One path of a plain service.
struct ServiceCallSettings
{
    std::string path;        ///< Prefix of the path below /SERVICE/.
    bool repeatable = false; ///< The call is idempotent: it may be retried and hedged.
};

struct UpstreamSettings
{
    std::string name;
    std::string kind; ///< Name of a registered upstream kind: model-engine or plain-service.
    Endpoint endpoint;
    std::string failureDomain;
    std::string service;        ///< Plain services only: the first part of the path.
    std::string pool;           ///< Model engines only: one lease holder gives orders to a pool.
    bool checksFencing = false; ///< The upstream refuses orders with an old fencing number.
    int slots = 48;             ///< Requests that it serves at once.
    std::vector<std::string> models; ///< Model engines only: models that it may be ordered to load.
    std::vector<ServiceCallSettings> calls;
};

struct WorkspaceSettings
{
    std::string name;
    std::string key; ///< Bearer key of its callers.
};

struct PlatformSettings
{
    std::string adapter = "http"; ///< Name of a registered platform adapter.
    Endpoint endpoint;
    Duration timeout = milliseconds(800);
};

/// Bounds on everything that callers can make grow.
struct LimitSettings
{
    int connections = 4096;
    int headerBytes = 16 * 1024;
    int bodyBytes = 1024 * 1024;
    int queuedRequests = 2048; ///< Waiting for an upstream, for each traffic thread.
    int queuedPerWorkspace = 512;
    int openReceipts = 65'536; ///< Receipts not yet known to be in the table.
    int heldPeerBatches = 16'384;
    int answerBytes = 4 * 1024 * 1024; ///< A whole answer kept for a caller that does not stream.
    int memoryMb = 0; ///< That the process may use, in millions of bytes; 0: the system's limit.
    int maxDescriptors = 0;  ///< That the process may open; 0: the system's limit.
    double retryShare = 0.1; ///< Retries and hedges as a share of first tries.
};

struct TimingSettings
{
    Duration entriesTtl = seconds(5); ///< How long a caller may keep the answer of /v1/entries.
    Duration headPoll = seconds(1);
    Duration gossip = milliseconds(200);
    Duration loadPoll = milliseconds(500);
    Duration receiptFlush = milliseconds(200);
    Duration abandonAfter =
        seconds(10); ///< An unknown instance's receipts are closed after so long.
    Duration silenceBound = seconds(30); ///< Without platform and peers for so long: no new work.
    Duration callerRead = seconds(10);   ///< A caller has so long for its header and body.
    Duration callerWrite = seconds(20);  ///< A caller that reads nothing for so long is cut off.
    Duration firstByte = seconds(60);    ///< An upstream has so long for its first byte.
    Duration streamGap = seconds(20);    ///< and so long between two parts of a stream.
    Duration poolLease = seconds(6);
    Duration clockError = milliseconds(500);
    Duration longestOrder = seconds(2);
    Duration drain = seconds(60);     ///< A planned stop waits so long for requests under way.
    Duration queueWait = seconds(30); ///< A request waits so long for an upstream.
};

struct TraceSettings
{
    Endpoint collector; ///< OTLP/JSON receiver; port 0 turns the export off.
    int bufferedSpans = 4096;
};

struct Settings
{
    std::string name;
    std::string failureDomain;
    Endpoint listen;      ///< For callers and operators.
    Endpoint peerListen;  ///< For the other instances.
    Endpoint peerAddress; ///< Where the others reach it; peerListen by default.
    int trafficThreads = 1;
    std::string sessionKey;                       ///< Signs session tokens; equal on all instances.
    std::string operatorKey;                      ///< Bearer key of the administration API.
    std::string routingPolicy = "expected-delay"; ///< Name of a registered routing policy.
    std::vector<PeerSettings> peers;
    std::vector<UpstreamSettings> upstreams;
    std::vector<WorkspaceSettings> workspaces;
    PlatformSettings platform;
    LimitSettings limits;
    TimingSettings timing;
    TraceSettings traces;

    const UpstreamSettings *findUpstream(std::string_view upstream) const;
};

/// One fault of a settings file: "$.upstreams[1].kind: ...".
struct SettingsFault
{
    std::string path;
    std::string text;
};

struct ParsedSettings
{
    Settings settings;
    std::vector<SettingsFault> faults;

    bool ok() const { return this->faults.empty(); }
};

/// Parses and validates `text`. Never throws.
ParsedSettings parseSettings(std::string_view text);

/// All settings with their values, defaults included, as JSON; keys that are secret are masked.
std::string printSettings(const Settings &settings);

} // namespace basilnotch
