// Boost.JSON does the parsing; this part adds paths, ranges and the check for unknown keys.
#include <settings/ObjectReader.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace basilnotch {

namespace json = boost::json;

namespace {

std::string place(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, offset);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t lineStart = before.rfind('\n') + 1;
    return absl::StrCat("line ", line, ", column ", before.size() - lineStart + 1);
}

} // namespace

JsonDocument::JsonDocument(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::stream_parser parser({}, options);
    json::error_code error;
    const std::size_t used = parser.write_some(text.data(), text.size(), error);
    if (!error && used < text.size()) {
        error = json::error::extra_data;
    }
    if (!error) {
        parser.finish(error);
    }
    if (error) {
        this->found.push_back({"$", "not JSON at " + place(text, used) + ": " + error.message()});
        return;
    }
    this->document = std::make_unique<json::value>(parser.release());
}

JsonDocument::~JsonDocument() = default;

ObjectReader JsonDocument::root()
{
    return {this->document.get(), "$", &this->found};
}

ObjectReader::ObjectReader(const json::value *value, std::string path,
                           std::vector<SettingsFault> *faults)
    : value(value)
    , path(std::move(path))
    , faults(faults)
{
    if (this->value && !this->value->is_object()) {
        this->faults->push_back({this->path, "an object is wanted here"});
        this->value = nullptr;
    }
}

const json::value *ObjectReader::find(std::string_view key)
{
    this->known.emplace_back(key);
    if (!this->value) {
        return nullptr;
    }
    return this->value->as_object().if_contains(key);
}

bool ObjectReader::has(std::string_view key) const
{
    return this->value && this->value->as_object().contains(key);
}

void ObjectReader::fault(std::string_view key, std::string text)
{
    this->faults->push_back({this->path + "." + std::string(key), std::move(text)});
}

std::string ObjectReader::string(std::string_view key, std::string_view fallback)
{
    const json::value *found = this->find(key);
    if (!found) {
        return std::string(fallback);
    }
    if (!found->is_string()) {
        this->fault(key, "a string is wanted here");
        return std::string(fallback);
    }
    return std::string(found->as_string());
}

std::string ObjectReader::requiredString(std::string_view key)
{
    if (!this->has(key)) {
        this->find(key);
        this->fault(key, "is missing; a string is wanted");
        return {};
    }
    const std::string text = this->string(key, "");
    if (text.empty()) {
        this->fault(key, "must not be empty");
    }
    return text;
}

std::int64_t ObjectReader::integer(std::string_view key, std::int64_t low, std::int64_t high,
                                   std::int64_t fallback)
{
    const json::value *found = this->find(key);
    if (!found) {
        return fallback;
    }
    if (!found->is_int64() || found->as_int64() < low || found->as_int64() > high) {
        this->fault(key,
                    absl::StrCat("found ", json::serialize(*found),
                                 "; allowed: a whole number from ", low, " to ", high));
        return fallback;
    }
    return found->as_int64();
}

double ObjectReader::number(std::string_view key, double low, double high, double fallback)
{
    const json::value *found = this->find(key);
    if (!found) {
        return fallback;
    }
    const double given = found->is_number() ? found->to_number<double>() : NAN;
    if (!(given >= low && given <= high)) {
        this->fault(key,
                    absl::StrCat("found ", json::serialize(*found), "; allowed: a number from ",
                                 low, " to ", high));
        return fallback;
    }
    return given;
}

bool ObjectReader::boolean(std::string_view key, bool fallback)
{
    const json::value *found = this->find(key);
    if (found && !found->is_bool()) {
        this->fault(key, "found " + json::serialize(*found) + "; allowed: true or false");
    }
    return found && found->is_bool() ? found->as_bool() : fallback;
}

Duration ObjectReader::millis(std::string_view key, Duration low, Duration high, Duration fallback)
{
    const auto count = [](Duration value) {
        return std::chrono::duration_cast<milliseconds>(value).count();
    };
    return milliseconds(this->integer(key, count(low), count(high), count(fallback)));
}

Endpoint ObjectReader::endpoint(std::string_view key, bool required)
{
    Endpoint endpoint;
    const std::string text = required ? this->requiredString(key) : this->string(key, "");
    if (!text.empty() && !parseEndpoint(text, &endpoint)) {
        this->fault(key, "found '" + text + "'; allowed: IP-ADDRESS:PORT");
    }
    return endpoint;
}

std::vector<std::string> ObjectReader::strings(std::string_view key)
{
    std::vector<std::string> texts;
    const json::value *list = this->find(key);
    if (!list) {
        return texts;
    }
    if (!list->is_array()) {
        this->fault(key, "a list of strings is wanted here");
        return texts;
    }
    for (const json::value &item : list->as_array()) {
        if (!item.is_string()) {
            this->fault(key, "found " + json::serialize(item) + "; allowed: a string");
            continue;
        }
        texts.emplace_back(item.as_string());
    }
    return texts;
}

ObjectReader ObjectReader::child(std::string_view key)
{
    return {this->find(key), this->path + "." + std::string(key), this->faults};
}

void ObjectReader::each(std::string_view key, const std::function<void(ObjectReader &)> &read)
{
    const json::value *list = this->find(key);
    if (!list) {
        return;
    }
    if (!list->is_array()) {
        this->fault(key, "a list is wanted here");
        return;
    }
    std::size_t index = 0;
    for (const json::value &item : list->as_array()) {
        ObjectReader reader(&item,
                            absl::StrCat(this->path, ".", std::string(key), "[", index++, "]"),
                            this->faults);
        read(reader);
        reader.finish();
    }
}

void ObjectReader::finish()
{
    if (!this->value) {
        return;
    }
    for (const auto &member : this->value->as_object()) {
        const std::string key(member.key());
        if (std::find(this->known.begin(), this->known.end(), key) == this->known.end()) {
            this->fault(key, "unknown key; allowed here: " + absl::StrJoin(this->known, ", "));
        }
    }
}

} // namespace basilnotch
