// The runtime's clock: the only source of time in the product. Decision and state libraries take a
// `const Clock &`, so tests pause and advance time by hand.
#pragma once

#include <chrono>
#include <cstdint>

namespace basilnotch {

/// Monotonic time; used for every timeout, lease and lag.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
/// Calendar time; used only in receipts and traces, never for a decision.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::nanoseconds>;
using Duration = std::chrono::nanoseconds;

/// Source of time. Implementations are safe to call from any thread.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
    virtual WallTime wallNow() const = 0;
};

/// The machine's clocks.
class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

/// A clock that stands still until `advance` is called. Not thread safe.
///
///     ManualClock clock;
///     clock.advance(5s);
class ManualClock final : public Clock
{
public:
    TimePoint now() const override { return this->current; }
    WallTime wallNow() const override { return WallTime(this->current.time_since_epoch()); }
    void advance(Duration step) { this->current += step; }

private:
    TimePoint current{std::chrono::hours(1)};
};

/// Seconds as a floating point number, for scores and reports.
inline double toSeconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Whole milliseconds, for logs and wire formats.
inline std::int64_t wholeMillis(Duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Duration nearest to `seconds`.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace basilnotch
