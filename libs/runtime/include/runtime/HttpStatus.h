// HTTP status codes that this project sends or understands.
#pragma once

namespace basilnotch::status {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kBodyTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kTooMany = 429;
constexpr int kHeadersTooLarge = 431;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

} // namespace basilnotch::status
