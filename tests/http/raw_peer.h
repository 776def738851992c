#pragma once

#include <functional>
#include <string>

namespace foxtailtally {

/** A listening socket on the loopback address whose connections a test reads and writes raw. */
class RawServer
{
public:
    RawServer();
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::string address() const;
    /** Takes the next connection; negative when none has come. */
    int accept() const;

private:
    int socket = -1;
    int port = 0;
};

/** Connects to @p port of the loopback address. */
int connectTo(int port);
/** What has arrived on @p socket so far. */
std::string readAvailable(int socket);
void writeAll(int socket, const std::string &text);
/** True when the other side has closed. */
bool isClosedByPeer(int socket);
/** Closes with a reset. */
void resetConnection(int socket);

} // namespace foxtailtally
