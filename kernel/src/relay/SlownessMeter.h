// Tells whether an answer was far slower than usual for its route, by the same measure for the old
// and the new version of a service.
#pragma once

#include <base/Clock.h>

#include <map>
#include <string>

namespace basilnotch {

/// One thread.
class SlownessMeter
{
public:
    /// Judges `took` against what is usual for `route`; answers of the version in force (`isUsual`)
    /// shape what is usual.
    bool isFarSlower(const std::string &route, Duration took, bool isUsual)
    {
        Usual &usual = this->byRoute[route];
        const bool slower = usual.answers >= kEnoughAnswers && took > kFactor * usual.mean;
        if (isUsual) {
            ++usual.answers;
            const double weight = std::max(kWeight, 1.0 / usual.answers);
            usual.mean += std::chrono::duration_cast<Duration>(weight * (took - usual.mean));
        }
        return slower;
    }

private:
    static constexpr int kFactor = 3;        ///< Times the mean, beyond which an answer is slow.
    static constexpr int kEnoughAnswers = 5; ///< Before anything counts as slow.
    static constexpr double kWeight = 0.05;  ///< Of the newest answer in the mean.

    struct Usual
    {
        Duration mean{};
        int answers = 0;
    };
    std::map<std::string, Usual> byRoute;
};

} // namespace basilnotch
