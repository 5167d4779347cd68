// What a request wants of an upstream: which service, version and prompt affinity.
#pragma once

#include "AdmittedRequest.h"
#include "UpstreamScheduler.h"

#include <string>
#include <vector>

namespace basilnotch {

/// Prompt tokens that other requests share.
int sharedTokens(const CallerHeaders &caller);

/// `model`: the one that is asked; `avoid`: upstreams that have failed the request. `request` and
/// `context` must outlive what is returned.
UpstreamRequirements requirementsFor(const AdmittedRequest &request, const std::string &model,
                                     std::vector<std::string> avoid, const RelayContext &context);

} // namespace basilnotch
