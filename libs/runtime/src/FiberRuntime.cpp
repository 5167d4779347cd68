// The scheduler: ready fibers first, and when there are none the thread sleeps in the io_context.
#include <runtime/FiberRuntime.h>

#include "AwaitIo.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/all.hpp>

namespace basilnotch {

namespace {

namespace asio = boost::asio;
namespace fibers = boost::fibers;

constexpr std::size_t kStackBytes = 128 * 1024; // Only the pages in use are resident.

/// Round robin over ready fibers. Handlers of the io_context run only in suspendUntil, never while
/// a fiber is on its way to sleep: a handler that woke it there would be lost.
class AsioScheduler final : public fibers::algo::algorithm
{
public:
    explicit AsioScheduler(std::shared_ptr<asio::io_context> context)
        : owner(std::move(context))
        , context(*this->owner)
    { }

    void awakened(fibers::context *fiber) noexcept override { fiber->ready_link(this->ready); }

    fibers::context *pick_next() noexcept override // NOLINT(readability-identifier-naming)
    {
        if (this->ready.empty()) {
            return nullptr;
        }
        fibers::context *next = &this->ready.front();
        this->ready.pop_front();
        return next;
    }

    bool has_ready_fibers() const noexcept override // NOLINT(readability-identifier-naming)
    {
        return !this->ready.empty();
    }

    void suspend_until(const std::chrono::steady_clock::time_point &deadline) noexcept
        override // NOLINT(readability-identifier-naming)
    {
        if (deadline == std::chrono::steady_clock::time_point::max()) {
            this->context.run_one();
        } else {
            this->context.run_one_until(deadline);
        }
        this->context.poll();
    }

    void notify() noexcept override
    {
        asio::post(this->context, [] {});
    }

private:
    std::shared_ptr<asio::io_context> owner; ///< The thread's scheduler outlives its FiberRuntime.
    asio::io_context &context;
    fibers::scheduler::ready_queue_type ready;
};

} // namespace

struct FiberRuntime::Impl
{
    std::shared_ptr<asio::io_context> shared = std::make_shared<asio::io_context>(1);
    asio::io_context &context = *this->shared;
    asio::executor_work_guard<asio::io_context::executor_type> work{this->context.get_executor()};
    fibers::mutex mutex;
    fibers::condition_variable stopped;
    bool stopping = false;
};

FiberRuntime::FiberRuntime()
    : impl(std::make_unique<Impl>())
{ }

FiberRuntime::~FiberRuntime() = default;

asio::io_context &FiberRuntime::context()
{
    return this->impl->context;
}

void FiberRuntime::run()
{
    fibers::use_scheduling_algorithm<AsioScheduler>(this->impl->shared);
    std::unique_lock lock(this->impl->mutex);
    this->impl->stopped.wait(lock, [this] { return this->impl->stopping; });
}

void FiberRuntime::stop()
{
    this->post([this] {
        const std::lock_guard lock(this->impl->mutex);
        this->impl->stopping = true;
        this->impl->stopped.notify_all();
    });
}

void FiberRuntime::post(std::function<void()> task)
{
    asio::post(this->impl->context,
               [this, task = std::move(task)]() mutable { this->spawn(std::move(task)); });
}

void FiberRuntime::spawn(std::function<void()> task)
{
    fibers::fiber(fibers::launch::post, std::allocator_arg, fibers::fixedsize_stack(kStackBytes),
                  std::move(task))
        .detach();
}

void FiberRuntime::sleepFor(Duration duration)
{
    asio::steady_timer timer(this->impl->context,
                             std::chrono::duration_cast<asio::steady_timer::duration>(duration));
    awaitIo([&](auto handler) { timer.async_wait(std::move(handler)); });
}

} // namespace basilnotch
