// Linux-specific: TCP_INFO and SIOCOUTQ. Where the system has neither, nothing is known.
#include "DeliveryProgress.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace basilnotch {

std::optional<SendQueueState> readSendQueue(int handle)
{
    int queued = 0;
    if (::ioctl(handle, SIOCOUTQ, &queued) != 0) {
        return std::nullopt;
    }
    SendQueueState state;
    state.queuedBytes = queued;
    if (queued == 0) {
        return state;
    }
    tcp_info info{};
    socklen_t length = sizeof(info);
    if (::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return std::nullopt;
    }
    state.isUnanswered =
        (info.tcpi_unacked > 0 && info.tcpi_retransmits > 0) || info.tcpi_probes > 0;
    return state;
}

DeliveryProgress::Result DeliveryProgress::update(const SendQueueState &state,
                                                  std::int64_t writtenBytes, TimePoint now)
{
    Result result;
    const std::int64_t acknowledged = writtenBytes - state.queuedBytes;
    result.hasMoved = acknowledged > this->acknowledgedBytes;
    this->acknowledgedBytes = std::max(this->acknowledgedBytes, acknowledged);
    result.isComplete = state.queuedBytes == 0;
    if (!state.isUnanswered) {
        this->unansweredSince.reset();
    } else if (!this->unansweredSince || result.hasMoved) {
        this->unansweredSince = now;
    }
    result.isPeerGone = this->unansweredSince && now - *this->unansweredSince >= kPeerGoneTimeout;
    return result;
}

} // namespace basilnotch
