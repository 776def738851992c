#pragma once

#include <string>
#include <string_view>

namespace foxtailtally {

/** Writes @p text to @p file; an empty name is no file and succeeds. Errors go to standard error.
 */
bool writeReportFile(const std::string &file, std::string_view text);

} // namespace foxtailtally
