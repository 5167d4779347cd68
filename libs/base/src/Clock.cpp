// Reads the machine's clocks; no other file of the product does.
#include <base/Clock.h>

namespace basilnotch {

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace basilnotch
