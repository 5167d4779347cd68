// front() selects the workspace that is served next, and pop() charges the request to its deficit.
// If the queue isn't changed in between, both refer to the same request.
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
    std::size_t &workspaceSize = this->sizeByWorkspace[request.workspace];
    if (workspaceSize >= this->options.maxPerWorkspace) {
        return PushResult::WorkspaceFull;
    }
    ++workspaceSize;
    ++this->total;
    const int classIndex = static_cast<int>(request.priorityClass);
    ClassQueue &classQueue = this->classes[static_cast<std::size_t>(classIndex)];
    ++classQueue.size;
    WorkspaceQueue &workspaceQueue = classQueue.workspaceQueues[request.workspace];
    workspaceQueue.requests.push_back(request);
    if (!workspaceQueue.inRoundRobin) {
        workspaceQueue.inRoundRobin = true;
        workspaceQueue.deficit = 0;
        classQueue.roundRobin.push_back(request.workspace);
    }
    this->locations[request.id] = {classIndex, request.workspace};
    return PushResult::Queued;
}

bool FairQueue::cancel(std::uint64_t id)
{
    const auto location = this->locations.find(id);
    if (location == this->locations.end()) {
        return false;
    }
    const auto [classIndex, workspace] = location->second;
    ClassQueue &classQueue = this->classes[static_cast<std::size_t>(classIndex)];
    std::deque<WaitingRequest> &requests = classQueue.workspaceQueues[workspace].requests;
    std::erase_if(requests, [&](const WaitingRequest &request) { return request.id == id; });
    --classQueue.size;
    --this->total;
    --this->sizeByWorkspace[workspace];
    this->locations.erase(location);
    return true;
}

int FairQueue::nextClass() const
{
    int first = -1;
    for (int classIndex = 0; classIndex < kPriorityClassCount; ++classIndex) {
        if (this->classes[static_cast<std::size_t>(classIndex)].size == 0) {
            continue;
        }
        const bool isLowerClassTurn =
            this->pops % static_cast<std::uint64_t>(this->options.lowerClassInterval)
            == static_cast<std::uint64_t>(this->options.lowerClassInterval - 1);
        if (first >= 0 && isLowerClassTurn) {
            return classIndex;
        }
        if (first < 0) {
            first = classIndex;
        }
    }
    return first;
}

FairQueue::WorkspaceQueue &FairQueue::nextWorkspaceQueue(ClassQueue &classQueue)
{
    while (true) {
        WorkspaceQueue &workspaceQueue = classQueue.workspaceQueues[classQueue.roundRobin.front()];
        if (workspaceQueue.requests.empty()) {
            workspaceQueue.inRoundRobin = false; // All of its requests have been cancelled.
            workspaceQueue.deficit = 0;
            classQueue.roundRobin.pop_front();
            continue;
        }
        if (workspaceQueue.deficit >= workspaceQueue.requests.front().cost) {
            return workspaceQueue;
        }
        workspaceQueue.deficit += this->options.quantum;
        classQueue.roundRobin.push_back(classQueue.roundRobin.front());
        classQueue.roundRobin.pop_front();
    }
}

std::optional<WaitingRequest> FairQueue::front()
{
    const int classIndex = this->nextClass();
    if (classIndex < 0) {
        return std::nullopt;
    }
    return this->nextWorkspaceQueue(this->classes[static_cast<std::size_t>(classIndex)])
        .requests.front();
}

void FairQueue::pop()
{
    assert(this->total > 0);
    ClassQueue &classQueue = this->classes[static_cast<std::size_t>(this->nextClass())];
    WorkspaceQueue &workspaceQueue = this->nextWorkspaceQueue(classQueue);
    const WaitingRequest request = workspaceQueue.requests.front();
    workspaceQueue.requests.pop_front();
    workspaceQueue.deficit -= request.cost;
    this->locations.erase(request.id);
    --classQueue.size;
    --this->total;
    --this->sizeByWorkspace[request.workspace];
    ++this->pops;
    if (workspaceQueue.requests.empty()) {
        workspaceQueue.inRoundRobin = false;
        workspaceQueue.deficit = 0;
        std::erase(classQueue.roundRobin, request.workspace);
    }
}

} // namespace basilnotch
