// Which instances the platform's store answers, as they say in gossip.
#pragma once

#include <membership/Gossip.h>

#include <string>
#include <vector>

namespace basilnotch {

/// Live instances that have not said that the store turns them away. What falls to one instance by
/// rank falls to one of these.
inline std::vector<std::string> instancesWithStore(const Gossip &gossip)
{
    std::vector<std::string> names;
    for (const Member &member : readMembers(gossip.store())) {
        const Rumor *access = gossip.store().find({RumorKind::StoreAccess, member.name});
        const bool turnedAway = access && access->payload == "0";
        if (member.state == MemberState::Alive && !turnedAway) {
            names.push_back(member.name);
        }
    }
    return names;
}

} // namespace basilnotch
