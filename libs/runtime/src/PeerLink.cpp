// The requesting side. nng completes on threads of its own; each completion is handed to the fiber
// that waits for it.
#include <runtime/PeerLink.h>

#include <runtime/FiberRuntime.h>

#include <boost/fiber/future.hpp>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

#include <atomic>
#include <map>
#include <vector>

namespace basilnotch {

namespace {

constexpr std::size_t kMaxMessageBytes = 8 * 1024 * 1024;

std::string url(const Endpoint &endpoint)
{
    return "tcp://" + endpoint.text();
}

absl::Status nngFailure(std::string_view step, const Endpoint &peer, int code)
{
    const absl::StatusCode status = code == NNG_ETIMEDOUT ? absl::StatusCode::kDeadlineExceeded
                                                          : absl::StatusCode::kUnavailable;
    return failure(status, step, peer.text(), nng_strerror(code));
}

nng_duration inMillis(Duration value)
{
    return static_cast<nng_duration>(std::chrono::duration_cast<milliseconds>(value).count());
}

std::string takeBody(nng_aio *aio)
{
    nng_msg *message = nng_aio_get_msg(aio);
    std::string body(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    return body;
}

nng_msg *makeMessage(std::string_view body)
{
    nng_msg *message = nullptr;
    nng_msg_alloc(&message, 0);
    nng_msg_append(message, body.data(), body.size());
    return message;
}

} // namespace

struct PeerClient::Impl
{
    /// One request under way; lives until its completion has run.
    struct Call
    {
        nng_ctx context{};
        nng_aio *aio = nullptr;
        bool receiving = false;
        boost::fibers::promise<int> done;

        ~Call()
        {
            nng_aio_free(this->aio);
            nng_ctx_close(this->context);
        }
    };

    static void completed(void *argument)
    {
        auto *call = static_cast<Call *>(argument);
        const int result = nng_aio_result(call->aio);
        if (result != 0) {
            if (!call->receiving) {
                nng_msg_free(nng_aio_get_msg(call->aio));
            }
            call->done.set_value(result);
        } else if (call->receiving) {
            call->done.set_value(0);
        } else {
            call->receiving = true;
            nng_ctx_recv(call->context, call->aio);
        }
    }

    /// A socket to one peer.
    struct Link
    {
        nng_socket socket{};
        std::atomic<std::uint32_t> pipe{0}; ///< Id of its connection; 0 when there is none.
        TimePoint answeredAt{};             ///< Of the latest reply.

        /// nng calls this on a thread of its own.
        static void pipeChanged(nng_pipe pipe, nng_pipe_ev event, void *argument)
        {
            auto *link = static_cast<Link *>(argument);
            std::uint32_t id = pipe.id;
            if (event == NNG_PIPE_EV_ADD_POST) {
                link->pipe = id;
            } else {
                link->pipe.compare_exchange_strong(id, 0);
            }
        }
        /// Records the end of a call that began at `beganAt`. A connection that has answered
        /// nothing since then is closed, as it may never answer again; nng makes a new one and
        /// sends the requests under way again.
        void onCallEnded(TimePoint beganAt, int result)
        {
            if (result == 0) {
                this->answeredAt = SystemClock().now();
            } else if (result == NNG_ETIMEDOUT && this->answeredAt < beganAt) {
                nng_pipe silent{};
                silent.id = this->pipe;
                nng_pipe_close(silent);
            }
        }
    };

    Link *linkTo(const Endpoint &peer)
    {
        const std::string name = peer.text();
        auto found = this->links.find(name);
        if (found != this->links.end()) {
            return found->second.get();
        }
        nng_socket socket{};
        if (nng_req0_open(&socket) != 0) {
            return nullptr;
        }
        constexpr nng_duration kRedialMin = 50;  // Milliseconds.
        constexpr nng_duration kRedialMax = 500; // Milliseconds.
        nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kRedialMin);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kRedialMax);
        Link *link = this->links.emplace(name, std::make_unique<Link>()).first->second.get();
        link->socket = socket;
        nng_pipe_notify(socket, NNG_PIPE_EV_ADD_POST, &Link::pipeChanged, link);
        nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, &Link::pipeChanged, link);
        nng_dial(socket, url(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
        return link;
    }

    std::map<std::string, std::unique_ptr<Link>, std::less<>> links; ///< By the peer's address.
};

PeerClient::PeerClient()
    : impl(std::make_unique<Impl>())
{ }

PeerClient::~PeerClient()
{
    for (const auto &[name, link] : this->impl->links) {
        nng_close(link->socket);
    }
}

absl::StatusOr<std::string> PeerClient::call(const Endpoint &peer, std::string_view message,
                                             Duration timeout)
{
    Impl::Link *link = this->impl->linkTo(peer);
    if (!link) {
        return nngFailure("open socket", peer, NNG_ENOMEM);
    }
    const TimePoint beganAt = SystemClock().now();
    Impl::Call call;
    const int opened = nng_ctx_open(&call.context, link->socket);
    if (opened != 0) {
        return nngFailure("open context", peer, opened);
    }
    nng_aio_alloc(&call.aio, &Impl::completed, &call);
    nng_aio_set_timeout(call.aio, inMillis(timeout));
    nng_aio_set_msg(call.aio, makeMessage(message));
    auto done = call.done.get_future();
    nng_ctx_send(call.context, call.aio);
    const int result = done.get();
    nng_aio_wait(call.aio); // The callback may still be on its last instruction.
    link->onCallEnded(beganAt, result);
    if (result != 0) {
        return nngFailure("call", peer, result);
    }
    return takeBody(call.aio);
}

} // namespace basilnotch
