// Each first attempt adds `ratio` tokens; each retry takes one.
#include <decision/RetryBudget.h>

#include <algorithm>

namespace basilnotch {

void RetryBudget::onFirstAttempt()
{
    this->tokens = std::min(kMaxTokens, this->tokens + this->ratio);
}

bool RetryBudget::tryAcquire()
{
    if (this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

} // namespace basilnotch
