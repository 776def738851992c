#pragma once

#include <string_view>
#include <system_error>

namespace foxtailtally {

/** Meaning of an engine's answer with a status other than 2xx; zero for 2xx. */
std::error_code engineError(int status, std::string_view body);

/** Whether @p error says that the engine refused a completion before it started. */
bool isEngineRefusal(const std::error_code &error);

} // namespace foxtailtally
