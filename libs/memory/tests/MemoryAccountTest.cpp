// The account's invariants, and the limits that are divided.
#include <memory/MemoryAccount.h>
#include <memory/ProcessLimits.h>

#include <catch2/catch.hpp>

#include <memory>
#include <thread>
#include <vector>

using namespace basilnotch;

namespace {

constexpr std::int64_t kMegabyte = 1'000'000;

struct AskedHolder final : MemoryHolder
{
    void onMemoryShort(MemoryPurpose purpose) override { this->asked.push_back(purpose); }
    std::vector<MemoryPurpose> asked;
};

} // namespace

TEST_CASE("a reservation grows, and gives back what it has", "[memory]")
{
    MemoryAccount account(memoryBudget(100 * kMegabyte));
    {
        MemoryReservation body(&account, MemoryPurpose::Requests);
        CHECK(body.tryGrowTo(2 * kMegabyte));
        CHECK(body.tryGrowTo(kMegabyte)); // Less than it has.
        CHECK(account.held(MemoryPurpose::Requests) == 2 * kMegabyte);
        CHECK_FALSE(body.tryGrowTo(100 * kMegabyte));
        CHECK(body.bytes() == 2 * kMegabyte);
        CHECK(account.refusals() == 1);
        body.release();
        CHECK(account.held(MemoryPurpose::Requests) == 0);
        CHECK(body.tryGrowTo(kMegabyte));
    }
    CHECK(account.held(MemoryPurpose::Requests) == 0);
}

TEST_CASE("one purpose leaves a part to the other, both together leave one to the process",
          "[memory]")
{
    constexpr std::int64_t kAll = 120 * kMegabyte;
    MemoryAccount account(memoryBudget(kAll));
    MemoryReservation requests(&account, MemoryPurpose::Requests);
    while (requests.tryGrowTo(requests.bytes() + 1000)) { }
    MemoryReservation answers(&account, MemoryPurpose::Answers);
    // One whole body of 4 MiB, the most that a caller may send, on the smallest machine.
    CHECK(requests.bytes() >= 4 * 1024 * 1024);
    CHECK(answers.tryGrowTo(4 * 1024 * 1024));
    while (answers.tryGrowTo(answers.bytes() + 1000)) { }
    CHECK(requests.bytes() + answers.bytes() <= kAll / 3);
}

TEST_CASE("whoever holds memory is asked for it", "[memory]")
{
    MemoryAccount account(memoryBudget(kMegabyte));
    MemoryReservation body(&account, MemoryPurpose::Answers);
    AskedHolder holder;
    account.addHolder(holder);
    body.askHolders();
    CHECK(holder.asked == std::vector<MemoryPurpose>{MemoryPurpose::Answers});
    account.removeHolder(holder);
    body.askHolders();
    CHECK(holder.asked.size() == 1);
}

TEST_CASE("without an account everything is granted", "[memory]")
{
    MemoryReservation free;
    CHECK(free.tryGrowTo(1'000'000 * kMegabyte));
    free.askHolders();
    free.release();
    CHECK(free.bytes() == 0);
}

TEST_CASE("threads that reserve and give back leave nothing behind", "[memory]")
{
    MemoryAccount account(memoryBudget(kMegabyte));
    std::vector<std::thread> threads;
    for (int number = 0; number < 4; ++number) {
        threads.emplace_back([&account] {
            for (int round = 0; round < 5000; ++round) {
                MemoryReservation body(&account, MemoryPurpose::Requests);
                (void)body.tryGrowTo(100'000);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(account.held(MemoryPurpose::Requests) == 0);
}

TEST_CASE("connections leave descriptors for upstreams, store and files", "[limits]")
{
    // From a small instance of a test to a large machine.
    for (const int descriptors : {400, 3075, 4100, 8192, 20'000}) {
        const ProcessLimits limits{256 * kMegabyte, descriptors};
        const int taken = limits.callerConnections(2000) + limits.directoryConnections()
            + 2 * limits.operatorConnections() + limits.peerConnections();
        INFO(descriptors << " descriptors, " << taken << " taken");
        CHECK(taken < descriptors * 95 / 100 - 40);
    }
    // Thousands of ordinary requests at once on the smallest machine.
    CHECK(ProcessLimits{120 * kMegabyte, 3075}.callerConnections(2000) > 1800);
    CHECK(ProcessLimits{32'000 * kMegabyte, 20'000}.callerConnections(2000) == 2000);
}

TEST_CASE("limits that are not stated are those of the system", "[limits]")
{
    const ProcessLimits system = processLimits(0, 0);
    CHECK(system.memoryBytes > 0);
    CHECK(system.descriptors > 0);
    CHECK(processLimits(120, 0).memoryBytes == 120 * kMegabyte);
    CHECK(processLimits(0, 100).descriptors == 100);
    CHECK(processLimits(0, 100'000'000).descriptors == system.descriptors);
}
