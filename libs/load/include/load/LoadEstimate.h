// Estimates the load and the speed of each upstream: from what upstreams report with their answers
// to this instance, from the reports that other instances pass on, and from what this instance has
// sent since. Each estimate has an age and an uncertainty. No network, no fibers.
//
// With many instances, each sees a small part of the answers. Passed on, every report serves all.
#pragma once

#include <base/Clock.h>
#include <load/LoadSample.h>
#include <load/PeerLoadReport.h>

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace basilnotch {

struct LoadOptions
{
    /// Age that an upstream without a report is taken to have.
    Duration unknownAge = std::chrono::milliseconds(1500);
    /// The weight of a reported pace, which changes several times a second, falls to zero in this
    /// time in favour of the usual pace.
    Duration paceLifetime = std::chrono::seconds(1);
    /// The weight of a measured pace falls to 1/e in this time.
    Duration measuredPaceLifetime = std::chrono::seconds(10);
    /// Other instances tell of their requests if one has within this time.
    Duration toldInterval = std::chrono::milliseconds(1500);
    /// The evidence of other instances' results falls to 1/e in this time.
    Duration resultLifetime = std::chrono::seconds(1);
    double minFailures = 2;      ///< Faded failures of others from which an upstream is avoided,
    double maxFailureShare = .5; ///< if they are more than this share of the results.
    int minGoodToTell = 8;       ///< Good results that are told without a failure.
    /// An upstream is silent if so many requests were sent longer ago than this, but within the
    /// window, and it has answered none of any instance since.
    Duration silence = std::chrono::seconds(3); ///< Longer than reports take to arrive.
    Duration silenceWindow = std::chrono::seconds(8);
    int minUnanswered = 3;
    /// Until other instances learn of a request.
    Duration tellingTime = std::chrono::milliseconds(50);
    /// Bounds of a pace. Values beyond them are clamped, values that are no pace are ignored.
    double minPace = 0.05;
    double maxPace = 20;
    /// A report is passed on if it differs from the last one by this share of the slots, or of the
    /// pace, or when that is older than the refresh interval.
    double materialChange = 0.1;
    Duration refreshInterval = std::chrono::milliseconds(500);
    /// Weight of the newest measurement in the measured pace.
    double paceSmoothing = 0.2;
    /// How long an upstream without requests and news is remembered.
    Duration retention = std::chrono::seconds(30);
    /// A measured pace counts only as far as its logarithm exceeds this: single answers differ much
    /// more than upstreams do.
    double paceNoise = 0.2;
    /// Instances send at the same moment without knowing of each other, however fresh the reports.
    Duration minAge = std::chrono::milliseconds(30);
};

/// What is known of one upstream.
struct UpstreamLoad
{
    std::uint32_t upstream = 0; ///< Set by the caller.
    int slots = 1;              ///< Set by the caller.

    double requests = 0; ///< Running and waiting there, sent by any instance.
    double pace = 1;     ///< Speed at which it works; 1 is the usual of its service.
    Duration age{};      ///< Of the report that the estimate rests on.
    /// Standard deviation of `requests`, from arrivals and ends that are not known of.
    double uncertainty = 0;
    double unseenArrivals = 0; ///< Expected requests of other instances that are not known of.
    bool isReported = false;
    /// At least two other instances have seen failures of the upstream, and most of the requests of
    /// others failed there. Holds until the evidence has faded.
    bool failsForOthers = false;
    /// It answers nothing, while other upstreams of the service do.
    bool isSilent = false;

    /// Slots at the usual pace that do the same work.
    double capacity() const { return this->slots * this->pace; }
};

/// Not thread-safe.
class LoadEstimate
{
public:
    /// `clock` must outlive this object.
    LoadEstimate(LoadOptions options, const Clock &clock);

    void onSent(std::uint32_t upstream);
    void onEnded(std::uint32_t upstream);
    /// Another instance has sent a request, or requests that it had told of have ended.
    void onOtherSent(std::uint32_t upstream);
    void onOtherEnded(const EndedRequests &ended);
    /// A request of which this instance has told the others has ended; to be told as well.
    void onToldEnded(std::uint32_t upstream) { ++this->endedEntry(upstream).count; }
    /// A request has ended well, or by a failure of the upstream.
    void onResult(std::uint32_t upstream, bool isGood);
    /// Moves the ended requests that are to be told to `ended`.
    void takeEnded(std::vector<EndedRequests> &ended);
    /// The upstream has reported its load with an answer to this instance.
    void onSample(std::uint32_t upstream, const LoadSample &sample);
    /// An answer took `ratio` times as long as the same work takes at other upstreams.
    void onServiceTime(std::uint32_t upstream, double ratio);
    /// Applies a report of another instance. Returns false if a newer one is known.
    bool applyReport(const PeerLoadReport &report);
    /// Moves reports that are due to `reports`.
    void takeReports(std::vector<PeerLoadReport> &reports);

    /// Fills in the estimates of the upstreams of one service. `holdTime`: mean time that a request
    /// spends at an upstream. Without any report, the other live instances are assumed to send as
    /// much as this one.
    void estimate(std::span<UpstreamLoad> loads, Duration holdTime, int liveInstances) const;
    int inFlight(std::uint32_t upstream) const;
    /// Removes upstreams without requests and without recent news.
    void expire();
    /// Reports whose pace was no number or beyond the bounds.
    std::int64_t invalidPaces() const { return this->invalid; }

private:
    /// A request has been sent or has ended.
    struct Change
    {
        TimePoint at{};        ///< For other instances' requests, by expectation.
        std::int8_t own = 0;   ///< Change of this instance's requests.
        std::int8_t total = 0; ///< Change of all that is known.
    };
    static constexpr std::size_t kChanges = 32;
    /// Sums of the changes since a point in time.
    struct Changes
    {
        int own = 0;
        int total = 0;
    };

    struct Entry
    {
        int inFlight = 0;                       ///< Requests of this instance.
        std::array<Change, kChanges> changes{}; ///< The latest, a ring.
        std::size_t nextChange = 0;
        TimePoint otherSentAt{};
        TimePoint otherEndedAt{};
        // Results that other instances tell, faded.
        double othersGood = 0;
        double othersFailed = 0;
        TimePoint resultsAt{};
        std::uint32_t failureTeller = 0; ///< The last instance that told of a failure.
        TimePoint otherTellerAt{};       ///< When another one than that told of one before.
        TimePoint failureToldAt{};
        PeerLoadReport report;      ///< The latest, of any instance. Its pace is within the bounds.
        PeerLoadReport told;        ///< The latest that instances have told each other.
        double logReportedPace = 0; ///< Of `report`; 0 if it has no pace.
        bool isReported = false;
        bool isTold = false;
        bool isDue = false;         ///< Invariant: whether the upstream is in `due`.
        double newMeasuredPace = 0; ///< Measured here and not passed on; 0 if none.
        double logMeasuredPace = 0; ///< Moving average.
        TimePoint measuredAt{};
    };

    void addChange(Entry &entry, std::int8_t own, std::int8_t total);
    Changes changesSince(const Entry &entry, TimePoint time) const;
    /// The requests that the last report and the changes since let expect.
    double expectedRequests(const Entry &entry, double endedShare) const;
    EndedRequests &endedEntry(std::uint32_t upstream);
    void addMeasuredPace(Entry &entry, double pace);
    double measuredLogPace(const Entry &entry) const;
    /// The part of the measured pace that isn't noise.
    double significantLogPace(const Entry &entry) const;
    bool isMaterial(const Entry &entry) const;
    /// The pace within the bounds; 0 if it is none.
    double checkedPace(double pace);
    double pace(const Entry &entry, TimePoint now) const;
    bool failsForOthers(const Entry &entry, TimePoint now) const;
    bool isSilent(const Entry &entry, TimePoint now) const;
    static void setReport(Entry &entry, const PeerLoadReport &report);
    const Entry *find(std::uint32_t upstream) const;

    const LoadOptions options;
    const Clock &clock;
    std::unordered_map<std::uint32_t, Entry> entries;
    /// An upstream of which an estimate is made.
    struct Known
    {
        const Entry *entry = nullptr; ///< Null if nothing is known.
        double left = 0; ///< Share of the reported requests that is expected to be still there.
    };
    mutable std::vector<Known> known;       ///< Scratch buffer of estimate().
    std::vector<EndedRequests> endedToTell; ///< At most one for each upstream.
    std::vector<std::uint32_t> due;         ///< Upstreams whose reports are to be passed on.
    std::int64_t invalid = 0;
};

} // namespace basilnotch
