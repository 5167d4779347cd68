// A request's place follows from what its workspace has had before it, not from its own cost: a
// large request is served like a small one, and the next of its workspace waits longer.
#include <admission/AdmissionQueue.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace basilnotch {

AdmissionQueue::AdmissionQueue(AdmissionOptions options, const Clock &clock)
    : options(options)
    , clock(clock)
    , classes(static_cast<std::size_t>(std::max(1, options.classes)))
{ }

bool AdmissionQueue::Waiting::operator<(const Waiting &other) const
{
    return std::tie(this->round, this->request.startBy, this->number)
        < std::tie(other.round, other.request.startBy, other.number);
}

std::size_t AdmissionQueue::classOf(const AdmissionRequest &request) const
{
    return std::min(static_cast<std::size_t>(std::max(0, request.priority)),
                    this->classes.size() - 1);
}

double AdmissionQueue::weight(std::size_t index) const
{
    return std::pow(this->options.classRatio, -static_cast<double>(index));
}

double AdmissionQueue::cost(const AdmissionRequest &request) const
{
    return toSeconds(std::clamp(request.cost, this->options.minCost, this->options.maxCost));
}

bool AdmissionQueue::returnsEarly(std::uint64_t fingerprint) const
{
    const auto refused = this->refusedUntil.find(fingerprint);
    return refused != this->refusedUntil.end() && this->clock.now() < refused->second;
}

AdmissionQueue::Waiting AdmissionQueue::makeWaiting(const AdmissionRequest &request) const
{
    const Class &own = this->classes[this->classOf(request)];
    const auto known = own.nextStart.find(request.workspace);
    Waiting waiting;
    waiting.request = request;
    waiting.start = known == own.nextStart.end() ? own.now : std::max(own.now, known->second);
    // Placed as if its workspace had been served in the meantime.
    waiting.start += this->returnsEarly(request.fingerprint) ? this->cost(request) : 0;
    waiting.round = std::llround(
        std::floor(waiting.start / std::max(toSeconds(this->options.fairnessQuantum), 1e-3)));
    waiting.number = this->nextNumber;
    return waiting;
}

void AdmissionQueue::push(const AdmissionRequest &request)
{
    Waiting waiting = this->makeWaiting(request);
    const std::size_t index = this->classOf(request);
    Class &own = this->classes[index];
    if (own.waiting.empty()) {
        // Time in which the class had nothing to wait for gives it no claim.
        for (const Class &other : this->classes) {
            if (!other.waiting.empty()) {
                own.served = std::max(own.served, other.served);
            }
        }
    }
    own.nextStart[request.workspace] = waiting.start + this->cost(request);
    own.waiting.insert(std::upper_bound(own.waiting.begin(), own.waiting.end(), waiting),
                       std::move(waiting));
    ++this->nextNumber;
    ++this->count;
    this->isOrdered = false;
}

bool AdmissionQueue::erase(std::uint64_t id, Waiting *erased)
{
    for (Class &own : this->classes) {
        const auto found =
            std::find_if(own.waiting.begin(), own.waiting.end(),
                         [id](const Waiting &waiting) { return waiting.request.id == id; });
        if (found != own.waiting.end()) {
            *erased = std::move(*found);
            own.waiting.erase(found);
            --this->count;
            this->isOrdered = false;
            return true;
        }
    }
    return false;
}

void AdmissionQueue::onServed(std::uint64_t id)
{
    Waiting served;
    if (!this->erase(id, &served)) {
        return;
    }
    const std::size_t index = this->classOf(served.request);
    Class &own = this->classes[index];
    own.served += this->cost(served.request) / this->weight(index);
    own.now = std::max(own.now, served.start);
    std::erase_if(own.nextStart, [&](const auto &item) { return item.second <= own.now; });
}

void AdmissionQueue::remove(std::uint64_t id)
{
    Waiting removed;
    if (!this->erase(id, &removed)) {
        return;
    }
    // The workspace hasn't had its cost.
    Class &own = this->classes[this->classOf(removed.request)];
    const auto known = own.nextStart.find(removed.request.workspace);
    if (known != own.nextStart.end()) {
        known->second -= this->cost(removed.request);
    }
}

const std::vector<std::uint64_t> &AdmissionQueue::order()
{
    if (this->isOrdered) {
        return this->ordered;
    }
    this->ordered.clear();
    std::vector<std::size_t> next(this->classes.size(), 0);
    std::vector<double> served;
    for (const Class &own : this->classes) {
        served.push_back(own.served);
    }
    while (this->ordered.size() < this->count) {
        std::size_t chosen = this->classes.size();
        for (std::size_t index = 0; index < this->classes.size(); ++index) {
            const bool hasMore = next[index] < this->classes[index].waiting.size();
            if (hasMore && (chosen == this->classes.size() || served[index] < served[chosen])) {
                chosen = index;
            }
        }
        const AdmissionRequest &request = this->classes[chosen].waiting[next[chosen]].request;
        served[chosen] += this->cost(request) / this->weight(chosen);
        ++next[chosen];
        this->ordered.push_back(request.id);
    }
    this->isOrdered = true;
    return this->ordered;
}

std::size_t AdmissionQueue::ahead(const AdmissionRequest &request) const
{
    const Waiting waiting = this->makeWaiting(request);
    const std::size_t own = this->classOf(request);
    const auto &same = this->classes[own].waiting;
    const auto before = static_cast<std::size_t>(std::upper_bound(same.begin(), same.end(), waiting)
                                                 - same.begin());
    // More urgent classes go first, less urgent ones get their share meanwhile.
    std::size_t ahead = before;
    for (std::size_t index = 0; index < this->classes.size(); ++index) {
        const std::size_t size = this->classes[index].waiting.size();
        const double share = this->weight(index) / this->weight(own);
        if (index != own) {
            ahead += index < own
                ? size
                : std::min(size, static_cast<std::size_t>(share * static_cast<double>(before)));
        }
    }
    return ahead;
}

void AdmissionQueue::onRefused(std::uint64_t fingerprint, Duration retryAfter)
{
    if (fingerprint == 0) {
        return;
    }
    const TimePoint now = this->clock.now();
    if (this->refusedUntil.size() >= this->options.maxRefusals) {
        std::erase_if(this->refusedUntil, [&](const auto &item) { return item.second <= now; });
    }
    if (this->refusedUntil.size() < this->options.maxRefusals) {
        // Who returns early is not allowed sooner by being refused again.
        TimePoint &until = this->refusedUntil[fingerprint];
        until = std::max(until, now + retryAfter);
    }
}

} // namespace basilnotch
