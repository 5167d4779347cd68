// Explains to operators where a request would go now and why. Nothing is sent to an upstream and no
// state changes.
#pragma once

#include "RelayContext.h"

#include <runtime/HttpServer.h>

namespace basilnotch {

/// Answers a POST whose body is a JSON object: `host` and `path`, and optionally `workspace` or
/// `key`, `session`, `request` (its id), `model`, `prompt` (a list of `id` and `tokens`) and
/// `failed` (ids of upstreams that have failed the request). The answer is a JSON object and never
/// has a key in it. On the traffic thread.
HttpResponse explainRoute(const HttpRequest &request, RelayContext &context);

} // namespace basilnotch
