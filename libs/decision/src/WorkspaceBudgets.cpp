// A token bucket whose level is common: everybody's admissions are taken from everybody's copy.
#include <decision/WorkspaceBudgets.h>

#include <algorithm>

namespace basilnotch {

WorkspaceBudgets::WorkspaceBudgets(BudgetOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
{ }

void WorkspaceBudgets::setInstanceCount(int count)
{
    this->instances = std::max(1, count);
}

void WorkspaceBudgets::refillLevel(Level &level, double rate, double seconds) const
{
    level.left = std::min(rate * toSeconds(this->options.burst), level.left + rate * seconds);
}

void WorkspaceBudgets::refill(Account &account, const LimitRule &limit)
{
    const TimePoint now = this->clock.now();
    if (!account.started) {
        account.started = true;
        account.refilledAt = now;
        account.grantedAt = now - this->options.exchange;
        account.requests.left = limit.requestsPerSecond * toSeconds(this->options.burst);
        account.tokens.left = limit.tokensPerSecond * toSeconds(this->options.burst);
    }
    const double seconds = toSeconds(now - account.refilledAt);
    account.refilledAt = now;
    this->refillLevel(account.requests, limit.requestsPerSecond, seconds);
    this->refillLevel(account.tokens, limit.tokensPerSecond, seconds);
    if (now - account.grantedAt < this->options.exchange) {
        return;
    }
    account.grantedAt = now;
    const double part = std::min(1.0, this->options.skew / this->instances);
    account.requests.grant = std::max(0.0, account.requests.left) * part;
    account.tokens.grant = std::max(0.0, account.tokens.left) * part;
}

BudgetResult WorkspaceBudgets::admit(const LimitRule &limit, double tokens)
{
    Account &account = this->accounts[limit.workspace];
    this->refill(account, limit);
    const auto spent = [](const Level &level) { return level.left < 0 || level.grant <= 0; };
    if (limit.requestsPerSecond > 0 && (account.requests.left < 1 || spent(account.requests))) {
        return BudgetResult::RequestBudgetExhausted;
    }
    if (limit.tokensPerSecond > 0 && spent(account.tokens)) {
        return BudgetResult::TokenBudgetExhausted;
    }
    account.localUsage.requests += 1;
    account.localUsage.tokens += tokens;
    account.requests.left -= 1;
    account.requests.grant -= 1;
    account.tokens.left -= tokens;
    account.tokens.grant -= tokens;
    return BudgetResult::Admitted;
}

void WorkspaceBudgets::settle(std::string_view workspace, double expectedTokens, double usedTokens)
{
    const auto found = this->accounts.find(workspace);
    if (found == this->accounts.end()) {
        return;
    }
    // Counts told to others only grow: a request that used less gives its rest back here alone.
    const double more = usedTokens - expectedTokens;
    found->second.tokens.left -= more;
    found->second.localUsage.tokens += std::max(0.0, more);
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
    const auto [known, isNew] = account.others.try_emplace(instance, usage);
    if (isNew) {
        return; // What it let in before we knew of it is no longer in the bucket.
    }
    account.requests.left -= std::max(0.0, usage.requests - known->second.requests);
    account.tokens.left -= std::max(0.0, usage.tokens - known->second.tokens);
    known->second.requests = std::max(known->second.requests, usage.requests);
    known->second.tokens = std::max(known->second.tokens, usage.tokens);
}

} // namespace basilnotch
