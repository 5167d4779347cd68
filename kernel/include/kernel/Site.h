// What an adapter to a platform provides: the store's records and the headers of requests, decoded
// into the product's own types. An adapter translates; it takes no decision.
#pragma once

#include <base/Failure.h>
#include <catalog/Catalog.h>
#include <decision/RolloutSchedule.h>
#include <decision/UpstreamPicker.h>
#include <kernel/Registry.h>
#include <replica/RecordStore.h>
#include <runtime/HttpMessage.h>
#include <settings/SiteSettings.h>
#include <upstreams/UpstreamList.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace basilnotch {

class HttpClient;

/// An operator's order to move a service to another version of its software.
struct RolloutOrder
{
    std::string service;
    std::string toVersion;
    Duration deadline{};
};

/// What a record of the operators or of an upstream says.
struct CatalogUpdate
{
    std::shared_ptr<const Catalog> catalog;
};
struct UpstreamUpdate
{
    UpstreamRecord upstream;
};
struct UpstreamRemoval
{
    std::string id;
};
struct RolloutUpdate
{
    RolloutOrder order;
};
/// A record that says nothing to us.
struct IgnoredRecord
{
};
using SiteUpdate =
    std::variant<IgnoredRecord, CatalogUpdate, UpstreamUpdate, UpstreamRemoval, RolloutUpdate>;

/// Reads and writes the records that the platform gives a meaning to. Thread safe.
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;
    /// Tables of operators and upstreams.
    virtual std::vector<std::string> watchedTables() const = 0;
    /// An error for a record that cannot be read; it counts for nothing.
    virtual absl::StatusOr<SiteUpdate> decode(const Record &record) const = 0;
    /// The record that tells operators how far a roll-out has come.
    virtual RecordChange rolloutReport(const RolloutState &state) const = 0;
};

/// One part of a prompt; requests that begin with the same parts share them.
struct PromptPart
{
    std::string id;
    int tokens = 0;
};

/// A caller's request as far as headers describe it.
struct CallerHeaders
{
    std::string requestId;            ///< Of this attempt of the caller.
    std::optional<Duration> timeLeft; ///< How long the caller will wait.
    std::string key;                  ///< Bearer key; empty when there is none.
    std::string model;
    bool anyModel = false; ///< The system chooses the model.
    int promptTokens = 0;
    int maxOutputTokens = 0;
    int estimatedOutputTokens = 0;  ///< The caller's estimate; 0 when it gives none.
    std::vector<PromptPart> prompt; ///< In order.
    std::optional<std::int64_t> lastEventId;
    std::string session;
};

/// What the system adds to a request on its way to an upstream.
struct ForwardOptions
{
    std::string upstreamId; ///< Any other upstream refuses the request.
    Duration timeLeft{};
    std::string workspace;                   ///< Empty on public routes.
    std::string model;                       ///< Set where the system chooses the model.
    std::optional<std::int64_t> lastEventId; ///< A stream goes on after this event.
    std::optional<int> priority;             ///< 0 is the most urgent.
    std::optional<Endpoint> fetchFrom;       ///< An engine that has the shared prompt cached.
};

/// What the headers of an upstream's answer say.
struct UpstreamHeaders
{
    bool notExecuted = false; ///< The upstream has not run the request and never will.
    std::optional<LoadSample> load;
    std::optional<int> confidence; ///< 0 to 100: the model's own opinion of its answer.
};

/// A question for addresses of instances.
struct DirectoryQuery
{
    std::string host;
    std::string region;
    std::string failureDomain;
};

/// Headers and calls as callers, upstreams and the platform speak them. Thread safe.
class RequestCodec
{
public:
    virtual ~RequestCodec() = default;
    virtual CallerHeaders parseCallerHeaders(const HttpRequest &request) const = 0;
    /// The request to forward: the caller's without what concerns only its connection or what only
    /// the system may set, and with what `hop` says.
    virtual HttpRequest toUpstreamRequest(const HttpRequest &request,
                                          const ForwardOptions &forward) const = 0;
    virtual UpstreamHeaders parseUpstreamHeaders(int status, const HttpHeaders &headers) const = 0;
    /// Headers of an upstream's answer without those that concern only its connection.
    virtual HttpHeaders toCallerHeaders(const HttpHeaders &headers) const = 0;
    /// Header by which an upstream names the request that it answers.
    virtual std::string correlationHeader() const = 0;
    /// An answer of the system's own, with when to come back if that is known.
    virtual HttpResponse refusal(int status, std::string_view reason,
                                 std::optional<Duration> retryAfter) const = 0;
    virtual bool isReadinessCheck(const HttpRequest &request) const = 0;
    virtual std::optional<DirectoryQuery> parseDirectoryQuery(const HttpRequest &request) const = 0;
    virtual HttpResponse directoryResponse(const std::vector<Endpoint> &addresses,
                                           Duration timeToLive) const = 0;
};

/// Everything that one platform needs.
class SiteAdapter
{
public:
    virtual ~SiteAdapter() = default;
    /// A client of the store for one thread; `client` must outlive it.
    virtual std::unique_ptr<RecordStore> makeStore(HttpClient &client) const = 0;
    virtual const RecordCodec &recordCodec() const = 0;
    virtual const RequestCodec &requestCodec() const = 0;
};

struct SiteAdapterContext
{
    Endpoint store;
};
using SiteAdapterRegistry = Registry<SiteAdapter, SiteAdapterContext>;
using SiteAdapterRegistration = Registration<SiteAdapter, SiteAdapterContext>;

} // namespace basilnotch
