// Peers that close after each of the bytes of an answer.
#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace basilnotch;

namespace {

/// Answers the first `whole` requests of each connection with `kWhole`, and the next one with the
/// next of `cuts`, after which it closes the connection.
class CuttingPeer
{
public:
    CuttingPeer(std::vector<std::string> cuts, int whole)
        : cuts(std::move(cuts))
        , whole(whole)
        , listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        socklen_t length = sizeof(address);
        REQUIRE(::bind(this->listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &length);
        ::listen(this->listener, 4);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->serve(); });
    }
    ~CuttingPeer()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
    }
    CuttingPeer(const CuttingPeer &) = delete;
    CuttingPeer &operator=(const CuttingPeer &) = delete;

    Endpoint endpoint() const { return {"127.0.0.1", this->port}; }

    static constexpr char kWhole[] = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\ngood";

private:
    void serve()
    {
        for (const std::string &cut : this->cuts) {
            const int caller = ::accept(this->listener, nullptr, nullptr);
            if (caller < 0) {
                return;
            }
            char request[4096];
            for (int number = 0; ::recv(caller, request, sizeof(request), 0) > 0; ++number) {
                const std::string bytes = number < this->whole ? kWhole : cut;
                (void)::send(caller, bytes.data(), bytes.size(), MSG_NOSIGNAL);
                if (number == this->whole) {
                    break;
                }
            }
            ::close(caller);
        }
    }

    const std::vector<std::string> cuts;
    const int whole;
    const int listener;
    std::uint16_t port = 0;
    std::thread thread;
};

/// Every proper prefix of `text` of `least` bytes or more.
std::vector<std::string> prefixes(const std::string &text, std::size_t least = 0)
{
    std::vector<std::string> all;
    for (std::size_t size = least; size < text.size(); ++size) {
        all.push_back(text.substr(0, size));
    }
    return all;
}

/// Checks that no call that gets one of `cuts` has an answer, on new and on kept connections.
void checkNoAnswer(const std::vector<std::string> &cuts)
{
    for (const bool isKept : {false, true}) {
        for (const bool hasId : {false, true}) {
            std::thread([&] {
                CuttingPeer peer(cuts, isKept ? 1 : 0);
                FiberRuntime runtime;
                runtime.post([&] {
                    HttpClient client(runtime);
                    CallOptions options;
                    options.timeout = seconds(5);
                    if (hasId) {
                        options.correlation = Correlation{"Id", "1"};
                    }
                    for (const std::string &cut : cuts) {
                        if (isKept) {
                            const auto good = client.call(peer.endpoint(), HttpRequest(), options);
                            REQUIRE(good.ok());
                        }
                        const auto answer = client.call(peer.endpoint(), HttpRequest(), options);
                        INFO("kept " << isKept << " id " << hasId << " after: " << cut);
                        CHECK_FALSE(answer.ok());
                        CHECK(sendProgress(answer.status()) == SendProgress::MaybeSent);
                    }
                    runtime.stop();
                });
                runtime.run();
            }).join();
        }
    }
}

const std::string kHead = "HTTP/1.1 200 OK\r\nId: 1\r\nServer: x\r\n";
const std::string kInterim = "HTTP/1.1 100 Continue\r\nId: 1\r\n\r\n";

} // namespace

// Guards against successes that are made of a head that was cut.
TEST_CASE("an answer that is cut after any of its bytes is an error")
{
    checkNoAnswer(prefixes(kHead + "Content-Length: 4\r\n\r\nbody"));
    checkNoAnswer(prefixes(kHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"));
    checkNoAnswer(prefixes(kHead + "\r\n"));
}

TEST_CASE("an answer that is cut after interim answers is an error")
{
    checkNoAnswer(prefixes(kInterim));
    checkNoAnswer({kInterim, kInterim + kInterim});
    checkNoAnswer(prefixes(kInterim + kInterim + kHead + "\r\n", kInterim.size()));
}
