#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Compresses @p data in the zlib format, which is the "deflate" content coding of HTTP. */
Result<std::string> compressDeflate(std::string_view data);

/** Reverses compressDeflate(); MessageTooLarge if the result is longer than @p limit bytes. */
Result<std::string> decompressDeflate(std::string_view data, std::size_t limit);

} // namespace foxtailtally
