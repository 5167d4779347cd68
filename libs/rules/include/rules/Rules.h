// The rules in force: an immutable value made from one rules file, and the questions that a
// request asks of it. Built by parseRules (RulesParser.h); shared between threads as
// std::shared_ptr<const Rules>.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// A model at one version, for example planner-large v7.
struct ModelVersion
{
    std::string model;
    std::string version;

    friend bool operator==(const ModelVersion &, const ModelVersion &) = default;
    friend auto operator<=>(const ModelVersion &, const ModelVersion &) = default;
};

/// Price in the customer's currency for 1,000 tokens.
struct TokenPrice
{
    double prompt = 0;
    double output = 0;
};

/// `model NAME VERSION cost=PROMPT/OUTPUT`
struct ModelRule
{
    ModelVersion id;
    TokenPrice price;
    int line = 0;
};

/// `allow workspace=GLOB model=GLOB` or `allow workspace=GLOB service=GLOB`
struct AllowRule
{
    std::string workspace;
    std::string model;   ///< Glob; empty when the rule allows a service.
    std::string service; ///< Glob; empty when the rule allows a model.
    int line = 0;
};

/// `cascade task=NAME via=M1,M2 quality=Q [wait=yes]`
struct CascadeRule
{
    std::string task;
    std::vector<std::string> via; ///< Cheapest first.
    double quality = 0;           ///< Wanted share of good answers, 0 to 1.
    bool canWait = false;         ///< Served after tasks that cannot wait.
    int line = 0;
};

enum class HoldSignal { Errors, Crashes, Ratings };

/// `rollout MODEL from=V1 to=V2 share=P% hold-on=errors,crashes,ratings`
struct RolloutRule
{
    std::string model;
    std::string from;
    std::string to;
    double share = 0; ///< Part of new sessions sent to `to`, 0 to 1.
    std::vector<HoldSignal> holdOn;
    int line = 0;

    /// Name of the roll-out's durable row; changes when an operator edits the line.
    std::string key() const;
};

/// `withdraw MODEL VERSION`
struct WithdrawRule
{
    ModelVersion id;
    int line = 0;
};

/// `limit workspace=NAME [requests=N/s] [tokens=N/s]`; zero means no limit.
struct LimitRule
{
    std::string workspace;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    int line = 0;
};

/// True when `text` matches `glob`, in which `*` stands for any run of characters.
bool matchesGlob(std::string_view glob, std::string_view text);

/// One parsed rules file. Invariant: every name that a rule refers to is in `models`.
class Rules
{
public:
    std::vector<ModelRule> models;
    std::vector<AllowRule> allows;
    std::vector<CascadeRule> cascades;
    std::vector<RolloutRule> rollouts;
    std::vector<WithdrawRule> withdrawals;
    std::vector<LimitRule> limits;
    std::uint64_t version = 0; ///< Place in the chain of accepted files; 0 before acceptance.

    const ModelRule *findModel(const ModelVersion &id) const;
    bool hasModel(std::string_view model) const;
    bool isWithdrawn(const ModelVersion &id) const;
    const CascadeRule *findCascade(std::string_view task) const;
    const RolloutRule *findRollout(std::string_view model) const;
    const LimitRule *findLimit(std::string_view workspace) const;
    /// The rule that lets `workspace` use `model`; null when none does.
    const AllowRule *findAllowedModel(std::string_view workspace, std::string_view model) const;
    /// The rule that lets `workspace` call `service`; null when none does.
    const AllowRule *findAllowedService(std::string_view workspace, std::string_view service) const;
    /// The version for new sessions outside a roll-out: the `from` of the roll-out if there is one,
    /// else the last catalogue line that is not withdrawn. Empty when all are withdrawn.
    std::optional<std::string> currentVersion(std::string_view model) const;
    /// True when new work of `workspace` may run on `id` now.
    bool mayRun(std::string_view workspace, const ModelVersion &id) const;
};

} // namespace basilnotch
