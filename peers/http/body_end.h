#pragma once

#include <cstddef>
#include <cstdint>

namespace foxtailtally {

/** Whether a body without a length is complete after the peer has closed its connection. */
enum class BodyEnd : std::uint8_t { Complete, Undecided, Broken };

/**
 * Judges the end of a body that ended with the connection of @p socket. A peer that no longer reads
 * resets the connection when the rest of the request arrives, so the body is complete only once the
 * peer has acknowledged all of the request. @p unwrittenBytes: bytes of the request that have not
 * been written to the socket.
 */
BodyEnd bodyEndAtClose(int socket, std::size_t unwrittenBytes);

} // namespace foxtailtally
