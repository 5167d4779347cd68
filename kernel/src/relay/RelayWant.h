// What a request wants of an upstream: which service, version and prompt affinity.
#pragma once

#include "RelayRequest.h"
#include "UpstreamDesk.h"

#include <string>
#include <vector>

namespace basilnotch {

/// Prompt tokens that other requests share.
int sharedTokens(const CallerHeaders &caller);

/// Which versions of the service the request may use, by the roll-out of `view` if there is one.
VersionFilter versionsFor(const RelayRequest &request, const SiteView &view, TimePoint now);

/// `model`: the one that is asked; `avoid`: upstreams that have failed the request. `request` and
/// `context` must outlive what is returned.
UpstreamWant wantFor(const RelayRequest &request, const std::string &model,
                     std::vector<std::string> avoid, const RelayContext &context);

} // namespace basilnotch
