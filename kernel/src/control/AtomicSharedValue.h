// A value that one thread replaces as a whole and others read.
#pragma once

#include <atomic>
#include <memory>

namespace basilnotch {

/// Any thread. Readers keep what they got for as long as they hold it.
template <typename Value>
class AtomicSharedValue
{
public:
    std::shared_ptr<const Value> get() const
    {
        return this->current.load(std::memory_order_acquire);
    }
    void set(std::shared_ptr<const Value> next)
    {
        this->current.store(std::move(next), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const Value>> current{std::make_shared<const Value>()};
};

} // namespace basilnotch
