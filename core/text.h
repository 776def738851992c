#pragma once

#include <absl/strings/string_view.h>
#include <string_view>

namespace foxtailtally {

// Debian builds Abseil with its own string_view type, which does not convert to or from the
// standard one.

/** @p text as Abseil's functions take it. */
inline absl::string_view asAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

/** @p text as the standard library takes it. */
inline std::string_view asStd(absl::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace foxtailtally
