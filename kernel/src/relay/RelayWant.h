// What a request wants of an upstream: which service, version and prompt affinity.
#pragma once

#include "RelayRequest.h"
#include "UpstreamDesk.h"

#include <string>
#include <vector>

namespace basilnotch {

/// Prompt tokens that other requests share.
int sharedTokens(const CallerHeaders &caller);

/// `model`: the one that is asked; `avoid`: upstreams that have failed the request. `request` and
/// `context` must outlive what is returned.
UpstreamWant wantFor(const RelayRequest &request, const std::string &model,
                     std::vector<std::string> avoid, const RelayContext &context);

} // namespace basilnotch
