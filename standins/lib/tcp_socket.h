#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Owns a socket descriptor; the balancer also uses it for epoll and event descriptors. */
class TcpSocket
{
public:
    TcpSocket() = default;
    explicit TcpSocket(int descriptor)
        : descriptor(descriptor)
    { }
    TcpSocket(TcpSocket &&other) noexcept;
    TcpSocket &operator=(TcpSocket &&other) noexcept;
    TcpSocket(const TcpSocket &) = delete;
    TcpSocket &operator=(const TcpSocket &) = delete;
    ~TcpSocket();

    int get() const { return this->descriptor; }
    bool isOpen() const { return this->descriptor >= 0; }
    void close();

    /** Non-blocking listening socket; port 0 lets the system choose. */
    static Result<TcpSocket> listen(const std::string &address, std::uint16_t port);
    /** Non-blocking socket connecting to "ip:port"; becomes writable once connected. */
    static Result<TcpSocket> connect(std::string_view target);
    /** Accepted non-blocking connection; not open if none is pending. */
    TcpSocket accept() const;
    std::uint16_t localPort() const;

private:
    int descriptor = -1;
};

} // namespace foxtailtally
