// The operator's side of the administration API.
#pragma once

#include <base/Failure.h>
#include <settings/Settings.h>

#include <string>
#include <utility>
#include <vector>

namespace basilnotch {

/// Exit codes of the command line; scripts rely on them.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailed = 1,      ///< The system or the network said no.
    ExitUsage = 2,       ///< The command line or a file is wrong.
    ExitConflict = 3,    ///< Another operator was faster.
    ExitNotAccepted = 4, ///< Stored, but not yet in force everywhere.
};

struct OperatorTarget
{
    std::vector<Endpoint> instances; ///< Tried in turn.
    std::string key;
};

/// A request whose way through a site is to be explained; empty members are not told.
struct RouteQuestion
{
    std::string host;
    std::string path;
    std::string workspace;
    std::string callerKey; ///< Instead of the workspace.
    std::string session;
    std::string request;
    std::string model;
    std::vector<std::pair<std::string, int>> prompt; ///< Id and tokens of each part.
};

/// Each prints its result and returns an exit code.
int fetchRules(const OperatorTarget &target, const std::string &outFile);
int diffRules(const OperatorTarget &target, const std::string &file);
int applyRules(const OperatorTarget &target, const std::string &file, std::uint64_t base);
int showRulesStatus(const OperatorTarget &target, bool json);
int explainChoice(const OperatorTarget &target, const std::string &query, bool json);
int explainRoute(const OperatorTarget &target, const RouteQuestion &question, bool json);
int showStatus(const OperatorTarget &target, bool json);

/// Reads a whole file, "-" for standard input; false with a message on standard error.
bool readFile(const std::string &path, std::string *text);

} // namespace basilnotch
