// Which instances can reach the platform's store, according to gossip.
#pragma once

#include <membership/Gossip.h>

#include <string>
#include <vector>

namespace basilnotch {

/// Names of the live instances that have not reported that the store refuses them. Tasks that are
/// assigned by rank are assigned among these instances.
inline std::vector<std::string> instancesWithStoreAccess(const Gossip &gossip)
{
    std::vector<std::string> names;
    for (const Member &member : readMembers(gossip.store())) {
        const Rumor *access = gossip.store().find({RumorKind::StoreAccess, member.name});
        const bool refused = access && access->payload == "0";
        if (member.state == MemberState::Alive && !refused) {
            names.push_back(member.name);
        }
    }
    return names;
}

} // namespace basilnotch
