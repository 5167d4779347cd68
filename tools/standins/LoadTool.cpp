// Each caller is a fiber. A caller whose entry fails goes on with the next one, as real callers do.
#include "LoadTool.h"

#include "CallerClient.h"
#include "StandinAnswer.h"
#include "StandinServer.h"

#include <base/Hash.h>
#include <receipts/Billing.h>
#include <runtime/FiberEvent.h>
#include <runtime/HttpStatus.h>

#include <absl/strings/str_cat.h>

namespace basilnotch {

namespace json = boost::json;

namespace {

constexpr int kMaxTries = 6;
constexpr Duration kRetryPause = milliseconds(100);

struct Load
{
    FiberRuntime &runtime;
    const LoadOptions &options;
    LoadResult result;
    int running = 0;
    FiberEvent done;
};

void chatOnce(Load &load, CallerClient &client, std::mt19937_64 &random, int caller, int number,
              std::string *session)
{
    ChatCall call;
    call.key = load.options.key;
    call.task = load.options.task;
    call.prompt =
        absl::StrCat("caller ", caller, " asks ", number, " with seed ", load.options.seed);
    call.sessionToken = *session;
    call.maxTokens = 10 + static_cast<int>(random() % 40);
    call.stream = random() % 4 != 0;
    const bool cancels = call.stream
        && std::uniform_real_distribution<double>(0, 1)(random) < load.options.cancelShare;
    call.cancelAfter =
        cancels ? 1 + static_cast<int>(random() % static_cast<unsigned>(call.maxTokens / 2)) : -1;
    ++load.result.requests;
    for (int attempt = 0; attempt < kMaxTries; ++attempt) {
        const std::vector<Endpoint> entries = client.entries();
        const ChatOutcome outcome =
            client.chat(entries[static_cast<std::size_t>(attempt) % entries.size()], call);
        if (cancels && outcome.tokens >= call.cancelAfter) {
            ++load.result.cancelled;
            return;
        }
        if (outcome.whole) {
            const bool right = outcome.text == standinAnswer(call.prompt + "\n", call.maxTokens);
            ++(right ? load.result.whole : load.result.lost);
            *session = outcome.sessionToken;
            return;
        }
        ++load.result.repeated;
        load.runtime.sleepFor(kRetryPause);
    }
    ++load.result.lost;
}

void readStock(Load &load, CallerClient &client, int number)
{
    ++load.result.requests;
    for (int attempt = 0; attempt < kMaxTries; ++attempt) {
        const std::vector<Endpoint> entries = client.entries();
        const auto response = client.request(
            entries[static_cast<std::size_t>(attempt) % entries.size()],
            {"GET", absl::StrCat("/stockroom/stock/fleece-", number), {}, ""}, load.options.key);
        if (response.ok() && response->status == status::kOk) {
            ++load.result.whole;
            return;
        }
        ++load.result.repeated;
        load.runtime.sleepFor(kRetryPause);
    }
    ++load.result.lost;
}

/// Confirms one order and repeats it at another instance: the answer must be the recorded one.
void confirmTwice(Load &load, CallerClient &client, int caller, int number)
{
    const std::string key = absl::StrCat("order-", load.options.seed, "-", caller, "-", number);
    std::string first;
    load.result.requests += 1;
    for (int attempt = 0, answered = 0; attempt < 2 * kMaxTries && answered < 2; ++attempt) {
        const std::vector<Endpoint> entries = client.entries();
        HttpRequest request{"POST",
                            "/orders/confirm",
                            {{"Idempotency-Key", key}, {"Content-Type", "application/json"}},
                            "{\"pallets\":3}"};
        const auto response = client.request(
            entries[static_cast<std::size_t>(attempt) % entries.size()], request, load.options.key);
        if (!response.ok() || response->status != status::kOk) {
            ++load.result.repeated;
            load.runtime.sleepFor(kRetryPause);
            continue;
        }
        ++answered;
        if (first.empty()) {
            first = response->body;
            ++load.result.whole;
        } else if (response->body != first) {
            ++load.result.duplicates;
        }
    }
    load.result.lost += first.empty() ? 1 : 0;
}

void runCaller(Load &load, int caller)
{
    std::mt19937_64 random(hash64(absl::StrCat(caller), load.options.seed));
    CallerClient client(load.runtime, load.options.seeds, random());
    std::string session;
    for (int number = 0; number < load.options.requestsPerCaller; ++number) {
        chatOnce(load, client, random, caller, number, &session);
        if (load.options.services && number % 5 == 0) {
            readStock(load, client, number);
        }
        if (load.options.services && number % 5 == 2) {
            confirmTwice(load, client, caller, number);
        }
    }
}

int countReceipts(FiberRuntime &runtime, const Endpoint &platform)
{
    HttpClient client(runtime);
    const auto response = client.call(platform, {"GET", "/dump?prefix=receipts/", {}, ""}, {});
    if (!response.ok()) {
        return 0;
    }
    Bill bill;
    const json::object dump = jsonBody(response->body);
    for (const json::value &row : dump.at("rows").as_array()) {
        const auto receipts = decodeReceipts(jsonText(row.as_object(), "value"));
        for (const Receipt &receipt : receipts.ok() ? *receipts : std::vector<Receipt>()) {
            bill.add(receipt);
        }
    }
    int closed = 0;
    for (const auto &[id, receipt] : bill.receipts()) {
        closed += receipt.state == ReceiptState::Open ? 0 : 1;
    }
    return closed;
}

} // namespace

std::string LoadResult::line() const
{
    return absl::StrCat("requests=", this->requests, " whole=", this->whole,
                        " cancelled=", this->cancelled, " receipts=", this->receipts,
                        " duplicates=", this->duplicates, " lost=", this->lost);
}

LoadResult runLoad(FiberRuntime &runtime, const LoadOptions &options)
{
    Load load{runtime, options, {}, options.callers, {}};
    for (int caller = 0; caller < options.callers; ++caller) {
        runtime.spawn([&load, caller] {
            runCaller(load, caller);
            if (--load.running == 0) {
                load.done.set();
            }
        });
    }
    while (!load.done.waitFor(seconds(3600))) { }
    constexpr Duration kSettle = seconds(2); // Receipts are flushed several times a second.
    runtime.sleepFor(kSettle);
    load.result.receipts =
        options.platform.port == 0 ? 0 : countReceipts(runtime, options.platform);
    return load.result;
}

} // namespace basilnotch
