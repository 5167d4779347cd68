// The command line of the one shipped binary.
#include "OperatorClient.h"

#include <kernel/EntryProcess.h>
#include <kernel/Plugins.h>
#include <kernel/Site.h>
#include <kernel/SiteProcess.h>
#include <rules/RulesParser.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <boost/program_options.hpp>
#include <glog/logging.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace basilnotch;
namespace options = boost::program_options;

constexpr char kUsage[] = R"(basilnotch, a model-aware router for versions and cascades

  basilnotch serve --settings FILE            run an entry instance
  basilnotch serve [--site FILE]              run an instance of a site, which takes its routes and
                                              upstreams from the platform's store; FILE is by default
                                              what BASILNOTCH_BOOT names
  basilnotch settings check FILE              validate settings and print them with their defaults
  basilnotch settings check --site FILE       validate settings of a site
  basilnotch rules check FILE                 validate a rules file offline
  basilnotch rules fetch [FILE]               read the rules in force
  basilnotch rules diff FILE                  what FILE would change
  basilnotch rules apply FILE --base N        put FILE in force, if N is still the version in force
  basilnotch rules status                     where the accepted rules are in force
  basilnotch explain --workspace W --task T   which model, version and upstream, and why
  basilnotch explain --host H --path P        where an instance of a site would send this request
                                              now, and why; --instance is its metrics address
  basilnotch status                           one instance's view of the system

Commands that talk to the system take --instance ADDRESS:PORT (may be repeated) and --key KEY, or
BASILNOTCH_INSTANCES (comma-separated) and BASILNOTCH_KEY from the environment.
FILE may be "-" for standard input.

Exit codes: 0 done, 1 refused or unreachable, 2 wrong command line or file, 3 another operator was
faster, 4 stored but not yet in force everywhere.
)";

options::options_description makeOptions()
{
    options::options_description all("options");
    auto add = all.add_options();
    add("help,h", "print this page");
    add("version", "print the version");
    add("settings", options::value<std::string>(), "settings file of an instance");
    add("site", options::value<std::string>(), "settings file of an instance of a site");
    add("instance", options::value<std::vector<std::string>>(), "ADDRESS:PORT of an instance");
    add("key", options::value<std::string>(), "operator's key");
    add("base", options::value<std::uint64_t>(), "version that was edited");
    add("workspace", options::value<std::string>(), "workspace to explain");
    add("host", options::value<std::string>(), "host of the request to explain");
    add("path", options::value<std::string>(), "path of the request to explain");
    add("caller-key", options::value<std::string>(), "key of a caller, instead of its workspace");
    add("request", options::value<std::string>(), "id of the request to explain");
    add("model", options::value<std::string>(), "model that the request names");
    add("prompt", options::value<std::vector<std::string>>(),
        "ID:TOKENS of a prompt part, from the first one (may be repeated)");
    add("task", options::value<std::string>(), "task to explain");
    add("session", options::value<std::string>()->default_value(""), "session token to explain");
    add("stream", "explain a caller that streams");
    add("long", "explain a long prompt");
    add("json", "print JSON");
    add("words", options::value<std::vector<std::string>>(), "command");
    return all;
}

int usageError(const std::string &message)
{
    std::cerr << "basilnotch: " << message << "\nbasilnotch --help shows the commands\n";
    return ExitUsage;
}

bool readTarget(const options::variables_map &given, OperatorTarget *target)
{
    std::vector<std::string> names;
    if (given.count("instance") > 0) {
        names = given["instance"].as<std::vector<std::string>>();
    } else if (const char *fromEnvironment = std::getenv("BASILNOTCH_INSTANCES")) {
        names = absl::StrSplit(fromEnvironment, ',', absl::SkipEmpty());
    }
    for (const std::string &name : names) {
        Endpoint endpoint;
        if (!parseEndpoint(name, &endpoint)) {
            usageError("--instance: found '" + name + "'; allowed: IP-ADDRESS:PORT");
            return false;
        }
        target->instances.push_back(endpoint);
    }
    if (given.count("key") > 0) {
        target->key = given["key"].as<std::string>();
    } else if (const char *key = std::getenv("BASILNOTCH_KEY")) {
        target->key = key;
    }
    if (target->instances.empty()) {
        usageError("--instance or BASILNOTCH_INSTANCES is needed");
        return false;
    }
    return true;
}

/// Settings of `path`; faults go to standard error.
bool loadSettings(const std::string &path, Settings *settings)
{
    std::string text;
    if (!readFile(path, &text)) {
        return false;
    }
    ParsedSettings parsed = parseSettings(text);
    const auto checkName = [&](const std::string &place, const std::string &name, bool known,
                               const std::vector<std::string> &names) {
        if (!known) {
            parsed.faults.push_back(
                {place, "found '" + name + "'; allowed: " + absl::StrJoin(names, ", ")});
        }
    };
    const Settings &read = parsed.settings;
    checkName("$.routingPolicy", read.routingPolicy,
              PolicyRegistry::instance().has(read.routingPolicy),
              PolicyRegistry::instance().names());
    checkName("$.platform.adapter", read.platform.adapter,
              PlatformRegistry::instance().has(read.platform.adapter),
              PlatformRegistry::instance().names());
    for (std::size_t index = 0; index < read.upstreams.size(); ++index) {
        const std::string &kind = read.upstreams[index].kind;
        checkName(absl::StrCat("$.upstreams[", index, "].kind"), kind,
                  UpstreamAdapterRegistry::instance().has(kind),
                  UpstreamAdapterRegistry::instance().names());
    }
    for (const SettingsFault &fault : parsed.faults) {
        std::cerr << path << ": " << fault.path << ": " << fault.text << "\n";
    }
    *settings = parsed.settings;
    return parsed.ok();
}

/// Settings of a site; faults go to standard error.
bool loadSiteSettings(const std::string &path, SiteSettings *settings)
{
    std::string text;
    if (!readFile(path, &text)) {
        return false;
    }
    ParsedSiteSettings parsed = parseSiteSettings(text);
    if (parsed.ok() && !SiteAdapterRegistry::instance().has(parsed.settings.adapter)) {
        parsed.faults.push_back(
            {"$.store.adapter",
             absl::StrCat("found '", parsed.settings.adapter, "'; allowed: ",
                          absl::StrJoin(SiteAdapterRegistry::instance().names(), ", "))});
    }
    for (const SettingsFault &fault : parsed.faults) {
        std::cerr << path << ": " << fault.path << ": " << fault.text << "\n";
    }
    *settings = parsed.settings;
    return parsed.ok();
}

int serveSite(const std::string &path)
{
    SiteSettings settings;
    if (!loadSiteSettings(path, &settings)) {
        return ExitUsage;
    }
    SiteProcess process(std::move(settings), path);
    std::_Exit(process.run()); // Threads of the process still run; nothing is left to do for them.
}

int serve(const options::variables_map &given)
{
    if (given.count("settings") == 0) {
        const char *fromEnvironment = std::getenv("BASILNOTCH_BOOT");
        const std::string site = given.count("site") > 0 ? given["site"].as<std::string>()
            : fromEnvironment                            ? fromEnvironment
                                                         : "";
        return site.empty() ? usageError("serve: --settings FILE or --site FILE is needed")
                            : serveSite(site);
    }
    Settings settings;
    if (!loadSettings(given["settings"].as<std::string>(), &settings)) {
        return ExitUsage;
    }
    EntryProcess process(std::move(settings));
    const int code = process.run();
    google::FlushLogFiles(google::INFO);
    std::_Exit(code); // Threads of the process still run; nothing is left to do for them.
}

int checkSettings(const std::string &path)
{
    Settings settings;
    if (!loadSettings(path, &settings)) {
        return ExitUsage;
    }
    std::cout << printSettings(settings) << "\n";
    return ExitOk;
}

int checkRules(const std::string &path)
{
    std::string text;
    if (!readFile(path, &text)) {
        return ExitUsage;
    }
    const ParsedRules parsed = parseRules(text);
    for (const RulesFault &fault : parsed.faults) {
        std::cerr << fault.format(path) << "\n";
    }
    if (!parsed.ok()) {
        return ExitUsage;
    }
    std::cout << path << ": valid\n";
    return ExitOk;
}

int runRules(const std::vector<std::string> &words, const options::variables_map &given)
{
    const std::string action = words.size() > 1 ? words[1] : "";
    const std::string file = words.size() > 2 ? words[2] : "";
    const bool needsFile = action == "check" || action == "diff" || action == "apply";
    if (needsFile && file.empty()) {
        return usageError("rules " + action + ": FILE is needed");
    }
    if (action == "check") {
        return checkRules(file);
    }
    OperatorTarget target;
    if (action != "fetch" && action != "diff" && action != "apply" && action != "status") {
        return usageError("rules: check, fetch, diff, apply or status");
    }
    if (!readTarget(given, &target)) {
        return ExitUsage;
    }
    if (action == "fetch") {
        return fetchRules(target, file);
    }
    if (action == "diff") {
        return diffRules(target, file);
    }
    if (action == "status") {
        return showRulesStatus(target, given.count("json") > 0);
    }
    if (given.count("base") == 0) {
        return usageError("rules apply: --base N is needed, the version that `rules fetch` named");
    }
    return applyRules(target, file, given["base"].as<std::uint64_t>());
}

/// Asks an instance of a site.
int runExplainRoute(const options::variables_map &given)
{
    if (given.count("path") == 0) {
        return usageError("explain: --host needs --path");
    }
    RouteQuestion question;
    const auto read = [&](const char *name, std::string *value) {
        if (given.count(name) > 0) {
            *value = given[name].as<std::string>();
        }
    };
    read("host", &question.host);
    read("path", &question.path);
    read("workspace", &question.workspace);
    read("caller-key", &question.callerKey);
    read("session", &question.session);
    read("request", &question.request);
    read("model", &question.model);
    if (given.count("prompt") > 0) {
        for (const std::string &part : given["prompt"].as<std::vector<std::string>>()) {
            const std::size_t at = part.rfind(':');
            int tokens = 0;
            if (at == std::string::npos || !absl::SimpleAtoi(part.substr(at + 1), &tokens)) {
                return usageError("explain: --prompt: found '" + part + "'; allowed: ID:TOKENS");
            }
            question.prompt.emplace_back(part.substr(0, at), tokens);
        }
    }
    OperatorTarget target;
    return readTarget(given, &target) ? explainRoute(target, question, given.count("json") > 0)
                                      : ExitUsage;
}

int runExplain(const options::variables_map &given)
{
    if (given.count("host") > 0) {
        return runExplainRoute(given);
    }
    if (given.count("workspace") == 0 || given.count("task") == 0) {
        return usageError("explain: --workspace and --task, or --host and --path, are needed");
    }
    OperatorTarget target;
    if (!readTarget(given, &target)) {
        return ExitUsage;
    }
    std::string query = absl::StrCat("workspace=", given["workspace"].as<std::string>(),
                                     "&task=", given["task"].as<std::string>());
    absl::StrAppend(&query, "&stream=", given.count("stream") > 0 ? "yes" : "no",
                    "&long=", given.count("long") > 0 ? "yes" : "no");
    const std::string session = given["session"].as<std::string>();
    if (!session.empty()) {
        absl::StrAppend(&query, "&session=", session);
    }
    return explainChoice(target, query, given.count("json") > 0);
}

int runCommand(const options::variables_map &given)
{
    const std::vector<std::string> words = given.count("words") > 0
        ? given["words"].as<std::vector<std::string>>()
        : std::vector<std::string>();
    if (given.count("help") > 0 || (words.empty() && given.count("version") == 0)) {
        (given.count("help") > 0 ? std::cout : std::cerr) << kUsage << "\n" << makeOptions();
        return given.count("help") > 0 ? ExitOk : ExitUsage;
    }
    if (given.count("version") > 0) {
        std::cout << "basilnotch " << BASILNOTCH_VERSION << "\n";
        return ExitOk;
    }
    const std::string &command = words.front();
    if (command == "serve") {
        return serve(given);
    }
    if (command == "settings" && words.size() == 2 && words[1] == "check"
        && given.count("site") > 0) {
        SiteSettings settings;
        const std::string path = given["site"].as<std::string>();
        const bool valid = loadSiteSettings(path, &settings);
        if (valid) {
            std::cout << path << ": valid\n";
        }
        return valid ? ExitOk : ExitUsage;
    }
    if (command == "settings" && words.size() == 3 && words[1] == "check") {
        return checkSettings(words[2]);
    }
    if (command == "rules") {
        return runRules(words, given);
    }
    if (command == "explain") {
        return runExplain(given);
    }
    if (command == "status") {
        OperatorTarget target;
        return readTarget(given, &target) ? showStatus(target, given.count("json") > 0) : ExitUsage;
    }
    return usageError("unknown command '" + command + "'");
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    try {
        options::positional_options_description positional;
        positional.add("words", -1);
        options::variables_map given;
        options::store(options::command_line_parser(argc, argv)
                           .options(makeOptions())
                           .positional(positional)
                           .run(),
                       given);
        options::notify(given);
        return runCommand(given);
    } catch (const options::error &error) {
        return usageError(error.what());
    }
}
