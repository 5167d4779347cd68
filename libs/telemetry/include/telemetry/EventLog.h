// Structured log: one JSON object a line, bounded in volume, never waiting for its reader.
#pragma once

#include <base/Clock.h>

#include <array>
#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace basilnotch {

/// Where lines go.
class LogOutput
{
public:
    virtual ~LogOutput() = default;
    /// Takes a whole line or, when it cannot without waiting, nothing; false then.
    virtual bool write(std::string_view line) = 0;
};

/// Standard output in non-blocking mode.
class StandardOutput final : public LogOutput
{
public:
    StandardOutput();
    bool write(std::string_view line) override;
};

/// What a line is about; each kind has a bound of its own, so that one cannot push out the others.
enum class LogKind : std::uint8_t {
    State,   ///< Start, stop, reload, a dependency lost or regained, a belief that changed.
    Failure, ///< A request that was refused or failed, an attempt that was repeated.
    Routine, ///< A request that went well.
};
constexpr int kLogKinds = 3;

struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

struct EventLogOptions
{
    /// Lines a second by kind: a bound of 100 and more lines a second at 400 bytes would cost more
    /// than the requests they tell of.
    std::array<int, kLogKinds> linesPerSecond{100, 60, 5};
};

/// Thread safe. A line that is over its bound, or that the reader is too slow for, is dropped and
/// counted; the count is told with the next line.
///
///     log.write(LogKind::Failure, "request refused", {{"request", id}, {"reason", "queue full"}});
class EventLog
{
public:
    EventLog(LogOutput &output, const Clock &clock, std::string instance,
             EventLogOptions options = {});
    void write(LogKind kind, std::string_view event, std::initializer_list<LogField> fields);
    std::int64_t dropped() const;

private:
    bool admit(LogKind kind, TimePoint now);

    LogOutput &output;
    const Clock &clock;
    const std::string instance;
    const EventLogOptions options;
    mutable std::mutex mutex;
    std::int64_t second = -1;           ///< That `lines` counts, by the steady clock.
    std::array<int, kLogKinds> lines{}; ///< Invariant: at most options.linesPerSecond.
    std::int64_t droppedTotal = 0;
    std::int64_t droppedUntold = 0;
};

} // namespace basilnotch
