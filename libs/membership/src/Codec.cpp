// The versioned envelope between instances: MessagePack by nlohmann's codec. (msgpack-cxx can't be
// installed beside Boost 1.81 in Debian; this is its nearest kin.)
#include <membership/Gossip.h>

#include <base/MessagePack.h>

#include <nlohmann/json.hpp>

namespace basilnotch {

namespace {

constexpr int kEnvelopeVersion = 1;
constexpr std::size_t kEnvelopeFields = 7;
constexpr std::size_t kRumorFields = 4;

} // namespace

std::string encodeMessage(const GossipMessage &message)
{
    nlohmann::json rumors = nlohmann::json::array();
    for (const Rumor &rumor : message.rumors) {
        const std::vector<std::uint8_t> payload(rumor.payload.begin(), rumor.payload.end());
        rumors.push_back(nlohmann::json::array({static_cast<int>(rumor.id.kind), rumor.id.name,
                                                rumor.version, nlohmann::json::binary(payload)}));
    }
    const nlohmann::json envelope =
        nlohmann::json::array({kEnvelopeVersion, message.from, static_cast<int>(message.purpose),
                               message.digest, message.target, message.reached, std::move(rumors)});
    std::string text;
    nlohmann::json::to_msgpack(envelope, text);
    return text;
}

absl::StatusOr<GossipMessage> decodeMessage(std::string_view text)
{
    const absl::Status malformed =
        failure(absl::StatusCode::kDataLoss, "read gossip", "peer", "malformed message");
    const nlohmann::json envelope = isBoundedMessagePack(text)
        ? nlohmann::json::from_msgpack(text, true, false)
        : nlohmann::json();
    const bool ok = envelope.is_array() && envelope.size() == kEnvelopeFields
        && envelope[0] == kEnvelopeVersion && envelope[1].is_string()
        && envelope[2].is_number_unsigned() && envelope[3].is_number_unsigned()
        && envelope[4].is_string() && envelope[5].is_boolean() && envelope[6].is_array();
    if (!ok) {
        return malformed;
    }
    GossipMessage message;
    message.from = envelope[1];
    message.purpose = static_cast<GossipPurpose>(envelope[2].get<int>());
    message.digest = envelope[3];
    message.target = envelope[4];
    message.reached = envelope[5];
    for (const nlohmann::json &item : envelope[6]) {
        const bool itemOk = item.is_array() && item.size() == kRumorFields
            && item[0].is_number_unsigned() && item[0].get<int>() < kRumorKinds
            && item[1].is_string() && item[2].is_number_unsigned() && item[3].is_binary();
        if (!itemOk) {
            return malformed;
        }
        const auto &payload = item[3].get_binary();
        message.rumors.push_back(
            {{static_cast<RumorKind>(item[0].get<int>()), item[1].get<std::string>()},
             item[2].get<std::uint64_t>(),
             std::string(payload.begin(), payload.end())});
    }
    return message;
}

} // namespace basilnotch
