#include "tests/http/raw_peer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {

namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

} // namespace

RawServer::RawServer()
    : socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
    sockaddr_in address = loopback(0);
    ::bind(this->socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
    ::listen(this->socket, 16);
    socklen_t size = sizeof address;
    ::getsockname(this->socket, reinterpret_cast<sockaddr *>(&address), &size);
    this->port = ntohs(address.sin_port);
}

RawServer::~RawServer()
{
    ::close(this->socket);
}

std::string RawServer::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

int RawServer::accept() const
{
    return ::accept4(this->socket, nullptr, nullptr, SOCK_NONBLOCK);
}

int connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    return socket;
}

std::string readAvailable(int socket, std::size_t most)
{
    std::string text;
    std::array<char, 4096> buffer {};
    while (text.size() < most) {
        const std::size_t room = std::min(buffer.size(), most - text.size());
        const ssize_t size = ::recv(socket, buffer.data(), room, MSG_DONTWAIT);
        if (size <= 0)
            break;
        text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
}

void writeAll(int socket, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t size = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return;
        sent += static_cast<std::size_t>(size);
    }
}

bool isClosedByPeer(int socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return size == 0 || (size < 0 && errno != EAGAIN);
}

void resetConnection(int socket)
{
    const linger immediately {1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    ::close(socket);
}

} // namespace foxtailtally
