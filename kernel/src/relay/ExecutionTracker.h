// What may have run of one attempt of a caller: the only source of answers that promise "not run".
#pragma once

#include <optional>

namespace basilnotch {

/// Proof that no upstream has run a request and that none will. Only a ExecutionTracker makes one,
/// so that no refusal can promise more than is known.
class NotExecutedProof
{
private:
    NotExecutedProof() = default;
    friend class ExecutionTracker;
};

/// One request.
class ExecutionTracker
{
public:
    /// Bytes of the request are about to leave for an upstream.
    void onSending() { ++this->open; }
    /// Nothing of it had left after all, or the upstream says that it has not run it and never
    /// will.
    void onNotRun() { --this->open; }

    /// Nothing when some upstream may have run the request.
    std::optional<NotExecutedProof> proof() const
    {
        return this->open == 0 ? std::optional(NotExecutedProof()) : std::nullopt;
    }

private:
    int open = 0; ///< Sends that may have run. Invariant: never below zero.
};

} // namespace basilnotch
