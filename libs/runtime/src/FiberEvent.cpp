// Boost.Fiber's condition variable behind a small header.
#include <runtime/FiberEvent.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace basilnotch {

struct FiberEvent::State
{
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    bool flag = false;
};

FiberEvent::FiberEvent()
    : state(std::make_shared<State>())
{ }

void FiberEvent::set() const
{
    const std::lock_guard lock(this->state->mutex);
    this->state->flag = true;
    this->state->changed.notify_all();
}

bool FiberEvent::waitFor(Duration timeout) const
{
    std::unique_lock lock(this->state->mutex);
    return this->state->changed.wait_for(lock, timeout, [this] { return this->state->flag; });
}

bool FiberEvent::isSet() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->flag;
}

void FiberEvent::reset() const
{
    const std::lock_guard lock(this->state->mutex);
    this->state->flag = false;
}

} // namespace basilnotch
