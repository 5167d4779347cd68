// front() decides whose turn it is and pop() charges it; nothing changes hands between the two.
#include <decision/FairQueue.h>

#include <algorithm>
#include <cassert>

namespace basilnotch {

FairQueue::FairQueue(FairQueueOptions options)
    : options(options)
{ }

FairQueue::PushResult FairQueue::push(const WaitingRequest &request)
{
    if (this->total >= this->options.capacity) {
        return PushResult::Full;
    }
    std::size_t &ofWorkspace = this->maxPerWorkspace[request.workspace];
    if (ofWorkspace >= this->options.maxPerWorkspace) {
        return PushResult::WorkspaceFull;
    }
    ++ofWorkspace;
    ++this->total;
    const int group = static_cast<int>(request.priorityClass);
    Class &waiting = this->classes[static_cast<std::size_t>(group)];
    ++waiting.size;
    Lane &lane = waiting.lanes[request.workspace];
    lane.requests.push_back(request);
    if (!lane.queued) {
        lane.queued = true;
        lane.deficit = 0;
        waiting.turns.push_back(request.workspace);
    }
    this->places[request.id] = {group, request.workspace};
    return PushResult::Queued;
}

bool FairQueue::cancel(std::uint64_t id)
{
    const auto place = this->places.find(id);
    if (place == this->places.end()) {
        return false;
    }
    const auto [group, workspace] = place->second;
    Class &waiting = this->classes[static_cast<std::size_t>(group)];
    std::deque<WaitingRequest> &requests = waiting.lanes[workspace].requests;
    std::erase_if(requests, [&](const WaitingRequest &request) { return request.id == id; });
    --waiting.size;
    --this->total;
    --this->maxPerWorkspace[workspace];
    this->places.erase(place);
    return true;
}

int FairQueue::nextClass() const
{
    int first = -1;
    for (int group = 0; group < kPriorityClassCount; ++group) {
        if (this->classes[static_cast<std::size_t>(group)].size == 0) {
            continue;
        }
        const bool lowerTurn =
            this->pops % static_cast<std::uint64_t>(this->options.lowerClassInterval)
            == static_cast<std::uint64_t>(this->options.lowerClassInterval - 1);
        if (first >= 0 && lowerTurn) {
            return group;
        }
        if (first < 0) {
            first = group;
        }
    }
    return first;
}

FairQueue::Lane &FairQueue::laneInTurn(Class &group)
{
    while (true) {
        Lane &lane = group.lanes[group.turns.front()];
        if (lane.requests.empty()) {
            lane.queued = false; // Emptied by cancellations.
            lane.deficit = 0;
            group.turns.pop_front();
            continue;
        }
        if (lane.deficit >= lane.requests.front().cost) {
            return lane;
        }
        lane.deficit += this->options.quantum;
        group.turns.push_back(group.turns.front());
        group.turns.pop_front();
    }
}

std::optional<WaitingRequest> FairQueue::front()
{
    const int group = this->nextClass();
    if (group < 0) {
        return std::nullopt;
    }
    return this->laneInTurn(this->classes[static_cast<std::size_t>(group)]).requests.front();
}

void FairQueue::pop()
{
    assert(this->total > 0);
    Class &group = this->classes[static_cast<std::size_t>(this->nextClass())];
    Lane &lane = this->laneInTurn(group);
    const WaitingRequest request = lane.requests.front();
    lane.requests.pop_front();
    lane.deficit -= request.cost;
    this->places.erase(request.id);
    --group.size;
    --this->total;
    --this->maxPerWorkspace[request.workspace];
    ++this->pops;
    if (lane.requests.empty()) {
        lane.queued = false;
        lane.deficit = 0;
        std::erase(group.turns, request.workspace);
    }
}

} // namespace basilnotch
