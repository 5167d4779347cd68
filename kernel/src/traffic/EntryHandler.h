// Finds the handler of a request and checks keys.
#pragma once

#include "AdminApi.h"
#include "ChatApi.h"
#include "EntriesApi.h"
#include "ServiceApi.h"
#include "TrafficContext.h"

#include <runtime/HttpServer.h>

#include <map>
#include <string>

namespace basilnotch {

/// Traffic thread only.
class EntryHandler final : public HttpHandler
{
public:
    EntryHandler(TrafficContext &context, std::uint64_t seed);

    void handle(HttpExchange &exchange) override;
    HttpResponse malformed(int status, std::string_view text) override;

private:
    void dispatch(HttpExchange &exchange);
    bool handleOpen(HttpExchange &exchange);
    void handleForWorkspace(HttpExchange &exchange);
    HttpResponse readiness() const;

    TrafficContext &context;
    ChatApi chat;
    ServiceApi services;
    EntriesApi entries;
    AdminApi admin;
    std::map<std::string, std::string, std::less<>> workspaceByKey;
};

} // namespace basilnotch
