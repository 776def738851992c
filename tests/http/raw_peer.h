#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace foxtailtally {

/** Listening socket on the loopback address; tests read and write raw bytes on its connections. */
class RawServer
{
public:
    RawServer();
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::string address() const;
    /** Accepts the next connection; negative when none is pending. */
    int accept() const;

private:
    int socket = -1;
    int port = 0;
};

/** Connects to @p port of the loopback address. */
int connectTo(int port);
/** Reads the bytes that have arrived on @p socket so far, at most @p most. */
std::string readAvailable(int socket, std::size_t most = std::string::npos);
void writeAll(int socket, const std::string &text);
/** True when the peer has closed or reset the connection. */
bool isClosedByPeer(int socket);
/** Closes the connection with a TCP reset. */
void resetConnection(int socket);

} // namespace foxtailtally
