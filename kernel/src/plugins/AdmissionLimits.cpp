// Admission limits that are checked before a request is queued.
#include <kernel/Plugins.h>
#include <runtime/HttpStatus.h>

#include <decision/RequestQuarantine.h>

namespace basilnotch {

namespace {

/// Enforces the `limit` lines of the rules.
class BudgetLimit final : public AdmissionLimit
{
public:
    explicit BudgetLimit(WorkspaceBudgets &budgets)
        : budgets(budgets)
    { }

    std::optional<AdmissionRefusal> check(const AdmissionRequest &request) override
    {
        const LimitRule *limit = request.rules->findLimit(request.workspace);
        const BudgetResult verdict =
            limit ? this->budgets.admit(*limit, request.expectedTokens) : BudgetResult::Admitted;
        if (verdict == BudgetResult::Admitted) {
            return std::nullopt;
        }
        const bool tokens = verdict == BudgetResult::TokenBudgetExhausted;
        return AdmissionRefusal{
            status::kTooMany, tokens ? "token_budget_spent" : "request_budget_spent",
            "the limit on line " + std::to_string(limit->line) + " of the rules is reached",
            std::chrono::seconds(1)};
    }

private:
    WorkspaceBudgets &budgets;
};

/// Refuses requests that have crashed more than one upstream.
class QuarantineLimit final : public AdmissionLimit
{
public:
    explicit QuarantineLimit(RequestQuarantine &quarantine)
        : quarantine(quarantine)
    { }

    std::optional<AdmissionRefusal> check(const AdmissionRequest &request) override
    {
        if (!this->quarantine.isQuarantined(request.fingerprint)) {
            return std::nullopt;
        }
        return AdmissionRefusal{status::kUnprocessable,
                                "quarantined",
                                "this request has crashed more than one upstream",
                                {}};
    }

private:
    RequestQuarantine &quarantine;
};

// Limits are checked in the order of their names. Quarantine comes first, because a quarantined
// request must not consume a budget.
const AdmissionRegistration kQuarantine("a-quarantine", [](const AdmissionContext &context) {
    return std::make_unique<QuarantineLimit>(*context.poison);
});
const AdmissionRegistration kBudget("b-budget", [](const AdmissionContext &context) {
    return std::make_unique<BudgetLimit>(*context.budgets);
});

} // namespace

} // namespace basilnotch
