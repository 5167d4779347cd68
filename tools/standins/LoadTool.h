// The load tool: callers that stream, cancel, confirm and read, and a check of what they got.
#pragma once

#include <runtime/FiberRuntime.h>
#include <settings/Settings.h>

#include <string>
#include <vector>

namespace basilnotch {

struct LoadOptions
{
    std::vector<Endpoint> seeds; ///< Entry instances to ask for addresses.
    Endpoint platform;           ///< To count receipts at the end.
    std::string key;
    std::string task = "answer";
    int callers = 8;
    int requestsPerCaller = 10;
    double cancelShare = 0.5;
    bool services = true; ///< Also reads stock and confirms orders, each confirmation twice.
    std::uint64_t seed = 1;
};

/// What the callers saw. Invariant at the end of a good run: lost == 0 and duplicates == 0.
struct LoadResult
{
    int requests = 0;
    int whole = 0; ///< Right in every token.
    int cancelled = 0;
    int refused = 0;    ///< Typed refusals, truly not run.
    int lost = 0;       ///< Neither whole nor refused nor cancelled, or wrong in content.
    int duplicates = 0; ///< Requests with more than one run or receipt.
    int receipts = 0;
    int repeated = 0; ///< Tries at another entry.

    bool good() const { return this->lost == 0 && this->duplicates == 0 && this->receipts > 0; }
    std::string line() const;
};

/// Runs the load on `runtime` and blocks the calling fiber.
LoadResult runLoad(FiberRuntime &runtime, const LoadOptions &options);

} // namespace basilnotch
