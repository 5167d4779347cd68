// Upstream adapters, which poll the load of an upstream and send it orders: the models that it
// shall keep loaded.
#include <kernel/Plugins.h>
#include <runtime/HttpStatus.h>

#include "control/PeerPayloads.h"

#include <runtime/HttpClient.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace basilnotch {

namespace {

namespace json = boost::json;

constexpr Duration kLoadTimeout = milliseconds(400);
constexpr Duration kOrderTimeout = seconds(1);
/// Placeholder version of upstreams without model versions; ServiceApi.cpp queries by it.
constexpr char kServiceVersion[] = "service";

int intField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    json::error_code error;
    const int number = value && value->is_number() ? value->to_number<int>(error) : 0;
    return error ? 0 : number;
}

bool boolField(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_bool() && value->as_bool();
}

/// Base of both adapters; polls GET /v1/load.
class PolledAdapter : public UpstreamAdapter
{
public:
    explicit PolledAdapter(const UpstreamAdapterContext &context)
        : client(*context.client)
        , clock(*context.clock)
    { }

    absl::StatusOr<PolledLoad> pollLoad(const UpstreamSettings &upstream) override
    {
        CallOptions options;
        options.timeout = kLoadTimeout;
        const auto response =
            this->client.call(upstream.endpoint, {"GET", "/v1/load", {}, ""}, options);
        if (!response.ok()) {
            return response.status();
        }
        json::error_code error;
        const json::value body = json::parse(response->body, error);
        if (response->status != status::kOk || error || !body.is_object()) {
            return failure(absl::StatusCode::kInternal, "poll load", upstream.name,
                           "malformed load report");
        }
        PolledLoad polled;
        const json::object &object = body.as_object();
        polled.report.measuredAt = this->clock.now() - milliseconds(intField(object, "ageMs"));
        polled.report.running = intField(object, "running");
        polled.report.queued = intField(object, "queued");
        polled.report.queuedPrefillTokens = intField(object, "queuedPrefillTokens");
        polled.report.leaving = boolField(object, "leaving");
        polled.loading = intField(object, "loading");
        this->parseAdapterFields(upstream, object, &polled);
        return polled;
    }

protected:
    /// Reads the fields of the load report that differ between adapters.
    virtual void parseAdapterFields(const UpstreamSettings &upstream, const json::object &object,
                                    PolledLoad *polled) const = 0;

    HttpClient &client;
    const Clock &clock;
};

class ModelEngineAdapter final : public PolledAdapter
{
public:
    using PolledAdapter::PolledAdapter;

    bool takesOrders() const override { return true; }

    absl::Status order(const UpstreamSettings &upstream, const UpstreamOrder &order) override
    {
        json::array wanted;
        for (const ModelVersion &version : order.wanted) {
            wanted.emplace_back(formatModelVersion(version));
        }
        CallOptions options;
        options.timeout = kOrderTimeout;
        options.freshConnection = true; // An order must not wait for earlier requests.
        const std::string body =
            json::serialize(json::object{{"fence", order.fence}, {"wanted", wanted}});
        const auto response = this->client.call(
            upstream.endpoint, {"POST", "/v1/orders", {{"Content-Type", "application/json"}}, body},
            options);
        if (!response.ok()) {
            return response.status();
        }
        if (response->status == status::kConflict) {
            return failure(absl::StatusCode::kFailedPrecondition, "order", upstream.name,
                           "the engine has seen a higher fencing number");
        }
        return response->status == status::kOk
            ? absl::OkStatus()
            : failure(absl::StatusCode::kInternal, "order", upstream.name,
                      absl::StrCat("HTTP status ", response->status));
    }

protected:
    void parseAdapterFields(const UpstreamSettings &, const json::object &object,
                            PolledLoad *polled) const override
    {
        if (const json::value *loaded = object.if_contains("loaded");
            loaded && loaded->is_array()) {
            for (const json::value &item : loaded->as_array()) {
                ModelVersion version;
                if (item.is_string()
                    && parseModelVersion(std::string_view(item.as_string()), &version)) {
                    polled->report.loaded.push_back(version);
                }
            }
        }
        const json::value *events = object.if_contains("cacheEvents");
        if (!events || !events->is_array()) {
            return;
        }
        for (const json::value &item : events->as_array()) {
            const json::value *prefix =
                item.is_object() ? item.as_object().if_contains("prefix") : nullptr;
            std::uint64_t hash = 0;
            if (prefix && prefix->is_string()
                && absl::SimpleHexAtoi(std::string(prefix->as_string()), &hash)) {
                polled->cacheEvents.push_back({hash, intField(item.as_object(), "tokens")});
            }
        }
    }
};

class PlainServiceAdapter final : public PolledAdapter
{
public:
    using PolledAdapter::PolledAdapter;

    bool takesOrders() const override { return false; }

    absl::Status order(const UpstreamSettings &upstream, const UpstreamOrder &) override
    {
        return failure(absl::StatusCode::kUnimplemented, "order", upstream.name,
                       "a plain service does not accept orders");
    }

protected:
    void parseAdapterFields(const UpstreamSettings &upstream, const json::object &,
                            PolledLoad *polled) const override
    {
        polled->report.loaded = {{upstream.service, kServiceVersion}};
    }
};

const UpstreamAdapterRegistration
    kModelEngine("model-engine", [](const UpstreamAdapterContext &context) {
        return std::make_unique<ModelEngineAdapter>(context);
    });
const UpstreamAdapterRegistration
    kPlainService("plain-service", [](const UpstreamAdapterContext &context) {
        return std::make_unique<PlainServiceAdapter>(context);
    });

} // namespace

} // namespace basilnotch
