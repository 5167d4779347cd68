// Reads a chat request and runs it.
#include "ChatApi.h"

#include "ChatRun.h"

namespace basilnotch {

ChatApi::ChatApi(TrafficContext &context, std::uint64_t seed)
    : context(context)
    , state{{}, std::mt19937_64(seed), 0, context.clock.now()}
{ }

void ChatApi::handle(HttpExchange &exchange, const std::string &workspace)
{
    auto read = readChatRequest(exchange.request(), workspace, this->context.settings.sessionKey);
    if (const Refusal *refusal = std::get_if<Refusal>(&read)) {
        this->context.metrics.counter("requests_refused_total{type=\"" + refusal->type + "\"}")
            .add();
        (void)exchange.respond(refusal->response());
        return;
    }
    ChatRun run(this->context, this->state, exchange, std::get<ChatRequest>(std::move(read)));
    run.run();
}

} // namespace basilnotch
