// Registers the platform adapters.
#include <kernel/Plugins.h>

#include <platform/HttpPlatform.h>

namespace basilnotch {

namespace {

const PlatformRegistration kHttp("http", [](const PlatformContext &context) {
    return makeHttpPlatform(*context.client, context.settings);
});

} // namespace

} // namespace basilnotch
