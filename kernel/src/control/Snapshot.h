// Immutable state published by the control thread and read by traffic threads for each request.
#pragma once

#include "AtomicSharedValue.h"

#include <base/Clock.h>
#include <decision/CascadePlanner.h>
#include <membership/MemberTable.h>
#include <rules/Rules.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace basilnotch {

struct Snapshot
{
    std::shared_ptr<const Rules> rules = std::make_shared<Rules>();
    std::shared_ptr<const CascadePlan> plan = std::make_shared<CascadePlan>();
    std::shared_ptr<const QualityStats::Table> quality = std::make_shared<QualityStats::Table>();
    std::set<std::string> heldRollouts;
    std::vector<Member> members;
    TimePoint createdAt; ///< Snapshots are created at least once a second.
    bool acceptsRequests = false;
    std::string notReadyReason = "the rules have not been read yet";
    bool leaving = false;
    bool ratingsAvailable = true;

    /// True if new requests may be accepted. False for an old snapshot: the process was paused or
    /// the control thread is blocked, and the rules may have changed meanwhile.
    bool isReady(TimePoint now) const
    {
        return this->acceptsRequests && now - this->createdAt < kMaxAge;
    }
    /// Message for callers; meaningful only if isReady() is false.
    std::string notReadyMessage() const
    {
        return this->acceptsRequests ? "the control thread is behind" : this->notReadyReason;
    }
    static constexpr Duration kMaxAge = std::chrono::seconds(3);
};

/// The current snapshot. Thread-safe.
using CurrentSnapshot = AtomicSharedValue<Snapshot>;

} // namespace basilnotch
