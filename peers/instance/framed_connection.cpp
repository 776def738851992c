#include "peers/instance/framed_connection.h"

#include "core/socket_address.h"
#include "peers/instance/envelope.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {

namespace {

/** A peer that leaves this much unread is treated as lost. */
constexpr std::size_t kMaxQueuedBytes = std::size_t {8} << 20;
constexpr std::size_t kReadChunkBytes = 65536;
constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);

bool wouldBlock(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

FramedConnection::FramedConnection(int socket, bool connecting)
    : socket(socket)
    , connecting(connecting)
{ }

FramedConnection::~FramedConnection()
{
    ::close(this->socket);
}

Result<int> FramedConnection::connectTo(const std::string &address)
{
    sockaddr_in target {};
    if (!parseAddress(address, target))
        return Error::ConnectionFailed;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return Error::ConnectionFailed;
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int result =
        ::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    if (result < 0 && errno != EINPROGRESS) {
        ::close(socket);
        return Error::ConnectionFailed;
    }
    return socket;
}

bool FramedConnection::wantsWrite() const
{
    return this->connecting || this->outputOffset < this->output.size();
}

std::error_code FramedConnection::queueFrame(std::string_view frame)
{
    if (this->output.size() - this->outputOffset + frame.size() > kMaxQueuedBytes)
        return Error::MessageTooLarge;
    const auto length = static_cast<std::uint32_t>(frame.size());
    std::array<char, kLengthBytes> prefix {};
    std::memcpy(prefix.data(), &length, kLengthBytes);
    this->output.append(prefix.data(), prefix.size());
    this->output.append(frame);
    return {};
}

std::error_code FramedConnection::flush()
{
    if (this->connecting) {
        int failure = 0;
        socklen_t size = sizeof failure;
        ::getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &failure, &size);
        if (failure != 0)
            return Error::ConnectionFailed;
        this->connecting = false;
    }
    while (this->outputOffset < this->output.size()) {
        const ssize_t sent = ::send(this->socket, this->output.data() + this->outputOffset,
                                    this->output.size() - this->outputOffset, MSG_NOSIGNAL);
        if (sent < 0)
            return wouldBlock(errno) ? std::error_code() : make_error_code(Error::ConnectionLost);
        this->outputOffset += static_cast<std::size_t>(sent);
    }
    this->output.clear();
    this->outputOffset = 0;
    return {};
}

std::error_code
FramedConnection::receive(const std::function<void(std::string_view frame)> &onFrame)
{
    std::array<char, kReadChunkBytes> chunk;
    const ssize_t received = ::recv(this->socket, chunk.data(), chunk.size(), 0);
    if (received == 0)
        return Error::ConnectionLost;
    if (received < 0)
        return wouldBlock(errno) ? std::error_code() : make_error_code(Error::ConnectionLost);
    this->input.append(chunk.data(), static_cast<std::size_t>(received));
    std::size_t position = 0;
    while (this->input.size() - position >= kLengthBytes) {
        std::uint32_t length = 0;
        std::memcpy(&length, this->input.data() + position, kLengthBytes);
        if (length > kMaxFrameBytes)
            return Error::MessageTooLarge;
        if (this->input.size() - position - kLengthBytes < length)
            break;
        onFrame(std::string_view(this->input).substr(position + kLengthBytes, length));
        position += kLengthBytes + length;
    }
    this->input.erase(0, position);
    return {};
}

} // namespace foxtailtally
