// The unit of what instances tell each other: a named value with a version that only grows.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace basilnotch {

/// In order of urgency: when a message has no room for all, earlier kinds go first.
enum class RumorKind : std::uint8_t {
    Rules,           ///< Name "head"; the version is the rules version, the payload its digest.
    Record,          ///< A record of the platform's store; the version is the record's.
    StoreAccess,     ///< An instance; whether the platform's store answers it.
    Member,          ///< An instance; see MemberTable.
    Hold,            ///< A roll-out that is held; the payload says why.
    Quarantine,      ///< Fingerprint of a request that crashes upstreams.
    UpstreamLeaving, ///< An upstream that takes no new work.
    InForce,         ///< An instance; the version is the rules version that it uses.
    Verdict,         ///< An instance's counts of one roll-out.
    UpstreamLoad,    ///< An upstream's last load report.
    Quality,         ///< An instance's rating counts.
    Usage,           ///< An instance's use of workspace budgets.
    Crash,           ///< A request and an upstream that crashed while it ran it; soon forgotten.
    CrashedUpstream, ///< An upstream that broke off during a roll-out; forgotten with it.
};
constexpr int kRumorKinds = 14;

struct RumorId
{
    RumorKind kind = RumorKind::Rules;
    std::string name;

    friend auto operator<=>(const RumorId &, const RumorId &) = default;
};

/// Of two rumors with one id the one with the higher version counts; of equal versions the greater
/// payload, so that a merge never depends on the order of arrival.
struct Rumor
{
    RumorId id;
    std::uint64_t version = 0;
    std::string payload;

    bool isNewerThan(const Rumor &other) const
    {
        return std::tie(this->version, this->payload) > std::tie(other.version, other.payload);
    }
    friend bool operator==(const Rumor &, const Rumor &) = default;
};

/// True for kinds whose loss must be repaired; the others are replaced by a newer one soon.
constexpr bool isRepaired(RumorKind kind)
{
    return kind <= RumorKind::InForce;
}

/// True for kinds that are forgotten after a while and that an instance must learn when it starts:
/// those that were told before are not told again.
constexpr bool isToldAtStart(RumorKind kind)
{
    return kind == RumorKind::Crash;
}

} // namespace basilnotch
