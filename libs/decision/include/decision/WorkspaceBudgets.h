// Limits of workspaces, kept by equal instances without a coordinator: each counts what it let in,
// tells the others, and lets in only its part of what is left.
#pragma once

#include <base/Clock.h>
#include <rules/Rules.h>

#include <map>
#include <string>
#include <string_view>

namespace basilnotch {

/// What one instance has let in since its start; only grows.
struct UsageCounts
{
    double requests = 0;
    double tokens = 0;
};

struct BudgetOptions
{
    Duration burst = std::chrono::seconds(2); ///< Unused budget is kept for so long.
    double skew = 2; ///< An instance may take so many times its equal part between two exchanges.
    Duration exchange = std::chrono::milliseconds(500); ///< How often usage is told.
};

enum class BudgetResult { Admitted, RequestBudgetExhausted, TokenBudgetExhausted };

/// One thread. Overshoot over any window is at most skew * burst * limit, plus what all instances
/// let in before a lost exchange is noticed.
class WorkspaceBudgets
{
public:
    WorkspaceBudgets(BudgetOptions options, const Clock &clock);

    void setInstanceCount(int instances);
    /// Lets one request with `tokens` expected tokens in, or says which budget is spent.
    BudgetResult admit(const LimitRule &limit, double tokens);
    /// Corrects the tokens of a request that has ended.
    void settle(std::string_view workspace, double expectedTokens, double usedTokens);
    UsageCounts localUsage(std::string_view workspace) const;
    /// What the instance `instance` says it has let in so far.
    void applyUsage(const std::string &workspace, const std::string &instance,
                    const UsageCounts &usage);

private:
    struct Level
    {
        double left = 0;  ///< Of the common budget, as far as known here; may be negative.
        double grant = 0; ///< What this instance may still take before the next exchange.
    };
    struct Account
    {
        bool started = false;
        Level requests;
        Level tokens;
        TimePoint refilledAt;
        TimePoint grantedAt;
        UsageCounts localUsage;
        std::map<std::string, UsageCounts, std::less<>> others;
    };

    void refill(Account &account, const LimitRule &limit);
    void refillLevel(Level &level, double rate, double seconds) const;

    const BudgetOptions options;
    const Clock &clock;
    int instances = 1;
    std::map<std::string, Account, std::less<>> accounts;
};

} // namespace basilnotch
