// One lock: a reservation is made for tens of kilobytes at a time.
#include <memory/MemoryAccount.h>

#include <algorithm>

namespace basilnotch {

namespace {

// Per cent of the memory of a process. The rest: the program and its tables, stacks and socket
// buffers of connections, and what allocation loses.
constexpr std::int64_t kTotalPercent = 25;
// Per cent of that total. Together more than all of it: either may use what the other leaves, but
// for a fifth that is the other's alone.
constexpr std::int64_t kPurposePercent = 80;
constexpr std::int64_t kHundred = 100;

std::size_t indexOf(MemoryPurpose purpose)
{
    return static_cast<std::size_t>(purpose);
}

} // namespace

MemoryBudget memoryBudget(std::int64_t memoryBytes)
{
    MemoryBudget budget;
    budget.total = memoryBytes / kHundred * kTotalPercent;
    budget.perPurpose.fill(budget.total / kHundred * kPurposePercent);
    return budget;
}

MemoryAccount::MemoryAccount(const MemoryBudget &budget)
    : budget(budget)
{ }

std::int64_t MemoryAccount::held(MemoryPurpose purpose) const
{
    const std::lock_guard lock(this->mutex);
    return this->heldBytes[indexOf(purpose)];
}

std::int64_t MemoryAccount::refusals() const
{
    const std::lock_guard lock(this->mutex);
    return this->refused;
}

void MemoryAccount::addHolder(MemoryHolder &holder)
{
    const std::lock_guard lock(this->mutex);
    this->holders.push_back(&holder);
}

void MemoryAccount::removeHolder(MemoryHolder &holder)
{
    const std::lock_guard lock(this->mutex);
    std::erase(this->holders, &holder);
}

void MemoryAccount::askHolders(MemoryPurpose purpose)
{
    const std::lock_guard lock(this->mutex);
    for (MemoryHolder *holder : this->holders) {
        holder->onMemoryShort(purpose);
    }
}

bool MemoryAccount::tryReserve(MemoryPurpose purpose, std::int64_t bytes)
{
    const std::lock_guard lock(this->mutex);
    std::int64_t all = bytes;
    for (const std::int64_t part : this->heldBytes) {
        all += part;
    }
    std::int64_t &own = this->heldBytes[indexOf(purpose)];
    if (all > this->budget.total || own + bytes > this->budget.perPurpose[indexOf(purpose)]) {
        ++this->refused;
        return false;
    }
    own += bytes;
    return true;
}

void MemoryAccount::release(MemoryPurpose purpose, std::int64_t bytes)
{
    const std::lock_guard lock(this->mutex);
    this->heldBytes[indexOf(purpose)] -= bytes;
}

bool MemoryReservation::tryGrowTo(std::int64_t bytes)
{
    if (bytes <= this->reserved) {
        return true;
    }
    if (this->account && !this->account->tryReserve(this->purpose, bytes - this->reserved)) {
        return false;
    }
    this->reserved = bytes;
    return true;
}

void MemoryReservation::askHolders()
{
    if (this->account) {
        this->account->askHolders(this->purpose);
    }
}

void MemoryReservation::release()
{
    if (this->account && this->reserved > 0) {
        this->account->release(this->purpose, this->reserved);
    }
    this->reserved = 0;
}

} // namespace basilnotch
