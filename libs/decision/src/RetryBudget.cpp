// A bucket that first tries fill.
#include <decision/RetryBudget.h>

#include <algorithm>

namespace basilnotch {

void RetryBudget::onFirstAttempt()
{
    this->saved = std::min(kMaxSaved, this->saved + this->share);
}

bool RetryBudget::tryAcquire()
{
    if (this->saved < 1) {
        return false;
    }
    this->saved -= 1;
    return true;
}

} // namespace basilnotch
