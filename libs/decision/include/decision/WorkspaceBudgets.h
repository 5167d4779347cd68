// Enforces workspace limits across equal instances without a coordinator: each instance counts what
// it admits, reports that to the others and admits only its share of the available budget.
#pragma once

#include <base/Clock.h>
#include <rules/Rules.h>

#include <map>
#include <string>
#include <string_view>

namespace basilnotch {

/// Usage that one instance has admitted since its start; never decreases.
struct UsageCounts
{
    double requests = 0;
    double tokens = 0;
};

struct BudgetOptions
{
    Duration burst = std::chrono::seconds(2); ///< Unused budget accumulates for up to this time.
    /// Multiple of its equal share that an instance may admit between two exchanges.
    double maxShareFactor = 2;
    Duration exchangeInterval = std::chrono::milliseconds(500); ///< Between reports of usage.
};

enum class BudgetResult { Admitted, RequestBudgetExhausted, TokenBudgetExhausted };

/// Not thread-safe. The overshoot in any window is at most maxShareFactor * burst * limit, plus
/// what all instances admit before a lost exchange is noticed.
class WorkspaceBudgets
{
public:
    WorkspaceBudgets(BudgetOptions options, const Clock &clock);

    void setInstanceCount(int instanceCount);
    /// Admits a request with `tokens` expected tokens, or returns which budget is exhausted.
    BudgetResult admit(const LimitRule &limit, double tokens);
    /// Corrects the token count of a request that has ended.
    void settle(std::string_view workspace, double expectedTokens, double usedTokens);
    UsageCounts localUsage(std::string_view workspace) const;
    /// Applies the usage that `instance` reports. The first report only sets the baseline.
    void applyUsage(const std::string &workspace, const std::string &instance,
                    const UsageCounts &usage);

private:
    struct Budget
    {
        double available = 0; ///< In the common budget, as far as known here; may be negative.
        double grant = 0;     ///< What this instance may still admit before the next exchange.
    };
    struct Account
    {
        bool initialized = false;
        Budget requests;
        Budget tokens;
        TimePoint refilledAt;
        TimePoint grantedAt;
        UsageCounts localUsage;
        std::map<std::string, UsageCounts, std::less<>> remoteUsage;
    };

    void refill(Account &account, const LimitRule &limit);
    void refillBudget(Budget &budget, double rate, double seconds) const;

    const BudgetOptions options;
    const Clock &clock;
    int instanceCount = 1;
    std::map<std::string, Account, std::less<>> accounts;
};

} // namespace basilnotch
