// The one place that lists every settings key with its range and default.
#include <settings/ObjectReader.h>
#include <settings/Settings.h>

#include <boost/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <set>

namespace basilnotch {

namespace json = boost::json;

namespace {

constexpr Duration kShortest = milliseconds(1);
constexpr Duration kLongest = std::chrono::hours(1);

/// Each bound once, for reading and for printing.
template <typename Visit>
void visitLimits(LimitSettings &limits, Visit visit)
{
    visit("connections", limits.connections);
    visit("headerBytes", limits.headerBytes);
    visit("bodyBytes", limits.bodyBytes);
    visit("queuedRequests", limits.queuedRequests);
    visit("queuedPerWorkspace", limits.queuedPerWorkspace);
    visit("openReceipts", limits.openReceipts);
    visit("heldPeerBatches", limits.heldPeerBatches);
    visit("answerBytes", limits.answerBytes);
    visit("memoryMb", limits.memoryMb);
    visit("maxDescriptors", limits.maxDescriptors);
}

template <typename Visit>
void visitTiming(TimingSettings &timing, Visit visit)
{
    visit("entriesTtlMs", timing.entriesTtl);
    visit("headPollMs", timing.headPoll);
    visit("gossipMs", timing.gossip);
    visit("loadPollMs", timing.loadPoll);
    visit("receiptFlushMs", timing.receiptFlush);
    visit("abandonAfterMs", timing.abandonAfter);
    visit("silenceBoundMs", timing.silenceBound);
    visit("callerReadMs", timing.callerRead);
    visit("callerWriteMs", timing.callerWrite);
    visit("firstByteMs", timing.firstByte);
    visit("streamGapMs", timing.streamGap);
    visit("poolLeaseMs", timing.poolLease);
    visit("clockErrorMs", timing.clockError);
    visit("longestOrderMs", timing.longestOrder);
    visit("drainMs", timing.drain);
    visit("queueWaitMs", timing.queueWait);
}

void readUpstream(ObjectReader &reader, Settings &settings)
{
    UpstreamSettings upstream;
    upstream.name = reader.requiredString("name");
    upstream.kind = reader.requiredString("kind");
    upstream.endpoint = reader.endpoint("address", true);
    upstream.failureDomain = reader.requiredString("failureDomain");
    upstream.service = reader.string("service", "");
    upstream.pool = reader.string("pool", "default");
    upstream.checksFencing = reader.boolean("checksFencing", false);
    upstream.slots = static_cast<int>(reader.integer("slots", 1, 100'000, upstream.slots));
    upstream.models = reader.strings("models");
    reader.each("calls", [&](ObjectReader &call) {
        ServiceCallSettings made;
        made.path = call.requiredString("path");
        made.repeatable = call.boolean("repeatable", false);
        upstream.calls.push_back(made);
    });
    if (upstream.kind == "plain-service" && upstream.service.empty()) {
        reader.fault("service", "is missing; a plain service needs one");
    }
    settings.upstreams.push_back(std::move(upstream));
}

void readLists(ObjectReader &root, Settings &settings)
{
    root.each("peers", [&](ObjectReader &reader) {
        PeerSettings peer;
        peer.name = reader.requiredString("name");
        peer.endpoint = reader.endpoint("address", true);
        settings.peers.push_back(std::move(peer));
    });
    root.each("upstreams", [&](ObjectReader &reader) { readUpstream(reader, settings); });
    root.each("workspaces", [&](ObjectReader &reader) {
        WorkspaceSettings workspace;
        workspace.name = reader.requiredString("name");
        workspace.key = reader.requiredString("key");
        settings.workspaces.push_back(std::move(workspace));
    });
}

void readGroups(ObjectReader &root, Settings &settings)
{
    ObjectReader platform = root.child("platform");
    settings.platform.adapter = platform.string("adapter", settings.platform.adapter);
    settings.platform.endpoint = platform.endpoint("address", true);
    settings.platform.timeout =
        platform.millis("timeoutMs", kShortest, kLongest, settings.platform.timeout);
    platform.finish();

    ObjectReader limits = root.child("limits");
    visitLimits(settings.limits, [&](const char *key, int &value) {
        value = static_cast<int>(limits.integer(key, value == 0 ? 0 : 1, 1'000'000'000, value));
    });
    settings.limits.retryShare = limits.number("retryShare", 0, 1, settings.limits.retryShare);
    limits.finish();

    ObjectReader timing = root.child("timing");
    visitTiming(settings.timing, [&](const char *key, Duration &value) {
        value = timing.millis(key, kShortest, kLongest, value);
    });
    timing.finish();

    ObjectReader traces = root.child("traces");
    settings.traces.collector = traces.endpoint("collector", false);
    settings.traces.bufferedSpans = static_cast<int>(
        traces.integer("bufferedSpans", 1, 1'000'000, settings.traces.bufferedSpans));
    traces.finish();
}

template <typename Items, typename Key>
void checkUnique(ObjectReader &root, const char *list, const Items &items, Key key)
{
    std::set<std::string> seen;
    for (const auto &item : items) {
        if (!seen.insert(key(item)).second) {
            root.fault(list, "'" + key(item) + "' stands twice");
        }
    }
}

std::string masked(const std::string &secret)
{
    return secret.empty() ? "" : "(set)";
}

json::object printUpstream(const UpstreamSettings &upstream)
{
    json::array calls;
    for (const ServiceCallSettings &call : upstream.calls) {
        calls.push_back({{"path", call.path}, {"repeatable", call.repeatable}});
    }
    return {{"name", upstream.name},
            {"kind", upstream.kind},
            {"address", upstream.endpoint.text()},
            {"failureDomain", upstream.failureDomain},
            {"service", upstream.service},
            {"pool", upstream.pool},
            {"checksFencing", upstream.checksFencing},
            {"slots", upstream.slots},
            {"models", json::value_from(upstream.models)},
            {"calls", calls}};
}

} // namespace

std::string Endpoint::text() const
{
    return this->address + ":" + std::to_string(this->port);
}

bool parseEndpoint(std::string_view text, Endpoint *endpoint)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const std::string address(text.substr(0, colon));
    if (address.find('\0') != std::string::npos) { // inet_pton() would read up to it only.
        return false;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    in6_addr parsed{};
    const bool isAddress = inet_pton(AF_INET, address.c_str(), &parsed) == 1
        || inet_pton(AF_INET6, address.c_str(), &parsed) == 1;
    if (error != std::errc() || end != digits.data() + digits.size() || port == 0 || !isAddress) {
        return false;
    }
    *endpoint = {address, port};
    return true;
}

const UpstreamSettings *Settings::findUpstream(std::string_view upstream) const
{
    const auto found =
        std::find_if(this->upstreams.begin(), this->upstreams.end(),
                     [&](const UpstreamSettings &item) { return item.name == upstream; });
    return found == this->upstreams.end() ? nullptr : &*found;
}

ParsedSettings parseSettings(std::string_view text)
{
    ParsedSettings parsed;
    JsonDocument document(text);
    if (!document.faults().empty()) {
        parsed.faults = document.faults();
        return parsed;
    }
    Settings &settings = parsed.settings;
    ObjectReader root = document.root();
    settings.name = root.requiredString("name");
    settings.failureDomain = root.requiredString("failureDomain");
    settings.listen = root.endpoint("listen", true);
    settings.peerListen = root.endpoint("peerListen", true);
    settings.peerAddress = root.endpoint("peerAddress", false);
    if (settings.peerAddress.port == 0) {
        settings.peerAddress = settings.peerListen;
    }
    settings.trafficThreads =
        static_cast<int>(root.integer("trafficThreads", 1, 64, settings.trafficThreads));
    settings.sessionKey = root.requiredString("sessionKey");
    settings.operatorKey = root.requiredString("operatorKey");
    settings.routingPolicy = root.string("routingPolicy", settings.routingPolicy);
    readLists(root, settings);
    readGroups(root, settings);
    checkUnique(root, "upstreams", settings.upstreams, [](const auto &item) { return item.name; });
    checkUnique(root, "peers", settings.peers, [](const auto &item) { return item.name; });
    checkUnique(root, "workspaces", settings.workspaces,
                [](const auto &item) { return item.name; });
    checkUnique(root, "workspaces", settings.workspaces, [](const auto &item) { return item.key; });
    root.finish();
    parsed.faults = document.faults();
    return parsed;
}

std::string printSettings(const Settings &original)
{
    Settings settings = original;
    json::object limits;
    visitLimits(settings.limits, [&](const char *key, int &value) { limits[key] = value; });
    limits["retryShare"] = settings.limits.retryShare;
    json::object timing;
    visitTiming(settings.timing,
                [&](const char *key, Duration &value) { timing[key] = wholeMillis(value); });
    json::array upstreams;
    for (const UpstreamSettings &upstream : settings.upstreams) {
        upstreams.push_back(printUpstream(upstream));
    }
    json::array peers;
    for (const PeerSettings &peer : settings.peers) {
        peers.push_back({{"name", peer.name}, {"address", peer.endpoint.text()}});
    }
    json::array workspaces;
    for (const WorkspaceSettings &workspace : settings.workspaces) {
        workspaces.push_back({{"name", workspace.name}, {"key", masked(workspace.key)}});
    }
    const json::object all{
        {"name", settings.name},
        {"failureDomain", settings.failureDomain},
        {"listen", settings.listen.text()},
        {"peerListen", settings.peerListen.text()},
        {"peerAddress", settings.peerAddress.text()},
        {"trafficThreads", settings.trafficThreads},
        {"sessionKey", masked(settings.sessionKey)},
        {"operatorKey", masked(settings.operatorKey)},
        {"routingPolicy", settings.routingPolicy},
        {"peers", peers},
        {"upstreams", upstreams},
        {"workspaces", workspaces},
        {"platform",
         {{"adapter", settings.platform.adapter},
          {"address", settings.platform.endpoint.text()},
          {"timeoutMs", wholeMillis(settings.platform.timeout)}}},
        {"limits", limits},
        {"timing", timing},
        {"traces",
         {{"collector", settings.traces.collector.port ? settings.traces.collector.text() : ""},
          {"bufferedSpans", settings.traces.bufferedSpans}}}};
    return json::serialize(all);
}

} // namespace basilnotch
