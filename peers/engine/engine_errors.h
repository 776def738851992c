#pragma once

#include <string_view>
#include <system_error>

namespace foxtailtally {

/** Error for an engine's response with a status other than 2xx; no error for 2xx. */
std::error_code engineError(int status, std::string_view body);

/** Whether @p error means that the engine refused a completion before starting on it. */
bool isEngineRefusal(const std::error_code &error);

} // namespace foxtailtally
