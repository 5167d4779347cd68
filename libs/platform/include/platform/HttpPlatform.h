// The platform's published HTTP/JSON protocol (docs/PLATFORM.md).
#pragma once

#include <platform/TableService.h>
#include <settings/Settings.h>

#include <memory>

namespace basilnotch {

class HttpClient;

/// Adapter named "http". `client` must outlive it; used on the client's thread only.
std::unique_ptr<Platform> makeHttpPlatform(HttpClient &client, const PlatformSettings &settings);

} // namespace basilnotch
