// Kinds of upstreams: how each is asked for its load and given orders.
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
constexpr char kServiceVersion[] = "service";

int number(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_number() ? value->to_number<int>() : 0;
}

bool flag(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_bool() && value->as_bool();
}

/// What both kinds have in common: GET /v1/load.
class PolledKind : public UpstreamAdapter
{
public:
    explicit PolledKind(const UpstreamAdapterContext &context)
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
                           "malformed report");
        }
        PolledLoad polled;
        const json::object &object = body.as_object();
        polled.report.measuredAt = this->clock.now() - milliseconds(number(object, "ageMs"));
        polled.report.running = number(object, "running");
        polled.report.queued = number(object, "queued");
        polled.report.queuedPrefillTokens = number(object, "queuedPrefillTokens");
        polled.report.leaving = flag(object, "leaving");
        polled.loading = number(object, "loading");
        this->readRest(upstream, object, &polled);
        return polled;
    }

protected:
    virtual void readRest(const UpstreamSettings &upstream, const json::object &object,
                          PolledLoad *polled) const = 0;

    HttpClient &client;
    const Clock &clock;
};

class ModelEngine final : public PolledKind
{
public:
    using PolledKind::PolledKind;

    bool takesOrders() const override { return true; }

    absl::Status order(const UpstreamSettings &upstream, const UpstreamOrder &order) override
    {
        json::array wanted;
        for (const ModelVersion &version : order.wanted) {
            wanted.emplace_back(formatModelVersion(version));
        }
        CallOptions options;
        options.timeout = kOrderTimeout;
        options.freshConnection = true; // An order must not wait behind anything of an earlier one.
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
                           "a higher fencing number was seen");
        }
        return response->status == status::kOk
            ? absl::OkStatus()
            : failure(absl::StatusCode::kInternal, "order", upstream.name,
                      absl::StrCat("status ", response->status));
    }

protected:
    void readRest(const UpstreamSettings &, const json::object &object,
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
                polled->cacheEvents.push_back({hash, number(item.as_object(), "tokens")});
            }
        }
    }
};

class PlainService final : public PolledKind
{
public:
    using PolledKind::PolledKind;

    bool takesOrders() const override { return false; }

    absl::Status order(const UpstreamSettings &upstream, const UpstreamOrder &) override
    {
        return failure(absl::StatusCode::kUnimplemented, "order", upstream.name,
                       "a plain service takes no orders");
    }

protected:
    void readRest(const UpstreamSettings &upstream, const json::object &,
                  PolledLoad *polled) const override
    {
        polled->report.loaded = {{upstream.service, kServiceVersion}};
    }
};

const UpstreamAdapterRegistration kModelEngine("model-engine",
                                               [](const UpstreamAdapterContext &context) {
                                                   return std::make_unique<ModelEngine>(context);
                                               });
const UpstreamAdapterRegistration kPlainService("plain-service",
                                                [](const UpstreamAdapterContext &context) {
                                                    return std::make_unique<PlainService>(context);
                                                });

} // namespace

} // namespace basilnotch
