// Canonical text of rules, the inverse of the parser.
#include <rules/RulesParser.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <array>
#include <charconv>

namespace basilnotch {

namespace {

std::string_view signalName(HoldSignal signal)
{
    switch (signal) {
    case HoldSignal::Errors:
        return "errors";
    case HoldSignal::Crashes:
        return "crashes";
    case HoldSignal::Ratings:
        return "ratings";
    }
    return "";
}

/// Shortest decimal that reads back as the same number.
std::string exactNumber(double value)
{
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc() ? std::string(buffer.data(), end) : "0";
}

std::string printRollout(const RolloutRule &rule)
{
    std::string text = absl::StrCat("rollout ", rule.model, " from=", rule.from, " to=", rule.to,
                                    " share=", exactNumber(rule.share * 100), "%");
    std::vector<std::string> signals;
    for (const HoldSignal signal : rule.holdOn) {
        signals.emplace_back(signalName(signal));
    }
    if (!signals.empty()) {
        absl::StrAppend(&text, " hold-on=", absl::StrJoin(signals, ","));
    }
    return text;
}

std::string printLimit(const LimitRule &rule)
{
    std::string text = "limit workspace=" + rule.workspace;
    if (rule.requestsPerSecond > 0) {
        absl::StrAppend(&text, " requests=", exactNumber(rule.requestsPerSecond), "/s");
    }
    if (rule.tokensPerSecond > 0) {
        absl::StrAppend(&text, " tokens=", exactNumber(rule.tokensPerSecond), "/s");
    }
    return text;
}

} // namespace

std::string printRules(const Rules &rules)
{
    std::string text;
    for (const ModelRule &rule : rules.models) {
        absl::StrAppend(&text, "model ", rule.id.model, " ", rule.id.version,
                        " cost=", exactNumber(rule.price.prompt), "/",
                        exactNumber(rule.price.output), "\n");
    }
    for (const AllowRule &rule : rules.allows) {
        absl::StrAppend(&text, "allow workspace=", rule.workspace,
                        rule.model.empty() ? " service=" + rule.service : " model=" + rule.model,
                        "\n");
    }
    for (const CascadeRule &rule : rules.cascades) {
        absl::StrAppend(&text, "cascade task=", rule.task, " via=", absl::StrJoin(rule.via, ","),
                        " quality=", exactNumber(rule.quality), rule.canWait ? " wait=yes" : "",
                        "\n");
    }
    for (const RolloutRule &rule : rules.rollouts) {
        absl::StrAppend(&text, printRollout(rule), "\n");
    }
    for (const WithdrawRule &rule : rules.withdrawals) {
        absl::StrAppend(&text, "withdraw ", rule.id.model, " ", rule.id.version, "\n");
    }
    for (const LimitRule &rule : rules.limits) {
        absl::StrAppend(&text, printLimit(rule), "\n");
    }
    return text;
}

} // namespace basilnotch
