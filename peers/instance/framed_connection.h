#pragma once

#include "core/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace foxtailtally {

/** One non-blocking TCP connection that carries frames with a 32-bit length prefix. */
class FramedConnection
{
public:
    /** Takes over @p socket. @p connecting is true until the first writable event. */
    FramedConnection(int socket, bool connecting);
    ~FramedConnection();
    FramedConnection(const FramedConnection &) = delete;
    FramedConnection &operator=(const FramedConnection &) = delete;

    /** Starts a connection to "ip:port". */
    static Result<int> connectTo(const std::string &address);

    int descriptor() const { return this->socket; }
    bool wantsWrite() const;

    /** Queues a frame. Error: MessageTooLarge when the peer does not read its data. */
    std::error_code queueFrame(std::string_view frame);
    /** Sends as much as the socket accepts. Error: ConnectionFailed or ConnectionLost. */
    std::error_code flush();
    /** Reads all available bytes and calls @p onFrame for each complete frame. */
    std::error_code receive(const std::function<void(std::string_view frame)> &onFrame);

private:
    int socket;
    bool connecting;
    std::string output;
    std::size_t outputOffset = 0;
    std::string input;
};

} // namespace foxtailtally
