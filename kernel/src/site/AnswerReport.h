// The traffic thread's report to the control thread about one answer during a roll-out.
#pragma once

#include <string>

namespace basilnotch {

enum class AnswerOutcome {
    Good,
    Bad,            ///< An error, a timeout, or far slower than usual.
    ConnectionLost, ///< Closed by the upstream; other requests on it may have failed with it.
};

/// The outcome of one answer of an upstream.
struct AnswerReport
{
    std::string service;
    std::string softwareVersion;
    std::string route;
    std::string upstream; ///< Incarnation of the upstream.
    AnswerOutcome outcome = AnswerOutcome::Good;
    bool isSlower = false; ///< Than nine in ten of the version in force.
};

} // namespace basilnotch
