// One run at a model engine: the OpenAI wire format, always streamed, so that a cancel takes effect
// at the engine's next step and delivered tokens can be counted.
#pragma once

#include "SseReader.h"

#include <base/Failure.h>
#include <rules/Rules.h>
#include <runtime/HttpClient.h>
#include <settings/Settings.h>
#include <telemetry/Spans.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basilnotch {

struct ChatRequest;

/// A part of an answer.
struct ModelToken
{
    std::string text;
    std::string event; ///< The event as the engine sent it.
    bool last = false;
};

struct ModelCallOptions
{
    std::string requestId;
    ModelVersion version;
    int priority = 0;   ///< Higher goes first at the engine.
    int resumeFrom = 0; ///< Tokens that the caller has already.
    Duration firstByteTimeout = seconds(60);
    Duration gapTimeout = seconds(20);
    std::function<bool()> isStillWanted; ///< See CallOptions::isStillWanted.
};

/// Used by one fiber; cancel may be called by another one of the same thread.
class ModelCall
{
public:
    ModelCall(HttpClient &client, const UpstreamSettings &upstream, const ChatRequest &request,
              ModelCallOptions options, const TraceContext &trace);

    /// Sends the request. kNotFound: the engine does not hold the version and has run nothing.
    absl::Status open();
    /// The next part; kDataLoss when the answer belongs to another request; nothing after the end,
    /// which is one only behind a finish mark.
    absl::StatusOr<std::optional<ModelToken>> next();
    /// True when next() would return at once.
    bool hasBuffered() const { return this->events.hasNext(); }
    /// Closes the connection, by which the engine learns that nobody waits any more.
    void cancel();
    bool cancelled() const { return this->canceller.cancelled(); }

private:
    HttpClient &client;
    const UpstreamSettings &upstream;
    HttpRequest wire;
    const ModelCallOptions options;
    CallCanceller canceller;
    std::unique_ptr<HttpStream> stream;
    SseReader events;
    bool finished = false; ///< The engine has said why its answer ends.
    bool ended = false;    ///< The end mark has come. Invariant: implies `finished`.
};

} // namespace basilnotch
