// What an upstream says about its load.
#pragma once

#include <optional>

namespace basilnotch {

/// Load that an upstream reports with a response.
struct LoadSample
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Its speed at the moment, 1 being the usual; empty if it doesn't tell. Not checked: may be
    /// zero, negative, infinite or not a number.
    std::optional<double> pace;
};

} // namespace basilnotch
