#include "peers/http/deflate.h"

#include <algorithm>
#include <array>
#include <zlib.h>

namespace foxtailtally {

namespace {

/** Size of the buffer for decompressed data, in bytes. */
constexpr std::size_t kChunkBytes = std::size_t {64} << 10;

} // namespace

Result<std::string> compressDeflate(std::string_view data)
{
    uLongf size = compressBound(data.size());
    std::string result(size, '\0');
    // The fastest level already compresses configurations to an eighth; few CPUs can spare more.
    const int status =
        compress2(reinterpret_cast<Bytef *>(result.data()), &size,
                  reinterpret_cast<const Bytef *>(data.data()), data.size(), Z_BEST_SPEED);
    if (status != Z_OK)
        return Error::Internal;
    result.resize(size);
    return result;
}

Result<std::string> decompressDeflate(std::string_view data, std::size_t limit)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK)
        return Error::Internal;
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(data.data()));
    stream.avail_in = static_cast<uInt>(data.size());
    std::string result;
    std::string chunk(kChunkBytes, '\0');
    int status = Z_OK;
    while (status == Z_OK && result.size() <= limit) {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = inflate(&stream, Z_NO_FLUSH);
        result.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result.size() > limit)
        return Error::MessageTooLarge;
    if (status != Z_STREAM_END)
        return Error::MessageMalformed;
    return result;
}

} // namespace foxtailtally
