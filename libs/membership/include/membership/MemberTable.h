// Who is there: a view of the Member rumors. Silence makes a member unknown, never stopped.
#pragma once

#include <base/Clock.h>
#include <base/Failure.h>
#include <membership/RumorStore.h>
#include <settings/Settings.h>

#include <string>
#include <vector>

namespace basilnotch {

enum class MemberState {
    Alive,
    Leaving, ///< It has said that it is about to stop.
    Unknown, ///< Nobody reached it; it may be dead, paused or cut off.
};

/// What an instance says of itself.
struct Member
{
    std::string name;
    std::string incarnation; ///< Changes with each start of the process.
    Endpoint callers;        ///< Where callers connect.
    Endpoint peers;          ///< Where other instances connect.
    std::string failureDomain;
    MemberState state = MemberState::Alive;
    int capacity = 0; ///< Thousandths of a processor; 0 when it does not say.
};

/// Version of a member's first rumor. It grows with each start, so that a new process of a name
/// speaks above the old one.
std::uint64_t firstMemberVersion(const Clock &clock);

/// Versions of Member rumors: an even one is the member's own word, the odd one above it another's
/// suspicion, which the member refutes with the next even one.
Rumor memberRumor(const Member &member, std::uint64_t version);
absl::StatusOr<Member> readMember(const Rumor &rumor);
/// The suspicion of `rumor`, an instance's own word.
Rumor suspicionOf(const Rumor &rumor);
std::vector<Member> readMembers(const RumorStore &store);

} // namespace basilnotch
