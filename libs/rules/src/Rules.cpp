// Look-ups in one rules file. Files hold tens of lines, so a linear scan is the fastest index.
#include <rules/Rules.h>

#include <algorithm>

namespace basilnotch {

namespace {

template <typename Container, typename Predicate>
auto findLine(const Container &rules, Predicate matches) -> decltype(rules.data())
{
    const auto found = std::find_if(rules.begin(), rules.end(), matches);
    return found == rules.end() ? nullptr : &*found;
}

} // namespace

bool matchesGlob(std::string_view glob, std::string_view text)
{
    std::size_t globAt = 0;
    std::size_t textAt = 0;
    std::size_t starAt = std::string_view::npos;
    std::size_t retryAt = 0;
    while (textAt < text.size()) {
        if (globAt < glob.size() && glob[globAt] == '*') {
            starAt = globAt++;
            retryAt = textAt;
        } else if (globAt < glob.size() && glob[globAt] == text[textAt]) {
            ++globAt;
            ++textAt;
        } else if (starAt != std::string_view::npos) {
            globAt = starAt + 1;
            textAt = ++retryAt;
        } else {
            return false;
        }
    }
    while (globAt < glob.size() && glob[globAt] == '*') {
        ++globAt;
    }
    return globAt == glob.size();
}

std::string RolloutRule::key() const
{
    return this->model + "/" + this->from + "/" + this->to + "/" + std::to_string(this->share);
}

const ModelRule *Rules::findModel(const ModelVersion &id) const
{
    return findLine(this->models, [&](const ModelRule &rule) { return rule.id == id; });
}

bool Rules::hasModel(std::string_view model) const
{
    return findLine(this->models, [&](const ModelRule &rule) { return rule.id.model == model; });
}

bool Rules::isWithdrawn(const ModelVersion &id) const
{
    return findLine(this->withdrawals, [&](const WithdrawRule &rule) { return rule.id == id; });
}

const CascadeRule *Rules::findCascade(std::string_view task) const
{
    return findLine(this->cascades, [&](const CascadeRule &rule) { return rule.task == task; });
}

const RolloutRule *Rules::findRollout(std::string_view model) const
{
    return findLine(this->rollouts, [&](const RolloutRule &rule) { return rule.model == model; });
}

const LimitRule *Rules::findLimit(std::string_view workspace) const
{
    return findLine(this->limits,
                    [&](const LimitRule &rule) { return rule.workspace == workspace; });
}

const AllowRule *Rules::findAllowedModel(std::string_view workspace, std::string_view model) const
{
    return findLine(this->allows, [&](const AllowRule &rule) {
        return !rule.model.empty() && matchesGlob(rule.workspace, workspace)
            && matchesGlob(rule.model, model);
    });
}

const AllowRule *Rules::findAllowedService(std::string_view workspace,
                                           std::string_view service) const
{
    return findLine(this->allows, [&](const AllowRule &rule) {
        return !rule.service.empty() && matchesGlob(rule.workspace, workspace)
            && matchesGlob(rule.service, service);
    });
}

std::optional<std::string> Rules::currentVersion(std::string_view model) const
{
    const RolloutRule *rollout = this->findRollout(model);
    if (rollout && !this->isWithdrawn({rollout->model, rollout->from})) {
        return rollout->from;
    }
    std::optional<std::string> current;
    for (const ModelRule &rule : this->models) {
        if (rule.id.model == model && !this->isWithdrawn(rule.id)) {
            current = rule.id.version;
        }
    }
    return current;
}

bool Rules::mayRun(std::string_view workspace, const ModelVersion &id) const
{
    return this->findModel(id) && !this->isWithdrawn(id)
        && this->findAllowedModel(workspace, id.model);
}

} // namespace basilnotch
