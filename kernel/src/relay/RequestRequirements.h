// Derives the upstream requirements of a request: service, version and prompt cache affinity.
#pragma once

#include "AdmittedRequest.h"
#include "UpstreamScheduler.h"

#include <string>
#include <vector>

namespace basilnotch {

/// Number of prompt tokens that the request shares with other requests.
int sharedPromptTokens(const CallerHeaders &caller);

/// Requirements of `request` when it is sent to `model`. `excludedUpstreams` lists upstreams that
/// have already failed the request. `request` and `context` must outlive the returned value.
UpstreamRequirements requirementsFor(const AdmittedRequest &request, const std::string &model,
                                     std::vector<std::string> excludedUpstreams,
                                     const RelayContext &context);
/// The same with another account of the initial quota, which the requirements may use up.
UpstreamRequirements requirementsFor(const AdmittedRequest &request, const std::string &model,
                                     std::vector<std::string> excludedUpstreams,
                                     const RelayContext &context,
                                     RolloutInitialQuota &initialQuota);

} // namespace basilnotch
