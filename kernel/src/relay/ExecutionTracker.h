// Tracks whether any upstream may have executed a request. Only this class can confirm to a caller
// that its request was not executed.
#pragma once

#include <optional>

namespace basilnotch {

/// Proof that no upstream has executed a request and that none will. Only ExecutionTracker can
/// create one, so a refusal cannot claim "not executed" without evidence.
class NotExecutedProof
{
private:
    NotExecutedProof() = default;
    friend class ExecutionTracker;
};

/// Tracks one request.
class ExecutionTracker
{
public:
    /// Call before any byte of the request is sent to an upstream.
    void onSend() { ++this->maybeExecuted; }
    /// Call when no byte was sent after all, or when the upstream reports that it has not executed
    /// the request and never will.
    void onNotExecuted() { --this->maybeExecuted; }

    /// Returns nothing if some upstream may have executed the request.
    std::optional<NotExecutedProof> proof() const
    {
        return this->maybeExecuted == 0 ? std::optional(NotExecutedProof()) : std::nullopt;
    }

private:
    int maybeExecuted = 0; ///< Sends that may have been executed. Invariant: never negative.
};

} // namespace basilnotch
