// What the traffic thread tells the control thread of each answer while a roll-out is under way.
#pragma once

#include <string>

namespace basilnotch {

enum class AnswerOutcome {
    Good,
    Bad,            ///< Failed, silent, or far slower than usual.
    ConnectionLost, ///< The upstream broke off; all that ran on it may have ended the same way.
};

/// How one answer of an upstream turned out.
struct AnswerReport
{
    std::string service;
    std::string softwareVersion;
    std::string route;
    std::string upstream; ///< Incarnation of the upstream.
    AnswerOutcome outcome = AnswerOutcome::Good;
};

} // namespace basilnotch
