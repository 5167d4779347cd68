// One reader for each keyword, registered in a table; the checks that need the whole file (unknown
// references, contradictions) run after all lines have been read.
#include <rules/RulesParser.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <set>

namespace basilnotch {

namespace {

struct Word
{
    std::string text;
    int column = 0;
};

struct Option
{
    Word key;
    Word value;
};

/// One line, cut into a keyword, positional words and key=value options.
struct Line
{
    int number = 0;
    int endColumn = 1;
    Word keyword;
    std::vector<Word> positional;
    std::vector<Option> options;
};

bool isName(std::string_view text, bool globAllowed)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '_' || c == '.' || (globAllowed && c == '*');
    });
}

class Reader
{
public:
    explicit Reader(std::string_view text)
        : text(text)
    { }

    ParsedRules read();

private:
    using LineReader = void (Reader::*)(const Line &);

    void readLine(const Line &line);
    void readModel(const Line &line);
    void readAllow(const Line &line);
    void readCascade(const Line &line);
    void readRollout(const Line &line);
    void readWithdraw(const Line &line);
    void readLimit(const Line &line);

    void checkReferences();
    void checkDuplicates();
    void checkModelRef(int line, const ModelVersion &id);

    void fault(int line, int column, std::string found, std::string allowed);
    bool expectPositional(const Line &line, std::vector<std::string> names);
    bool expectOptions(const Line &line, const std::vector<std::string> &required,
                       const std::vector<std::string> &optional);
    const Word *option(const Line &line, std::string_view key) const;
    std::string name(const Line &line, std::string_view key, bool globAllowed);
    double number(const Line &line, const Word &word, std::string_view suffix, double low,
                  double high, std::string_view allowed);

    std::string_view text;
    ParsedRules result;
};

Line cutLine(int number, std::string_view raw)
{
    Line line;
    line.number = number;
    const std::string_view code = raw.substr(0, raw.find('#'));
    std::size_t at = 0;
    while (at < code.size()) {
        if (std::isspace(static_cast<unsigned char>(code[at]))) {
            ++at;
            continue;
        }
        std::size_t end = at;
        while (end < code.size() && !std::isspace(static_cast<unsigned char>(code[end]))) {
            ++end;
        }
        const std::string word(code.substr(at, end - at));
        const int column = static_cast<int>(at) + 1;
        const std::size_t equals = word.find('=');
        if (line.keyword.text.empty()) {
            line.keyword = {word, column};
        } else if (equals != std::string::npos) {
            const int valueColumn = column + static_cast<int>(equals) + 1;
            line.options.push_back(
                {{word.substr(0, equals), column}, {word.substr(equals + 1), valueColumn}});
        } else {
            line.positional.push_back({word, column});
        }
        at = end;
        line.endColumn = static_cast<int>(end) + 1;
    }
    return line;
}

void Reader::fault(int line, int column, std::string found, std::string allowed)
{
    this->result.faults.push_back({line, column, std::move(found), std::move(allowed)});
}

const Word *Reader::option(const Line &line, std::string_view key) const
{
    for (const Option &candidate : line.options) {
        if (candidate.key.text == key) {
            return &candidate.value;
        }
    }
    return nullptr;
}

bool Reader::expectPositional(const Line &line, std::vector<std::string> names)
{
    if (line.positional.size() > names.size()) {
        const Word &extra = line.positional[names.size()];
        this->fault(line.number, extra.column, "'" + extra.text + "'", "key=value or end of line");
        return false;
    }
    if (line.positional.size() < names.size()) {
        this->fault(line.number, line.endColumn, "end of words", names[line.positional.size()]);
        return false;
    }
    for (std::size_t index = 0; index < names.size(); ++index) {
        const Word &word = line.positional[index];
        if (!isName(word.text, false)) {
            this->fault(line.number, word.column, "'" + word.text + "'",
                        names[index] + " made of letters, digits, '-', '_' and '.'");
            return false;
        }
    }
    return true;
}

bool Reader::expectOptions(const Line &line, const std::vector<std::string> &required,
                           const std::vector<std::string> &optional)
{
    std::vector<std::string> known = required;
    known.insert(known.end(), optional.begin(), optional.end());
    std::set<std::string> seen;
    bool ok = true;
    for (const Option &given : line.options) {
        if (std::find(known.begin(), known.end(), given.key.text) == known.end()) {
            this->fault(line.number, given.key.column, "'" + given.key.text + "='",
                        absl::StrJoin(known, "=, ") + "=");
            ok = false;
        } else if (!seen.insert(given.key.text).second) {
            this->fault(line.number, given.key.column, "second '" + given.key.text + "='",
                        "each key once");
            ok = false;
        } else if (given.value.text.empty()) {
            this->fault(line.number, given.value.column, "no value", "a value after '='");
            ok = false;
        }
    }
    for (const std::string &key : required) {
        if (!seen.contains(key) && ok) {
            this->fault(line.number, line.endColumn, "end of line", key + "=");
            ok = false;
        }
    }
    return ok;
}

std::string Reader::name(const Line &line, std::string_view key, bool globAllowed)
{
    const Word *word = this->option(line, key);
    if (!word) {
        return {};
    }
    if (!isName(word->text, globAllowed)) {
        this->fault(line.number, word->column, "'" + word->text + "'",
                    globAllowed ? "a name or a pattern with '*'" : "a name");
    }
    return word->text;
}

double Reader::number(const Line &line, const Word &word, std::string_view suffix, double low,
                      double high, std::string_view allowed)
{
    std::string_view digits = word.text;
    if (!suffix.empty() && digits.size() > suffix.size() && digits.ends_with(suffix)) {
        digits.remove_suffix(suffix.size());
    } else if (!suffix.empty()) {
        digits = {};
    }
    double value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool whole = error == std::errc() && end == digits.data() + digits.size();
    if (digits.empty() || !whole || !std::isfinite(value) || value < low || value > high) {
        this->fault(line.number, word.column, "'" + word.text + "'", std::string(allowed));
        return 0;
    }
    return value;
}

void Reader::readModel(const Line &line)
{
    if (!this->expectPositional(line, {"model name", "version"})
        || !this->expectOptions(line, {"cost"}, {})) {
        return;
    }
    const Word &cost = *this->option(line, "cost");
    const std::size_t slash = cost.text.find('/');
    const Word prompt{cost.text.substr(0, slash), cost.column};
    const Word output = slash == std::string::npos
        ? prompt
        : Word{cost.text.substr(slash + 1), cost.column + static_cast<int>(slash) + 1};
    constexpr double kMaxPrice = 1e6;
    const std::string_view allowed = "PRICE or PROMPT/OUTPUT price for 1,000 tokens";
    ModelRule rule;
    rule.id = {line.positional[0].text, line.positional[1].text};
    rule.price.prompt = this->number(line, prompt, "", 0, kMaxPrice, allowed);
    rule.price.output = this->number(line, output, "", 0, kMaxPrice, allowed);
    rule.line = line.number;
    this->result.rules.models.push_back(rule);
}

void Reader::readAllow(const Line &line)
{
    if (!this->expectPositional(line, {})
        || !this->expectOptions(line, {"workspace"}, {"model", "service"})) {
        return;
    }
    const bool hasModel = this->option(line, "model");
    if (hasModel == (this->option(line, "service") != nullptr)) {
        this->fault(line.number, line.endColumn, hasModel ? "both" : "neither",
                    "exactly one of model= and service=");
        return;
    }
    AllowRule rule;
    rule.workspace = this->name(line, "workspace", true);
    rule.model = this->name(line, "model", true);
    rule.service = this->name(line, "service", true);
    rule.line = line.number;
    this->result.rules.allows.push_back(rule);
}

void Reader::readCascade(const Line &line)
{
    if (!this->expectPositional(line, {})
        || !this->expectOptions(line, {"task", "via", "quality"}, {"wait"})) {
        return;
    }
    CascadeRule rule;
    rule.task = this->name(line, "task", false);
    rule.via = absl::StrSplit(this->option(line, "via")->text, ',');
    rule.quality =
        this->number(line, *this->option(line, "quality"), "", 0, 1, "a share from 0 to 1");
    rule.line = line.number;
    if (const Word *wait = this->option(line, "wait")) {
        rule.canWait = wait->text == "yes";
        if (wait->text != "yes" && wait->text != "no") {
            this->fault(line.number, wait->column, "'" + wait->text + "'", "yes or no");
        }
    }
    this->result.rules.cascades.push_back(rule);
}

void Reader::readRollout(const Line &line)
{
    if (!this->expectPositional(line, {"model name"})
        || !this->expectOptions(line, {"from", "to", "share"}, {"hold-on"})) {
        return;
    }
    RolloutRule rule;
    rule.model = line.positional[0].text;
    rule.from = this->name(line, "from", false);
    rule.to = this->name(line, "to", false);
    rule.share =
        this->number(line, *this->option(line, "share"), "%", 0, 100, "a share from 0% to 100%")
        / 100;
    rule.line = line.number;
    if (rule.from == rule.to) {
        this->fault(line.number, this->option(line, "to")->column, "'" + rule.to + "'",
                    "a version other than from=");
    }
    static const std::map<std::string, HoldSignal, std::less<>> kSignals{
        {"errors", HoldSignal::Errors},
        {"crashes", HoldSignal::Crashes},
        {"ratings", HoldSignal::Ratings}};
    if (const Word *holdOn = this->option(line, "hold-on")) {
        const std::vector<std::string> parts = absl::StrSplit(holdOn->text, ',');
        for (const std::string &part : parts) {
            const auto signal = kSignals.find(part);
            if (signal == kSignals.end()) {
                this->fault(line.number, holdOn->column, "'" + part + "'",
                            "errors, crashes or ratings");
            } else {
                rule.holdOn.push_back(signal->second);
            }
        }
    }
    this->result.rules.rollouts.push_back(rule);
}

void Reader::readWithdraw(const Line &line)
{
    if (!this->expectPositional(line, {"model name", "version"})
        || !this->expectOptions(line, {}, {})) {
        return;
    }
    this->result.rules.withdrawals.push_back(
        {{line.positional[0].text, line.positional[1].text}, line.number});
}

void Reader::readLimit(const Line &line)
{
    if (!this->expectPositional(line, {})
        || !this->expectOptions(line, {"workspace"}, {"requests", "tokens"})) {
        return;
    }
    constexpr double kMaxRate = 1e9;
    LimitRule rule;
    rule.workspace = this->name(line, "workspace", false);
    rule.line = line.number;
    if (const Word *requests = this->option(line, "requests")) {
        rule.requestsPerSecond =
            this->number(line, *requests, "/s", 0.001, kMaxRate, "N/s above zero");
    }
    if (const Word *tokens = this->option(line, "tokens")) {
        rule.tokensPerSecond = this->number(line, *tokens, "/s", 0.001, kMaxRate, "N/s above zero");
    }
    if (rule.requestsPerSecond == 0 && rule.tokensPerSecond == 0) {
        this->fault(line.number, line.endColumn, "end of line", "requests=N/s or tokens=N/s");
    }
    this->result.rules.limits.push_back(rule);
}

void Reader::readLine(const Line &line)
{
    static const std::map<std::string, LineReader, std::less<>> kReaders{
        {"model", &Reader::readModel},       {"allow", &Reader::readAllow},
        {"cascade", &Reader::readCascade},   {"rollout", &Reader::readRollout},
        {"withdraw", &Reader::readWithdraw}, {"limit", &Reader::readLimit}};
    if (line.keyword.text.empty()) {
        return;
    }
    const auto reader = kReaders.find(line.keyword.text);
    if (reader == kReaders.end()) {
        this->fault(line.number, line.keyword.column, "'" + line.keyword.text + "'",
                    "model, allow, cascade, rollout, withdraw or limit");
        return;
    }
    (this->*reader->second)(line);
}

void Reader::checkModelRef(int line, const ModelVersion &id)
{
    if (!this->result.rules.findModel(id)) {
        this->fault(line, 1, "reference to '" + id.model + " " + id.version + "'",
                    "a model and version with a model line");
    }
}

void Reader::checkReferences()
{
    const Rules &rules = this->result.rules;
    for (const WithdrawRule &rule : rules.withdrawals) {
        this->checkModelRef(rule.line, rule.id);
    }
    for (const RolloutRule &rule : rules.rollouts) {
        this->checkModelRef(rule.line, {rule.model, rule.from});
        this->checkModelRef(rule.line, {rule.model, rule.to});
        if (rules.isWithdrawn({rule.model, rule.to})) {
            this->fault(rule.line, 1, "roll-out to the withdrawn '" + rule.to + "'",
                        "a version without a withdraw line");
        }
    }
    for (const CascadeRule &rule : rules.cascades) {
        for (const std::string &model : rule.via) {
            if (!rules.hasModel(model)) {
                this->fault(rule.line, 1, "reference to '" + model + "'",
                            "a model with a model line");
            }
        }
        if (std::set<std::string>(rule.via.begin(), rule.via.end()).size() != rule.via.size()) {
            this->fault(rule.line, 1, "a model named twice in via=", "each model once");
        }
    }
    for (const AllowRule &rule : rules.allows) {
        const bool known = rule.model.empty()
            || std::any_of(rules.models.begin(), rules.models.end(), [&](const ModelRule &model) {
                               return matchesGlob(rule.model, model.id.model);
                           });
        if (!known) {
            this->fault(rule.line, 1, "model=" + rule.model + " matches nothing",
                        "a pattern that matches a model line");
        }
    }
}

void Reader::checkDuplicates()
{
    std::map<std::string, int, std::less<>> seen;
    const auto once = [&](const std::string &what, int line) {
        const auto [first, isNew] = seen.try_emplace(what, line);
        if (!isNew) {
            this->fault(line, 1, "second " + what,
                        absl::StrCat("one; the first is on line ", first->second));
        }
    };
    const Rules &rules = this->result.rules;
    for (const ModelRule &rule : rules.models) {
        once("model " + rule.id.model + " " + rule.id.version, rule.line);
    }
    for (const AllowRule &rule : rules.allows) {
        once("allow " + rule.workspace + " " + rule.model + " " + rule.service, rule.line);
    }
    for (const CascadeRule &rule : rules.cascades) {
        once("cascade task=" + rule.task, rule.line);
    }
    for (const RolloutRule &rule : rules.rollouts) {
        once("rollout " + rule.model, rule.line);
    }
    for (const WithdrawRule &rule : rules.withdrawals) {
        once("withdraw " + rule.id.model + " " + rule.id.version, rule.line);
    }
    for (const LimitRule &rule : rules.limits) {
        once("limit workspace=" + rule.workspace, rule.line);
    }
}

ParsedRules Reader::read()
{
    if (this->text.size() > kMaxRulesBytes) {
        this->fault(1, 1, absl::StrCat(this->text.size(), " bytes"),
                    absl::StrCat(kMaxRulesBytes, " at most"));
        return std::move(this->result);
    }
    int number = 0;
    for (const absl::string_view raw :
         absl::StrSplit(absl::string_view(this->text.data(), this->text.size()), '\n')) {
        ++number;
        if (number > kMaxRulesLines) {
            this->fault(number, 1, "more lines", absl::StrCat(kMaxRulesLines, " lines at most"));
            break;
        }
        this->readLine(cutLine(number, std::string_view(raw.data(), raw.size())));
    }
    this->checkReferences();
    this->checkDuplicates();
    std::stable_sort(this->result.faults.begin(), this->result.faults.end(),
                     [](const RulesFault &left, const RulesFault &right) {
                         return std::pair(left.line, left.column)
                             < std::pair(right.line, right.column);
                     });
    return std::move(this->result);
}

} // namespace

std::string RulesFault::format(std::string_view file) const
{
    return absl::StrCat(std::string(file), ":", this->line, ":", this->column, ": found ",
                        this->found, "; allowed here: ", this->allowed);
}

ParsedRules parseRules(std::string_view text)
{
    return Reader(text).read();
}

} // namespace basilnotch
