// The bytes that a process holds for its callers and upstreams, reserved before they are read.
#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <vector>

namespace basilnotch {

/// What bytes are held for. Each has a share of its own, so that one cannot take all of the other.
enum class MemoryPurpose {
    Requests, ///< What callers have sent and upstreams have not yet taken.
    Answers,  ///< What upstreams have answered and callers have not yet read.
};
constexpr std::size_t kMemoryPurposes = 2;

/// Most bytes; what is beyond `total` belongs to the process itself, its store and its peers.
struct MemoryBudget
{
    std::int64_t total = 0;
    std::array<std::int64_t, kMemoryPurposes> perPurpose{}; ///< By MemoryPurpose.
};

/// The budget of a process that may use `memoryBytes` in all.
MemoryBudget memoryBudget(std::int64_t memoryBytes);

/// Whoever holds memory that it can give up.
class MemoryHolder
{
public:
    virtual ~MemoryHolder() = default;
    /// Somebody waits for memory. Called on the thread of the one who waits; must not block.
    virtual void onMemoryShort(MemoryPurpose purpose) = 0;
};

/// Thread-safe.
class MemoryAccount
{
public:
    explicit MemoryAccount(const MemoryBudget &budget);
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    std::int64_t held(MemoryPurpose purpose) const;
    /// Reservations that were not granted.
    std::int64_t refusals() const;
    /// `holder` must be removed before it ends.
    void addHolder(MemoryHolder &holder);
    void removeHolder(MemoryHolder &holder);
    /// Asks all holders to give up what makes no progress.
    void askHolders(MemoryPurpose purpose);

private:
    friend class MemoryReservation;
    bool tryReserve(MemoryPurpose purpose, std::int64_t bytes);
    void release(MemoryPurpose purpose, std::int64_t bytes);

    const MemoryBudget budget;
    mutable std::mutex mutex;
    std::array<std::int64_t, kMemoryPurposes> heldBytes{}; ///< Sum at most budget.total.
    std::int64_t refused = 0;
    std::vector<MemoryHolder *> holders;
};

/// A part of an account, given back on destruction. Not thread-safe. Without an account it grants
/// everything.
///
///     MemoryReservation body(account, MemoryPurpose::Requests);
///     if (!body.tryGrowTo(bytes)) { ... }
class MemoryReservation
{
public:
    MemoryReservation() = default;
    /// `account` may be null; otherwise it outlives this.
    MemoryReservation(MemoryAccount *account, MemoryPurpose purpose)
        : account(account)
        , purpose(purpose)
    { }
    ~MemoryReservation() { this->release(); }
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /// Reserves `bytes` in all; keeps what it has when they are not granted or fewer.
    bool tryGrowTo(std::int64_t bytes);
    /// Asks whoever holds memory for this purpose without progress to give it up.
    void askHolders();
    void release();
    std::int64_t bytes() const { return this->reserved; }

private:
    MemoryAccount *account = nullptr;
    MemoryPurpose purpose = MemoryPurpose::Requests;
    std::int64_t reserved = 0;
};

} // namespace basilnotch
