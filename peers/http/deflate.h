#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace foxtailtally {

/** @p data in zlib's form, as HTTP's "deflate" encoding. */
Result<std::string> compressDeflate(std::string_view data);

/** What deflated() was given; MessageTooLarge beyond @p limit bytes. */
Result<std::string> decompressDeflate(std::string_view data, std::size_t limit);

} // namespace foxtailtally
