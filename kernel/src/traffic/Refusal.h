// Typed JSON errors towards callers.
#pragma once

#include <base/Clock.h>
#include <base/Failure.h>
#include <runtime/HttpServer.h>

#include <string>
#include <string_view>

namespace basilnotch {

/// One refusal or failure. `run` is a promise: NotRun is said only when it is certain.
struct Refusal
{
    int status = 500;
    std::string type;    ///< Stable name for programs, for instance "unknown_model".
    std::string message; ///< For people.
    RunState run = RunState::NotRun;
    Duration retryAfter{}; ///< Zero: no Retry-After.
    FailureSite site;

    std::string json() const;
    HttpResponse response() const;
};

/// The refusal for a failed step.
Refusal refusalFor(const absl::Status &status, RunState run);

} // namespace basilnotch
