// A replicated token bucket: every instance subtracts the admissions of all instances from its
// copy.
#include <decision/WorkspaceBudgets.h>

#include <algorithm>

namespace basilnotch {

WorkspaceBudgets::WorkspaceBudgets(BudgetOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

void WorkspaceBudgets::setInstanceCount(int count)
{
    this->instanceCount = std::max(1, count);
}

void WorkspaceBudgets::refillBudget(Budget &budget, double rate, double seconds) const
{
    budget.available =
        std::min(rate * toSeconds(this->options.burst), budget.available + rate * seconds);
}

void WorkspaceBudgets::refill(Account &account, const LimitRule &limit)
{
    const TimePoint now = this->clock.now();
    if (!account.initialized) {
        account.initialized = true;
        account.refilledAt = now;
        account.grantedAt = now - this->options.exchangeInterval;
        account.requests.available = limit.requestsPerSecond * toSeconds(this->options.burst);
        account.tokens.available = limit.tokensPerSecond * toSeconds(this->options.burst);
    }
    const double seconds = toSeconds(now - account.refilledAt);
    account.refilledAt = now;
    this->refillBudget(account.requests, limit.requestsPerSecond, seconds);
    this->refillBudget(account.tokens, limit.tokensPerSecond, seconds);
    if (now - account.grantedAt < this->options.exchangeInterval) {
        return;
    }
    account.grantedAt = now;
    const double part = std::min(1.0, this->options.maxShareFactor / this->instanceCount);
    account.requests.grant = std::max(0.0, account.requests.available) * part;
    account.tokens.grant = std::max(0.0, account.tokens.available) * part;
}

BudgetResult WorkspaceBudgets::admit(const LimitRule &limit, double tokens)
{
    Account &account = this->accounts[limit.workspace];
    this->refill(account, limit);
    const auto isExhausted = [](const Budget &budget) {
        return budget.available < 0 || budget.grant <= 0;
    };
    if (limit.requestsPerSecond > 0
        && (account.requests.available < 1 || isExhausted(account.requests))) {
        return BudgetResult::RequestBudgetExhausted;
    }
    if (limit.tokensPerSecond > 0 && isExhausted(account.tokens)) {
        return BudgetResult::TokenBudgetExhausted;
    }
    account.localUsage.requests += 1;
    account.localUsage.tokens += tokens;
    account.requests.available -= 1;
    account.requests.grant -= 1;
    account.tokens.available -= tokens;
    account.tokens.grant -= tokens;
    return BudgetResult::Admitted;
}

void WorkspaceBudgets::settle(std::string_view workspace, double expectedTokens, double usedTokens)
{
    const auto found = this->accounts.find(workspace);
    if (found == this->accounts.end()) {
        return;
    }
    // Reported usage never decreases, so unused tokens are returned only to the local bucket.
    const double excess = usedTokens - expectedTokens;
    found->second.tokens.available -= excess;
    found->second.localUsage.tokens += std::max(0.0, excess);
}

UsageCounts WorkspaceBudgets::localUsage(std::string_view workspace) const
{
    const auto found = this->accounts.find(workspace);
    return found == this->accounts.end() ? UsageCounts{} : found->second.localUsage;
}

void WorkspaceBudgets::applyUsage(const std::string &workspace, const std::string &instance,
                                  const UsageCounts &usage)
{
    Account &account = this->accounts[workspace];
    const auto [known, isNew] = account.remoteUsage.try_emplace(instance, usage);
    if (isNew) {
        return; // Earlier usage has already left the bucket.
    }
    account.requests.available -= std::max(0.0, usage.requests - known->second.requests);
    account.tokens.available -= std::max(0.0, usage.tokens - known->second.tokens);
    known->second.requests = std::max(known->second.requests, usage.requests);
    known->second.tokens = std::max(known->second.tokens, usage.tokens);
}

} // namespace basilnotch
