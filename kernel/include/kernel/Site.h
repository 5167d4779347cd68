// Interface of a platform adapter. It translates the records of the platform's store and the
// headers of requests to and from the types of this project, and makes no routing decisions.
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
    Duration deadline{}; ///< From the start of the roll-out.
    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

/// A new configuration by the operators.
struct CatalogUpdate
{
    std::shared_ptr<const Catalog> catalog;
    std::vector<std::string> clampedFields; ///< Fields with figures out of range, for the log.
};
/// A registration of an upstream, new or changed.
struct UpstreamUpdate
{
    UpstreamRecord upstream;
    std::vector<std::string> clampedFields; ///< Fields with figures out of range, for the log.
};
/// The registration of an upstream has been deleted.
struct UpstreamRemoval
{
    std::string id;
};
/// An operator has ordered a roll-out.
struct RolloutUpdate
{
    RolloutOrder order;
};
/// Operators have taken a failure domain out of service, or have taken that back.
struct DomainUpdate
{
    std::string failureDomain;
    bool isOutOfService = false;
};
/// A record that has no effect on this process.
struct IgnoredRecord
{
};
/// The decoded content of one record of the store.
using SiteUpdate = std::variant<IgnoredRecord, CatalogUpdate, UpstreamUpdate, UpstreamRemoval,
                                RolloutUpdate, DomainUpdate>;

/// Decodes and encodes the records whose format the platform defines. Thread safe.
class RecordCodec
{
public:
    virtual ~RecordCodec() = default;
    /// Names of the tables that operators and upstreams write.
    virtual std::vector<std::string> watchedTables() const = 0;
    /// Returns an error for a malformed record, which must not be used.
    virtual absl::StatusOr<SiteUpdate> decode(const Record &record) const = 0;
    /// The record that shows the progress of a roll-out to operators.
    virtual RecordChange rolloutReport(const RolloutState &state) const = 0;
};

/// One part of a prompt. Requests whose prompts begin with the same parts share that prefix.
struct PromptPart
{
    std::string id;
    int tokens = 0;
};

/// The routing information in the headers of a caller's request.
struct CallerHeaders
{
    std::string requestId;            ///< Identifies one attempt of the caller.
    std::optional<Duration> timeLeft; ///< How long the caller still waits for the answer.
    std::string key;                  ///< Bearer token; empty when there is none.
    std::string model;
    bool anyModel = false; ///< The caller leaves the choice of the model to the router.
    int promptTokens = 0;
    int maxOutputTokens = 0;
    int estimatedOutputTokens = 0;           ///< The caller's estimate; 0 when it gives none.
    std::vector<PromptPart> prompt;          ///< Parts from the beginning of the prompt.
    std::optional<std::int64_t> lastEventId; ///< Set when the caller resumes a stream.
    std::string session;
};

/// The headers that the router sets on a request that it forwards to an upstream.
struct ForwardOptions
{
    std::string upstreamId; ///< Expected receiver; any other upstream refuses the request.
    Duration timeLeft{};
    std::string workspace;                   ///< Empty on public routes.
    std::string model;                       ///< Set when the router chooses the model.
    std::optional<std::int64_t> lastEventId; ///< Resumes a stream after this event.
    std::optional<int> priority;             ///< 0 is the most urgent.
    std::optional<Endpoint> fetchFrom; ///< An engine that has the shared prompt prefix cached.
};

/// The routing information in the headers of an upstream's answer.
struct UpstreamHeaders
{
    bool notExecuted = false; ///< The upstream has not run the request and will not run it.
    std::optional<LoadSample> load;
    std::optional<int> confidence; ///< 0 to 100: the model's own rating of its answer.
    bool isSigned = false; ///< The answer bears the signature that upstreams give to theirs.
    bool leaving = false;  ///< The upstream is about to exit and must get no further requests.
    std::optional<Duration> pause; ///< The upstream wants no further requests for so long.
};

/// A request for the addresses of instances.
struct DirectoryQuery
{
    std::string host;
    std::string region;
    std::string failureDomain;
};

/// Parses and builds the HTTP messages of callers, upstreams and the platform. Thread safe.
class RequestCodec
{
public:
    virtual ~RequestCodec() = default;
    virtual CallerHeaders parseCallerHeaders(const HttpRequest &request) const = 0;
    /// The request to forward: the caller's request without hop-by-hop headers and without headers
    /// that only the router may set, plus the headers for `forward`.
    virtual HttpRequest toUpstreamRequest(const HttpRequest &request,
                                          const ForwardOptions &forward) const = 0;
    virtual UpstreamHeaders parseUpstreamHeaders(int status, const HttpHeaders &headers) const = 0;
    /// The headers of an upstream's answer without hop-by-hop headers.
    virtual HttpHeaders toCallerHeaders(const HttpHeaders &headers) const = 0;
    /// Name of the header in which an upstream repeats the id of the request that it answers.
    virtual std::string correlationHeader() const = 0;
    /// An error response of the router; `retryAfter` is set when the time of a retry is known.
    virtual HttpResponse refusal(int status, std::string_view reason,
                                 std::optional<Duration> retryAfter) const = 0;
    virtual bool isReadinessCheck(const HttpRequest &request) const = 0;
    /// Empty when `request` is not a directory query.
    virtual std::optional<DirectoryQuery> parseDirectoryQuery(const HttpRequest &request) const = 0;
    virtual HttpResponse directoryResponse(const std::vector<Endpoint> &addresses,
                                           Duration timeToLive) const = 0;
};

/// The entry point of a platform adapter; creates or owns the objects above.
class SiteAdapter
{
public:
    virtual ~SiteAdapter() = default;
    /// Creates a client of the store for use by one thread; `client` must outlive it.
    virtual std::unique_ptr<RecordStore> makeStore(HttpClient &client) const = 0;
    virtual const RecordCodec &recordCodec() const = 0;
    virtual const RequestCodec &requestCodec() const = 0;
};

/// Input of the factory of a platform adapter.
struct SiteAdapterContext
{
    Endpoint store;
};
using SiteAdapterRegistry = Registry<SiteAdapter, SiteAdapterContext>;
using SiteAdapterRegistration = Registration<SiteAdapter, SiteAdapterContext>;

} // namespace basilnotch
