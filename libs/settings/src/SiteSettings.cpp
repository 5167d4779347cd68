// Each key with its range; see SiteSettings.h for what it means.
#include <settings/SiteSettings.h>

#include <settings/ObjectReader.h>

namespace basilnotch {

namespace {

constexpr Duration kLongest = std::chrono::minutes(10);

Duration secondsAt(ObjectReader &reader, std::string_view key, Duration fallback)
{
    const double longest = std::chrono::duration<double>(kLongest).count();
    return fromSeconds(reader.number(key, 0, longest, toSeconds(fallback)));
}

/// The figures of operators may have fractions, unlike those of our own settings.
Duration millisAt(ObjectReader &reader, std::string_view key, Duration fallback)
{
    const double longest = std::chrono::duration<double, std::milli>(kLongest).count();
    const double given = std::chrono::duration<double, std::milli>(fallback).count();
    return fromSeconds(reader.number(key, 0, longest, given) / 1000);
}

SiteBounds readBounds(ObjectReader reader)
{
    constexpr double kMostSlack = 1e6;
    SiteBounds bounds;
    bounds.stopGrace = secondsAt(reader, "stopGraceSeconds", bounds.stopGrace);
    bounds.configApply = millisAt(reader, "configApplyMs", bounds.configApply);
    bounds.drain = millisAt(reader, "drainMs", bounds.drain);
    bounds.contact = millisAt(reader, "contactMs", bounds.contact);
    bounds.directoryTtlMax = secondsAt(reader, "directoryTtlMaxSeconds", bounds.directoryTtlMax);
    bounds.sessionGap = secondsAt(reader, "sessionGapSeconds", bounds.sessionGap);
    bounds.rollback = millisAt(reader, "rollbackMs", bounds.rollback);
    bounds.retryRatio = reader.number("retryRatio", 0, 100, bounds.retryRatio);
    bounds.retryWindow = secondsAt(reader, "retryWindowSeconds", bounds.retryWindow);
    bounds.retrySlack = reader.number("retrySlack", 0, kMostSlack, bounds.retrySlack);
    bounds.exposureShare = reader.number("exposureShare", 0, 1, bounds.exposureShare);
    bounds.exposureSlack = reader.number("exposureSlack", 0, kMostSlack, bounds.exposureSlack);
    reader.finish();
    return bounds;
}

} // namespace

ParsedSiteSettings parseSiteSettings(std::string_view text)
{
    constexpr int kMostConnections = 1'000'000;
    constexpr int kMostMemoryMb = 1'000'000;
    ParsedSiteSettings parsed;
    SiteSettings &settings = parsed.settings;
    JsonDocument document(text);
    if (document.faults().empty()) {
        ObjectReader root = document.root();
        settings.instance = root.requiredString("instance");
        settings.failureDomain = root.requiredString("failureDomain");
        settings.region = root.string("region", "");
        ObjectReader listen = root.child("listen");
        settings.callers = listen.endpoint("callers", true);
        settings.health = listen.endpoint("health", true);
        settings.directory = listen.endpoint("directory", true);
        settings.peers = listen.endpoint("peers", true);
        settings.metrics = listen.endpoint("metrics", true);
        listen.finish();
        for (const std::string &seed : root.strings("seeds")) {
            Endpoint endpoint;
            if (!parseEndpoint(seed, &endpoint)) {
                root.fault("seeds", "found '" + seed + "'; allowed: IP-ADDRESS:PORT");
                continue;
            }
            endpoint.port = settings.peers.port;
            settings.seeds.push_back(endpoint);
        }
        ObjectReader store = root.child("store");
        settings.adapter = store.string("adapter", settings.adapter);
        settings.store = store.endpoint("endpoint", true);
        store.finish();
        constexpr double kMostProcessors = 1024;
        constexpr double kThousand = 1000;
        settings.processorMillis =
            static_cast<int>(kThousand * root.number("processors", 0, kMostProcessors, 0));
        settings.maxConnections = static_cast<int>(
            root.integer("maxConnections", 1, kMostConnections, settings.maxConnections));
        ObjectReader hedging = root.child("hedging");
        constexpr double kMostExtra = 0.2; // More would be a second copy of the load.
        settings.hedging.extraShare =
            hedging.number("extraShare", 0, kMostExtra, settings.hedging.extraShare);
        hedging.finish();
        ObjectReader limits = root.child("limits");
        settings.memoryMb = static_cast<int>(limits.number("memoryMb", 0, kMostMemoryMb, 0));
        settings.maxDescriptors =
            static_cast<int>(limits.number("maxDescriptors", 0, kMostConnections, 0));
        limits.finish();
        settings.bounds = readBounds(root.child("bounds"));
        root.finish();
    }
    parsed.faults = document.faults();
    return parsed;
}

} // namespace basilnotch
