// Members as MessagePack arrays (nlohmann's codec), kept short because they are sent often.
#include <membership/MemberTable.h>

#include <base/MessagePack.h>

#include <nlohmann/json.hpp>

namespace basilnotch {

namespace {

constexpr std::size_t kMemberFields = 6;

} // namespace

std::uint64_t firstMemberVersion(const Clock &clock)
{
    const auto millis =
        std::chrono::duration_cast<milliseconds>(clock.wallNow().time_since_epoch()).count();
    return static_cast<std::uint64_t>(millis) * 2;
}

Rumor memberRumor(const Member &member, std::uint64_t version)
{
    const nlohmann::json fields{member.incarnation,
                                member.callers.text(),
                                member.peers.text(),
                                member.failureDomain,
                                member.state == MemberState::Leaving ? 1 : 0,
                                member.capacity};
    std::string payload;
    nlohmann::json::to_msgpack(fields, payload);
    return {{RumorKind::Member, member.name}, version, payload};
}

absl::StatusOr<Member> readMember(const Rumor &rumor)
{
    const nlohmann::json fields = isBoundedMessagePack(rumor.payload)
        ? nlohmann::json::from_msgpack(rumor.payload, true, false)
        : nlohmann::json();
    Member member;
    const bool ok = fields.is_array() && fields.size() == kMemberFields && fields[0].is_string()
        && fields[1].is_string() && fields[2].is_string() && fields[3].is_string()
        && fields[4].is_number() && fields[5].is_number_integer()
        && parseEndpoint(fields[1].get_ref<const std::string &>(), &member.callers)
        && parseEndpoint(fields[2].get_ref<const std::string &>(), &member.peers);
    if (!ok) {
        return failure(absl::StatusCode::kDataLoss, "read member", rumor.id.name, "malformed");
    }
    member.name = rumor.id.name;
    member.incarnation = fields[0];
    member.failureDomain = fields[3];
    member.capacity = fields[5];
    const bool suspected = rumor.version % 2 == 1;
    const bool leaving = fields[4].get<int>() == 1;
    member.state = suspected ? MemberState::Unknown
        : leaving            ? MemberState::Leaving
                             : MemberState::Alive;
    return member;
}

Rumor suspicionOf(const Rumor &rumor)
{
    Rumor suspicion = rumor;
    suspicion.version |= 1;
    return suspicion;
}

std::vector<Member> readMembers(const RumorStore &store)
{
    std::vector<Member> members;
    store.forEach(RumorKind::Member, [&](const Rumor &rumor) {
        absl::StatusOr<Member> member = readMember(rumor);
        if (member.ok()) {
            members.push_back(std::move(*member));
        }
    });
    return members;
}

} // namespace basilnotch
