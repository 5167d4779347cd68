// A caller as the users' programs are: asks for entries, keeps the answer, tries the next one.
#pragma once

#include <runtime/FiberRuntime.h>
#include <runtime/HttpClient.h>

#include <random>
#include <string>
#include <vector>

namespace basilnotch {

/// Outcome of one chat request.
struct ChatOutcome
{
    int status = 0;     ///< 0: no answer.
    bool whole = false; ///< The stream ended with its end mark.
    bool cut = false;   ///< The connection ended before that.
    std::string errorType;
    std::string run; ///< The `run` of an error.
    std::string text;
    std::string model; ///< "model@version".
    std::string sessionToken;
    int tokens = 0;
    Duration firstToken{};
};

struct ChatCall
{
    std::string key;
    std::string task = "default";
    std::string model; ///< Empty: by task.
    std::string prompt;
    std::string sessionToken;
    std::string sessionId;
    int maxTokens = 0;
    bool stream = true;
    int cancelAfter = -1; ///< Closes the connection after so many tokens.
    Duration timeout = seconds(30);
};

/// Used on one runtime's thread.
class CallerClient
{
public:
    CallerClient(FiberRuntime &runtime, std::vector<Endpoint> seeds, std::uint64_t seed);

    /// Entries to use now, best first; asks again when the kept answer has expired.
    std::vector<Endpoint> entries(const std::string &failureDomain = "");
    ChatOutcome chat(const Endpoint &entry, const ChatCall &call);
    absl::StatusOr<HttpResponse> request(const Endpoint &entry, HttpRequest request,
                                         const std::string &key, Duration timeout = seconds(15));

private:
    FiberRuntime &runtime;
    HttpClient client;
    std::vector<Endpoint> seeds;
    std::vector<Endpoint> kept;
    TimePoint keptUntil;
    std::mt19937_64 random;
};

} // namespace basilnotch
