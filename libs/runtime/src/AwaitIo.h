// Suspends the calling fiber until an asio operation has completed.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace basilnotch {

struct IoResult
{
    boost::system::error_code error;
    std::size_t bytes = 0;
};

/// One asio operation that a fiber waits for. It and its handler share a thread: no lock is needed.
struct IoOperation
{
    IoResult result;
    bool done = false;
    boost::fibers::context *waiter = nullptr;

    void complete(boost::system::error_code error, std::size_t bytes)
    {
        this->result = {error, bytes};
        this->done = true;
        if (this->waiter) {
            boost::fibers::context::active()->schedule(this->waiter);
        }
    }
};

/// Completion handler of an IoOperation.
struct IoHandler
{
    IoOperation *operation;
    void operator()(boost::system::error_code error) const { this->operation->complete(error, 0); }
    void operator()(boost::system::error_code error, std::size_t bytes) const
    {
        this->operation->complete(error, bytes);
    }
};

/// Starts `initiate(handler)` and waits for its handler. The operation must belong to the
/// io_context that runs this thread's fibers.
template <typename Initiate>
IoResult awaitIo(Initiate initiate)
{
    IoOperation operation;
    initiate(IoHandler{&operation});
    while (!operation.done) {
        operation.waiter = boost::fibers::context::active();
        operation.waiter->suspend();
    }
    return operation.result;
}

} // namespace basilnotch
