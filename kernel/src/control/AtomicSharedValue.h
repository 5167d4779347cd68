// An immutable value that one thread replaces and other threads read.
#pragma once

#include <atomic>
#include <memory>

namespace basilnotch {

/// Thread-safe. A value returned by get() stays valid while the reader holds the pointer.
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
