// As platform/tests/CrowdTest.cpp, at the product's own interface.
#include "../failure/Cluster.h"

#include <CrowdMembers.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace basilnotch;
using namespace basilnotch::testing;

namespace {

constexpr std::size_t kBodyLimit = 1024 * 1024; // The default.

ClusterOptions small()
{
    ClusterOptions options;
    options.entries = 1;
    options.engines = 2;
    options.limits = R"("memoryMb":120)"; // The smallest machine.
    return options;
}

ClusterOptions withFewDescriptors()
{
    ClusterOptions options = small();
    options.descriptors = kDescriptors;
    return options;
}

std::string head(const std::string &method, const std::string &path)
{
    return absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ",
                        Cluster::kKey, "\r\n");
}

const std::string kChat = head("POST", "/v1/chat/completions");

bool answersOrdinary(Cluster &cluster)
{
    return cluster.eventually(kPatience, [&] {
        ChatCall call;
        call.prompt = "ordinary";
        call.timeout = seconds(5);
        return cluster.chat(1, call).whole;
    });
}

void judge(Cluster &cluster, const std::function<bool()> &hasEnded, Duration atMost)
{
    int descriptors = 0;
    const auto sample = [&] {
        descriptors = std::max(descriptors, processUse(cluster.processOf("entry1")).descriptors);
        return hasEnded();
    };
    (void)cluster.eventually(atMost, sample);
    const bool served = answersOrdinary(cluster);
    (void)sample();
    const ProcessUse use = processUse(cluster.processOf("entry1"));
    WARN("peak " << use.peakBytes << " bytes, " << descriptors << " descriptors, served "
                 << served);
    CHECK(use.lives);
    CHECK(use.peakBytes < kMachineBytes);
    CHECK(descriptors <= kMostDescriptors);
    CHECK(served);
}

void judge(Cluster &cluster, const Crowd &crowd)
{
    judge(
        cluster, [&] { return crowd.isDone(); }, kCrowdTime);
}

const auto kNever = [] { return false; };

} // namespace

TEST_CASE("own interface: trailers without end behind a chunked body", "[trailers]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, small());
        const Crowd crowd(cluster.entry(1), endlessTrailers(kChat));
        judge(cluster, crowd);
    });
}

TEST_CASE("own interface: many chunked bodies that stop one byte short", "[bodies]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, small());
        const Crowd crowd(cluster.entry(1), unendedBodies(kChat, kBodyLimit, 160, 10));
        judge(cluster, crowd);
    });
}

TEST_CASE("own interface: bodies far over the limit, announced and just sent", "[oversize]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, small());
        const Crowd crowd(cluster.entry(1), oversizeBodies(kChat));
        judge(cluster, crowd);
    });
}

TEST_CASE("own interface: headers a byte at a time on all descriptors", "[headers]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, withFewDescriptors());
        const Crowd crowd(cluster.entry(1), slowHeaders(kChat, kDescriptors + 100));
        judge(cluster, kNever, kEndlessCrowdTime);
    });
}

TEST_CASE("own interface: callers that read nothing of their answers", "[unread]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, small());
        const Crowd crowd(cluster.entry(1), unreadAnswers(head("GET", "/metrics"), 100));
        judge(cluster, kNever, kEndlessCrowdTime);
    });
}

TEST_CASE("own interface: messages without end at the peer port", "[peers_large]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, small());
        const Crowd crowd(cluster.peerPort(1), unendedPeerMessages(40));
        judge(cluster, crowd);
    });
}

TEST_CASE("own interface: deeply nested messages at the peer port", "[peers_nested]")
{
    inFiber([](FiberRuntime &runtime) {
        Cluster cluster(runtime, small());
        std::vector<std::unique_ptr<Crowd>> crowds;
        for (char kind = 'a'; kind <= 'z'; ++kind) {
            crowds.push_back(
                std::make_unique<Crowd>(cluster.peerPort(1), nestedPeerMessages(kind)));
        }
        judge(cluster, kNever, kEndlessCrowdTime);
    });
}
