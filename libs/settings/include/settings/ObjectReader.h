// Checked access to one JSON object: each read names its key, range and default; at the end, keys
// that nobody read are faults. Settings and scenario files are read through it.
#pragma once

#include <settings/Settings.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace boost::json {
class value;
}

namespace basilnotch {

/// A JSON document with comments and trailing commas allowed.
///
///     JsonDocument document(text);
///     ObjectReader root = document.root();
///     const int size = root.integer("size", 1, 100, 10);
///     root.finish();
///     if (!document.faults().empty()) { ... }
class JsonDocument;

/// Reads one object of a JsonDocument, which must outlive it.
class ObjectReader
{
public:
    ObjectReader(const boost::json::value *value, std::string path,
                 std::vector<SettingsFault> *faults);

    /// Value of `key`; `fallback` when it is absent. A required key has no fallback.
    std::string string(std::string_view key, std::string_view fallback);
    std::string requiredString(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high,
                         std::int64_t fallback);
    double number(std::string_view key, double low, double high, double fallback);
    bool boolean(std::string_view key, bool fallback);
    /// A duration given in milliseconds; `key` ends in "Ms".
    Duration millis(std::string_view key, Duration low, Duration high, Duration fallback);
    Endpoint endpoint(std::string_view key, bool required);

    /// The list of strings at `key`; empty when it is absent.
    std::vector<std::string> strings(std::string_view key);
    /// Reader of the object at `key`; an empty one when it is absent.
    ObjectReader child(std::string_view key);
    /// Calls `read` for each object of the list at `key`.
    void each(std::string_view key, const std::function<void(ObjectReader &)> &read);
    bool has(std::string_view key) const;
    /// Reports each key that was not read. Call it last.
    void finish();
    void fault(std::string_view key, std::string text);

private:
    const boost::json::value *find(std::string_view key);

    const boost::json::value *value; ///< Null stands for an empty object.
    std::string path;
    std::vector<SettingsFault> *faults;
    std::vector<std::string> known;
};

class JsonDocument
{
public:
    explicit JsonDocument(std::string_view text);
    ~JsonDocument();
    JsonDocument(const JsonDocument &) = delete;
    JsonDocument &operator=(const JsonDocument &) = delete;

    ObjectReader root();
    std::vector<SettingsFault> &faults() { return this->found; }

private:
    std::unique_ptr<boost::json::value> document;
    std::vector<SettingsFault> found;
};

} // namespace basilnotch
