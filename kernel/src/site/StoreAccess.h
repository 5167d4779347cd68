// Which instances can reach the platform's store, according to gossip.
#pragma once

#include <membership/Gossip.h>

#include <string>
#include <vector>

namespace basilnotch {

/// Payloads of a StoreAccess rumor.
inline constexpr char kStoreAnswers[] = "1";
inline constexpr char kStoreRefuses[] = "0";

/// Names of the live instances that have not reported that the store refuses them. Tasks that are
/// assigned by rank are assigned among these instances.
inline std::vector<std::string> instancesWithStoreAccess(const Gossip &gossip)
{
    std::vector<std::string> names;
    for (const Member &member : readMembers(gossip.store())) {
        const Rumor *access = gossip.store().find({RumorKind::StoreAccess, member.name});
        const bool refused = access && access->payload == kStoreRefuses;
        if (member.state == MemberState::Alive && !refused) {
            names.push_back(member.name);
        }
    }
    return names;
}

/// Tells the peers whether the store answers this instance, unless they know.
inline void tellStoreAccess(Gossip &gossip, bool isAvailable)
{
    const RumorId id{RumorKind::StoreAccess, gossip.self().name};
    const Rumor *before = gossip.store().find(id);
    const std::string state = isAvailable ? kStoreAnswers : kStoreRefuses;
    if (before ? before->payload != state : !isAvailable) {
        // Above the version of an earlier process of this instance, which may become known late.
        gossip.tell({id, before ? before->version + 1 : 1, state});
    }
}

} // namespace basilnotch
