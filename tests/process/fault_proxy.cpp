#include "tests/process/fault_proxy.h"

#include "core/socket_address.h"

#include <absl/time/clock.h>
#include <array>
#include <cerrno>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace foxtailtally {

namespace {

constexpr int kPollMs = 2;
constexpr int kBacklog = 128;

sockaddr_in parsed(const std::string &address)
{
    sockaddr_in result {};
    if (!parseAddress(address, result))
        throw std::runtime_error("not an address: " + address);
    return result;
}

int newSocket()
{
    return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

FaultProxy::FaultProxy(const std::string &address, const std::string &targetAddress)
    : listenAddress(address)
    , targetAddress(targetAddress)
    , listener(newSocket())
{
    const sockaddr_in own = parsed(address);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
        || ::listen(this->listener, kBacklog) != 0)
        throw std::runtime_error("cannot listen on " + address);
    this->thread = std::thread(&FaultProxy::run, this);
}

FaultProxy::~FaultProxy()
{
    this->isStopping = true;
    this->thread.join();
    for (Connection &connection : this->connections)
        this->close(connection, false);
    ::close(this->listener);
}

void FaultProxy::run()
{
    while (!this->isStopping) {
        std::vector<pollfd> sockets = {{this->listener, POLLIN, 0}};
        for (const Connection &connection : this->connections) {
            if (!connection.request.hasEnded)
                sockets.push_back({connection.caller, POLLIN, 0});
            if (!connection.response.hasEnded)
                sockets.push_back({connection.server, POLLIN, 0});
        }
        ::poll(sockets.data(), sockets.size(), kPollMs);
        this->accept();
        const bool resets = this->isResetting.exchange(false);
        const absl::Time now = absl::Now();
        for (Connection &connection : this->connections) {
            for (Direction *direction : {&connection.request, &connection.response}) {
                this->receive(*direction, connection);
                this->forward(*direction, connection, now);
            }
            connection.isBroken = connection.isBroken || resets;
        }
        this->connections.remove_if([this](Connection &connection) {
            const bool isDone =
                connection.request.isEndForwarded && connection.response.isEndForwarded;
            if (!connection.isBroken && !isDone)
                return false;
            this->close(connection, connection.isBroken);
            return true;
        });
    }
}

void FaultProxy::accept()
{
    while (true) {
        const int caller =
            ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (caller < 0)
            return;
        const sockaddr_in address = parsed(this->targetAddress);
        const int server = newSocket();
        const int error =
            ::connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        Connection connection;
        connection.isBroken = error != 0 && errno != EINPROGRESS;
        connection.caller = caller;
        connection.server = server;
        connection.request = {caller, server, false, false, false, {}};
        connection.response = {server, caller, true, false, false, {}};
        this->connections.push_back(std::move(connection));
    }
}

void FaultProxy::receive(Direction &direction, Connection &connection)
{
    std::array<char, 16384> buffer {};
    while (!direction.hasEnded && !connection.isBroken) {
        const ssize_t size = ::recv(direction.from, buffer.data(), buffer.size(), 0);
        if (size > 0)
            direction.waiting.push_back(
                {absl::Now(), std::string(buffer.data(), static_cast<std::size_t>(size))});
        else if (size == 0)
            direction.hasEnded = true;
        else if (errno == EAGAIN || errno == ENOTCONN)
            return;
        else
            connection.isBroken = true;
    }
}

void FaultProxy::forward(Direction &direction, Connection &connection, absl::Time now)
{
    while (!direction.waiting.empty()
           && this->mayForward(direction, direction.waiting.front(), now)) {
        std::string &bytes = direction.waiting.front().bytes;
        const ssize_t size = ::send(direction.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size < 0) {
            connection.isBroken = connection.isBroken || (errno != EAGAIN && errno != ENOTCONN);
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(size));
        if (!bytes.empty())
            return;
        direction.waiting.pop_front();
    }
    if (direction.hasEnded && direction.waiting.empty() && !direction.isEndForwarded) {
        ::shutdown(direction.to, SHUT_WR);
        direction.isEndForwarded = true;
    }
}

bool FaultProxy::mayForward(const Direction &direction, const Chunk &chunk, absl::Time now) const
{
    switch (this->fault.load()) {
    case LinkFault::None:
        return true;
    case LinkFault::Delay:
        return now - chunk.readAt >= kDelay;
    case LinkFault::StallBoth:
        return false;
    case LinkFault::StallResponses:
        return !direction.isTowardsCaller;
    }
    return true;
}

void FaultProxy::close(Connection &connection, bool isReset)
{
    for (const int socket : {connection.caller, connection.server}) {
        if (isReset) {
            const linger atOnce = {1, 0};
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        }
        ::close(socket);
    }
}

} // namespace foxtailtally
