#pragma once

#include <string>
#include <string_view>

namespace foxtailtally {

/** Writes @p text to @p file; does nothing if the name is empty. Prints errors to stderr. */
bool writeReportFile(const std::string &file, std::string_view text);

} // namespace foxtailtally
