// What the control thread knows, as one immutable value that traffic threads read for each request.
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
    TimePoint createdAt; ///< Snapshots are made at least once a second.
    bool acceptsRequests = false;
    std::string notReadyReason = "the rules have not been read yet";
    bool leaving = false;
    bool ratingsAvailable = true;

    /// True when new work may be taken now. An old snapshot says that this process was paused or
    /// its control thread is stuck: the rules may have changed meanwhile.
    bool isReady(TimePoint now) const
    {
        return this->acceptsRequests && now - this->createdAt < kMaxAge;
    }
    /// Why no work is taken, for callers.
    std::string notReadyMessage() const
    {
        return this->acceptsRequests ? "the control thread is behind" : this->notReadyReason;
    }
    static constexpr Duration kMaxAge = std::chrono::seconds(3);
};

/// The current snapshot. Any thread.
using CurrentSnapshot = AtomicSharedValue<Snapshot>;

} // namespace basilnotch
