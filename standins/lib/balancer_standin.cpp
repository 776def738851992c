#include "standins/lib/balancer_standin.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <tuple>
#include <utility>

namespace foxtailtally {

namespace {

/** Bytes buffered for a slow receiver; nothing is read from the sender while the pipe is full. */
constexpr std::size_t kPipeBytes = std::size_t {64} << 10;
constexpr int kMaxEvents = 256;

bool isRetryable()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

/** Reads up to kPipeBytes into @p buffer; false if the connection has failed. */
bool fill(int source, std::string &buffer, bool &isEnded)
{
    while (!isEnded && buffer.size() < kPipeBytes) {
        std::array<char, 16384> block {};
        const std::size_t room = std::min(block.size(), kPipeBytes - buffer.size());
        const ssize_t count = ::recv(source, block.data(), room, 0);
        if (count > 0) {
            buffer.append(block.data(), static_cast<std::size_t>(count));
        } else if (count == 0) {
            isEnded = true;
        } else {
            return isRetryable();
        }
    }
    return true;
}

/** Writes as much of @p buffer as the socket accepts; false if the connection has failed. */
bool drain(int target, std::string &buffer)
{
    while (!buffer.empty()) {
        const ssize_t count = ::send(target, buffer.data(), buffer.size(), MSG_NOSIGNAL);
        if (count < 0) {
            return isRetryable();
        }
        buffer.erase(0, static_cast<std::size_t>(count));
    }
    return true;
}

} // namespace

Result<std::unique_ptr<BalancerStandin>> BalancerStandin::start(const BalancerOptions &options,
                                                                std::vector<std::string> backends)
{
    Result<TcpSocket> listener = TcpSocket::listen(options.address, options.port);
    if (!listener.ok()) {
        return listener.error();
    }
    return std::unique_ptr<BalancerStandin>(
        new BalancerStandin(std::move(*listener), std::move(backends), options.pollInterval));
}

BalancerStandin::BalancerStandin(TcpSocket listener, std::vector<std::string> backends,
                                 absl::Duration pollInterval)
    : listener(std::move(listener))
    , poller(std::move(backends), pollInterval)
    , events(::epoll_create1(EPOLL_CLOEXEC))
    , wakeup(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    for (const int descriptor : {this->listener.get(), this->wakeup.get()}) {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.fd = descriptor;
        ::epoll_ctl(this->events.get(), EPOLL_CTL_ADD, descriptor, &event);
    }
    this->thread = Thread("balancer", [this] { this->run(); });
}

BalancerStandin::~BalancerStandin()
{
    this->isStopping.store(true);
    ::eventfd_write(this->wakeup.get(), 1);
    this->thread.join();
}

void BalancerStandin::run()
{
    std::array<epoll_event, kMaxEvents> ready {};
    while (!this->isStopping.load()) {
        const int count = ::epoll_wait(this->events.get(), ready.data(), kMaxEvents, -1);
        for (int i = 0; i < count; ++i) {
            const int descriptor = ready.at(static_cast<std::size_t>(i)).data.fd;
            if (descriptor == this->listener.get()) {
                this->acceptAll();
                continue;
            }
            const auto found = this->connections.find(descriptor);
            if (found == this->connections.end()) {
                continue;
            }
            const std::shared_ptr<Connection> connection = found->second;
            if (this->forward(*connection)) {
                this->watch(*connection);
                continue;
            }
            this->connections.erase(connection->client.get());
            this->connections.erase(connection->backend.get());
        }
    }
}

void BalancerStandin::acceptAll()
{
    while (true) {
        TcpSocket client = this->listener.accept();
        if (!client.isOpen()) {
            return;
        }
        const std::string target = this->poller.pick();
        if (target.empty()) {
            continue;
        }
        Result<TcpSocket> backend = TcpSocket::connect(target);
        if (!backend.ok()) {
            continue;
        }
        auto connection = std::make_shared<Connection>();
        connection->client = std::move(client);
        connection->backend = std::move(*backend);
        this->connections[connection->client.get()] = connection;
        this->connections[connection->backend.get()] = connection;
        this->watch(*connection);
    }
}

bool BalancerStandin::forward(Connection &connection)
{
    const int client = connection.client.get();
    const int backend = connection.backend.get();
    if (!connection.isBackendConnected) {
        int failure = 0;
        socklen_t length = sizeof(failure);
        ::getsockopt(backend, SOL_SOCKET, SO_ERROR, &failure, &length);
        sockaddr_storage peer {};
        socklen_t peerLength = sizeof(peer);
        if (failure != 0) {
            return false;
        }
        if (::getpeername(backend, reinterpret_cast<sockaddr *>(&peer), &peerLength) != 0) {
            return errno == ENOTCONN;
        }
        connection.isBackendConnected = true;
    }
    for (auto [source, target, pipe] : {std::tuple(client, backend, &connection.request),
                                        std::tuple(backend, client, &connection.response)}) {
        if (!fill(source, pipe->buffer, pipe->isEnded) || !drain(target, pipe->buffer)) {
            return false;
        }
        if (pipe->isEnded && pipe->buffer.empty() && !pipe->isEndForwarded) {
            pipe->isEndForwarded = true;
            ::shutdown(target, SHUT_WR);
        }
    }
    // The connection is closed at the end of the response, not at the end of the request: a client
    // that has shut down its sending side still reads.
    return !connection.response.isEndForwarded;
}

void BalancerStandin::watch(const Connection &connection) const
{
    const auto interest = [](const Pipe &incoming, const Pipe &outgoing) {
        std::uint32_t wanted = 0;
        if (!incoming.isEnded && incoming.buffer.size() < kPipeBytes) {
            wanted |= EPOLLIN;
        }
        if (!outgoing.buffer.empty()) {
            wanted |= EPOLLOUT;
        }
        return wanted;
    };
    this->setInterest(connection.client.get(), interest(connection.request, connection.response));
    const std::uint32_t connecting = connection.isBackendConnected ? 0U : EPOLLOUT;
    this->setInterest(connection.backend.get(),
                      interest(connection.response, connection.request) | connecting);
}

void BalancerStandin::setInterest(int descriptor, std::uint32_t events) const
{
    epoll_event event {};
    event.events = events;
    event.data.fd = descriptor;
    if (events == 0) {
        // epoll reports EPOLLHUP even for an empty event mask, which would make the loop spin.
        ::epoll_ctl(this->events.get(), EPOLL_CTL_DEL, descriptor, nullptr);
        return;
    }
    if (::epoll_ctl(this->events.get(), EPOLL_CTL_MOD, descriptor, &event) != 0) {
        ::epoll_ctl(this->events.get(), EPOLL_CTL_ADD, descriptor, &event);
    }
}

} // namespace foxtailtally
