#include "standins/lib/tcp_socket.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr int kBacklog = 1024;

bool parseAddress(const std::string &text, std::uint16_t port, sockaddr_in &address)
{
    address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    return inet_pton(AF_INET, text.c_str(), &address.sin_addr) == 1;
}

/** Disables Nagle's algorithm: a token is far smaller than a segment and must not be delayed. */
void disableDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

TcpSocket::TcpSocket(TcpSocket &&other) noexcept
    : descriptor(std::exchange(other.descriptor, -1))
{ }

TcpSocket &TcpSocket::operator=(TcpSocket &&other) noexcept
{
    if (this != &other) {
        this->close();
        this->descriptor = std::exchange(other.descriptor, -1);
    }
    return *this;
}

TcpSocket::~TcpSocket()
{
    this->close();
}

void TcpSocket::close()
{
    if (this->descriptor >= 0) {
        ::close(std::exchange(this->descriptor, -1));
    }
}

Result<TcpSocket> TcpSocket::listen(const std::string &address, std::uint16_t port)
{
    sockaddr_in local {};
    TcpSocket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen() || !parseAddress(address, port, local)) {
        return Error::ConnectionFailed;
    }
    const int on = 1;
    setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(socket.get(), reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0
        || ::listen(socket.get(), kBacklog) != 0) {
        return Error::ConnectionFailed;
    }
    return socket;
}

Result<TcpSocket> TcpSocket::connect(std::string_view target)
{
    const std::size_t colon = target.rfind(':');
    int port = 0;
    sockaddr_in remote {};
    if (colon == std::string_view::npos
        || !absl::SimpleAtoi(std::string(target.substr(colon + 1)), &port) || port <= 0
        || port > UINT16_MAX
        || !parseAddress(std::string(target.substr(0, colon)), static_cast<std::uint16_t>(port),
                         remote)) {
        return Error::ConnectionFailed;
    }
    TcpSocket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen()) {
        return Error::ConnectionFailed;
    }
    disableDelay(socket.get());
    if (::connect(socket.get(), reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) != 0
        && errno != EINPROGRESS) {
        return Error::ConnectionFailed;
    }
    return socket;
}

TcpSocket TcpSocket::accept() const
{
    TcpSocket socket(::accept4(this->descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.isOpen()) {
        disableDelay(socket.get());
    }
    return socket;
}

std::uint16_t TcpSocket::localPort() const
{
    sockaddr_in local {};
    socklen_t length = sizeof(local);
    if (::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&local), &length) != 0) {
        return 0;
    }
    return ntohs(local.sin_port);
}

} // namespace foxtailtally
