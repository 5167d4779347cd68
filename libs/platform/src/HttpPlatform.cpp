// Encodes table, rating and instance-list calls as JSON over HTTP.
#include <platform/HttpPlatform.h>
#include <runtime/HttpStatus.h>

#include <runtime/HttpClient.h>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <optional>

namespace basilnotch {

namespace json = boost::json;

namespace {

/// One JSON exchange with the platform, errors with step and peer.
class JsonCaller
{
public:
    JsonCaller(HttpClient &client, const PlatformSettings &settings)
        : client(client)
        , settings(settings)
    { }

    absl::StatusOr<json::object> post(std::string_view target, const json::object &body)
    {
        HttpRequest request{"POST",
                            std::string(target),
                            {{"Content-Type", "application/json"}},
                            json::serialize(body)};
        CallOptions options;
        options.timeout = this->settings.timeout;
        auto response = this->client.call(this->settings.endpoint, request, options);
        if (!response.ok()) {
            return response.status();
        }
        json::error_code error;
        json::value parsed = json::parse(response->body, error);
        if (response->status != status::kOk || error || !parsed.is_object()) {
            return failure(absl::StatusCode::kUnavailable, target, this->settings.endpoint.text(),
                           absl::StrCat("status ", response->status));
        }
        return std::move(parsed.as_object());
    }

    absl::Status malformed(std::string_view target) const
    {
        return failure(absl::StatusCode::kInternal, target, this->settings.endpoint.text(),
                       "malformed answer");
    }

private:
    HttpClient &client;
    const PlatformSettings settings;
};

std::string text(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

/// Nothing when it is no row: whoever reads a list must not take it for one that isn't there.
std::optional<TableRow> readRow(const json::value &item)
{
    const json::object *object = item.if_object();
    const json::value *version = object ? object->if_contains("version") : nullptr;
    if (!version || !version->is_int64() || version->as_int64() < 0) {
        return std::nullopt;
    }
    TableRow row{text(*object, "key"), text(*object, "value"),
                 static_cast<std::uint64_t>(version->as_int64())};
    return row.key.empty() ? std::nullopt : std::optional<TableRow>(std::move(row));
}

class HttpTable final : public TableService
{
public:
    explicit HttpTable(JsonCaller &caller)
        : caller(caller)
    { }

    absl::StatusOr<std::vector<TableWriteResult>>
    write(const std::vector<TableWrite> &writes) override
    {
        json::array list;
        for (const TableWrite &write : writes) {
            list.push_back(
                {{"key", write.key}, {"value", write.value}, {"expected", write.expectedVersion}});
        }
        auto answer = this->caller.post("/table/write", {{"writes", list}});
        if (!answer.ok()) {
            return answer.status();
        }
        const json::value *results = answer->if_contains("results");
        if (!results || !results->is_array() || results->as_array().size() != writes.size()) {
            return this->caller.malformed("/table/write");
        }
        std::vector<TableWriteResult> out;
        for (const json::value &item : results->as_array()) {
            std::optional<TableRow> row = readRow(item);
            if (!row) {
                return this->caller.malformed("/table/write");
            }
            const json::value *applied = item.as_object().if_contains("applied");
            out.push_back({applied && applied->is_bool() && applied->as_bool(), *std::move(row)});
        }
        return out;
    }

    absl::StatusOr<TableRow> read(std::string_view key) override
    {
        auto answer = this->caller.post("/table/read", {{"key", key}});
        if (!answer.ok()) {
            return answer.status();
        }
        if (answer->empty()) {
            return failure(absl::StatusCode::kNotFound, "/table/read", "", std::string(key));
        }
        std::optional<TableRow> row = readRow(*std::move(answer));
        if (!row || row->version == 0) {
            return this->caller.malformed("/table/read");
        }
        return *std::move(row);
    }

    absl::StatusOr<std::vector<TableRow>> list(std::string_view prefix, std::string_view after,
                                               int limit) override
    {
        auto answer = this->caller.post("/table/list",
                                        {{"prefix", prefix}, {"after", after}, {"limit", limit}});
        if (!answer.ok()) {
            return answer.status();
        }
        const json::value *rows = answer->if_contains("rows");
        if (!rows || !rows->is_array()) {
            return this->caller.malformed("/table/list");
        }
        std::vector<TableRow> out;
        for (const json::value &item : rows->as_array()) {
            std::optional<TableRow> row = readRow(item);
            if (!row) {
                return this->caller.malformed("/table/list");
            }
            out.push_back(*std::move(row));
        }
        return out;
    }

private:
    JsonCaller &caller;
};

class HttpRatings final : public RatingService
{
public:
    explicit HttpRatings(JsonCaller &caller)
        : caller(caller)
    { }

    absl::StatusOr<bool> rate(const RatingRequest &request) override
    {
        auto answer = this->caller.post("/ratings",
                                        {{"requestId", request.requestId},
                                         {"workspace", request.workspace},
                                         {"task", request.task},
                                         {"prompt", request.prompt},
                                         {"answer", request.answer}});
        if (!answer.ok()) {
            return answer.status();
        }
        const json::value *good = answer->if_contains("good");
        if (!good || !good->is_bool()) {
            return this->caller.malformed("/ratings");
        }
        return good->as_bool();
    }

private:
    JsonCaller &caller;
};

class HttpInstanceList final : public InstanceList
{
public:
    explicit HttpInstanceList(JsonCaller &caller)
        : caller(caller)
    { }

    absl::StatusOr<std::vector<ListedInstance>> instances() override
    {
        auto answer = this->caller.post("/instances", {});
        if (!answer.ok()) {
            return answer.status();
        }
        const json::value *list = answer->if_contains("instances");
        if (!list || !list->is_array()) {
            return this->caller.malformed("/instances");
        }
        std::vector<ListedInstance> out;
        for (const json::value &item : list->as_array()) {
            if (!item.is_object()) {
                return this->caller.malformed("/instances");
            }
            const json::object &object = item.as_object();
            const ListedState state =
                text(object, "state") == "leaving" ? ListedState::Leaving : ListedState::Live;
            out.push_back({text(object, "name"), text(object, "address"),
                           text(object, "failureDomain"), state});
        }
        return out;
    }

private:
    JsonCaller &caller;
};

class HttpPlatform final : public Platform
{
public:
    HttpPlatform(HttpClient &client, const PlatformSettings &settings)
        : caller(client, settings)
    { }
    TableService &table() override { return this->tableService; }
    RatingService &ratings() override { return this->ratingService; }
    InstanceList &instanceList() override { return this->list; }

private:
    JsonCaller caller;
    HttpTable tableService{this->caller};
    HttpRatings ratingService{this->caller};
    HttpInstanceList list{this->caller};
};

} // namespace

std::unique_ptr<Platform> makeHttpPlatform(HttpClient &client, const PlatformSettings &settings)
{
    return std::make_unique<HttpPlatform>(client, settings);
}

} // namespace basilnotch
