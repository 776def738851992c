#include "peers/instance/instance_transport.h"

#include "core/clock.h"
#include "core/lock.h"
#include "core/socket_address.h"
#include "core/thread.h"
#include "peers/instance/framed_connection.h"

#include <absl/container/flat_hash_map.h>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace foxtailtally {

namespace {

constexpr int kPollMilliseconds = 100;
constexpr int kEventsAtOnce = 64;
constexpr int kSocketBufferBytes = 1 << 20;

int openListener(int type, const sockaddr_in &address)
{
    const int socket = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return -1;
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return socket;
    ::close(socket);
    return -1;
}

} // namespace

class InstanceTransport::Implementation
{
public:
    Implementation(InstanceTransportOptions options, Handler handler, Metrics &metrics)
        : options(std::move(options))
        , handler(std::move(handler))
        , metrics(metrics)
        , key(this->options.secret)
    { }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    ~Implementation()
    {
        this->stopping.store(true);
        this->wake();
        this->thread.join();
        this->peers.clear();
        this->connections.clear();
        for (const int descriptor : {this->udp, this->listener, this->epoll, this->wakeup}) {
            if (descriptor >= 0)
                ::close(descriptor);
        }
        pthread_mutex_destroy(&this->mutex);
    }

    bool start()
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(this->options.port);
        if (inet_pton(AF_INET, this->options.address.c_str(), &address.sin_addr) != 1)
            return false;
        this->listener = openListener(SOCK_STREAM, address);
        if (this->listener < 0 || ::listen(this->listener, SOMAXCONN) != 0)
            return false;
        socklen_t size = sizeof address;
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size);
        this->boundPort = ntohs(address.sin_port);
        this->udp = openListener(SOCK_DGRAM, address);
        if (this->udp < 0)
            return false;
        ::setsockopt(this->udp, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
                     sizeof kSocketBufferBytes);
        this->epoll = ::epoll_create1(EPOLL_CLOEXEC);
        this->wakeup = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        for (const int descriptor : {this->udp, this->listener, this->wakeup})
            this->watch(descriptor, EPOLL_CTL_ADD, EPOLLIN);
        this->thread = Thread("peer-transport", [this] { this->run(); });
        return true;
    }

    std::uint16_t port() const { return this->boundPort; }

    void sendDatagram(const std::string &address, MessageKind kind, std::string payload)
    {
        sockaddr_in target {};
        const std::string bytes = this->pack(kind, 0, std::move(payload));
        if (bytes.size() > kMaxDatagramBytes || !parseAddress(address, target)) {
            this->countDrop(Error::MessageTooLarge);
            return;
        }
        (void)::sendto(this->udp, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                       reinterpret_cast<const sockaddr *>(&target), sizeof target);
    }

    void post(std::function<void()> task)
    {
        {
            const Lock lock(this->mutex);
            this->tasks.push_back(std::move(task));
        }
        this->wake();
    }

    void sendTo(const std::string &address, MessageKind kind, std::string payload,
                absl::Duration timeout, Callback callback)
    {
        const std::uint64_t correlation = callback ? this->nextCorrelation++ : 0;
        const std::string frame = this->pack(kind, correlation, std::move(payload));
        Peer *peer = this->peerAt(address);
        if (peer == nullptr || peer->connection->queueFrame(frame)) {
            if (callback)
                callback(Error::ConnectionFailed);
            return;
        }
        if (callback)
            peer->calls[correlation] = {Clock::now() + timeout, std::move(callback)};
        this->flushConnection(peer->connection->descriptor());
    }

private:
    struct Call
    {
        absl::Time deadline;
        Callback callback;
    };

    /** An outgoing connection with the calls that await a reply on it. */
    struct Peer
    {
        std::shared_ptr<FramedConnection> connection;
        absl::flat_hash_map<std::uint64_t, Call> calls;
    };

    std::string pack(MessageKind kind, std::uint64_t correlation, std::string payload) const
    {
        return packEnvelope(
            {kind, this->options.self, this->options.incarnation, correlation, std::move(payload)},
            this->key);
    }

    void countDrop(std::error_code error)
    {
        this->metrics
            .counter("foxtailtally_peer_messages_dropped_total", {{"error", errorName(error)}})
            .add();
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        (void)!::write(this->wakeup, &one, sizeof one);
    }

    void watch(int descriptor, int operation, std::uint32_t events) const
    {
        epoll_event event {};
        event.events = events;
        event.data.fd = descriptor;
        ::epoll_ctl(this->epoll, operation, descriptor, &event);
    }

    Peer *peerAt(const std::string &address)
    {
        const auto found = this->peers.find(address);
        if (found != this->peers.end())
            return &found->second;
        const Result<int> socket = FramedConnection::connectTo(address);
        if (!socket.ok())
            return nullptr;
        auto connection = std::make_shared<FramedConnection>(*socket, true);
        this->connections[*socket] = connection;
        this->addressOf[*socket] = address;
        this->watch(*socket, EPOLL_CTL_ADD, EPOLLIN | EPOLLOUT);
        Peer &peer = this->peers[address];
        peer.connection = std::move(connection);
        return &peer;
    }

    void run()
    {
        while (!this->stopping.load()) {
            std::array<epoll_event, kEventsAtOnce> events {};
            const int count =
                ::epoll_wait(this->epoll, events.data(), kEventsAtOnce, kPollMilliseconds);
            for (int i = 0; i < count; ++i)
                this->onEvent(events[static_cast<std::size_t>(i)]);
            this->runTasks();
            this->expireCalls(Clock::now());
        }
    }

    void onEvent(const epoll_event &event)
    {
        const int descriptor = event.data.fd;
        if (descriptor == this->wakeup) {
            std::uint64_t ignored = 0;
            (void)!::read(this->wakeup, &ignored, sizeof ignored);
            return;
        }
        if (descriptor == this->udp)
            return this->receiveDatagrams();
        if (descriptor == this->listener)
            return this->acceptConnections();
        if ((event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
            this->receiveFrames(descriptor);
        if ((event.events & EPOLLOUT) != 0)
            this->flushConnection(descriptor);
    }

    void runTasks()
    {
        std::vector<std::function<void()>> ready;
        {
            const Lock lock(this->mutex);
            ready.swap(this->tasks);
        }
        for (const std::function<void()> &task : ready)
            task();
    }

    void receiveDatagrams()
    {
        std::array<char, kMaxDatagramBytes + 1> buffer;
        while (true) {
            const ssize_t size = ::recv(this->udp, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size < 0)
                return;
            const auto envelope = unpackEnvelope(
                std::string_view(buffer.data(), static_cast<std::size_t>(size)), this->key);
            if (envelope.ok())
                this->handler(*envelope, nullptr);
            else
                this->countDrop(envelope.error());
        }
    }

    void acceptConnections()
    {
        while (true) {
            const int socket =
                ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            this->connections[socket] = std::make_shared<FramedConnection>(socket, false);
            this->watch(socket, EPOLL_CTL_ADD, EPOLLIN);
        }
    }

    void receiveFrames(int descriptor)
    {
        const auto found = this->connections.find(descriptor);
        if (found == this->connections.end())
            return;
        const std::shared_ptr<FramedConnection> connection = found->second;
        const std::error_code error =
            connection->receive([&](std::string_view frame) { this->onFrame(connection, frame); });
        if (error)
            this->drop(descriptor, error);
    }

    void onFrame(const std::shared_ptr<FramedConnection> &connection, std::string_view frame)
    {
        const auto envelope = unpackEnvelope(frame, this->key);
        if (!envelope.ok()) {
            this->countDrop(envelope.error());
            return;
        }
        const auto address = this->addressOf.find(connection->descriptor());
        if (address != this->addressOf.end())
            return this->onReply(this->peers[address->second], *envelope);
        this->handler(*envelope, this->replyFor(connection, envelope->correlation));
    }

    void onReply(Peer &peer, const Envelope &envelope)
    {
        const auto call = peer.calls.find(envelope.correlation);
        if (call == peer.calls.end())
            return;
        const Callback callback = std::move(call->second.callback);
        peer.calls.erase(call);
        callback(envelope);
    }

    Reply replyFor(const std::shared_ptr<FramedConnection> &connection, std::uint64_t correlation)
    {
        if (correlation == 0)
            return nullptr;
        return [this, weak = std::weak_ptr<FramedConnection>(connection),
                correlation](MessageKind kind, std::string payload) {
            this->post([this, weak, correlation, kind, payload = std::move(payload)] {
                const std::shared_ptr<FramedConnection> target = weak.lock();
                if (target == nullptr)
                    return;
                if (!target->queueFrame(this->pack(kind, correlation, payload)))
                    this->flushConnection(target->descriptor());
            });
        };
    }

    void flushConnection(int descriptor)
    {
        const auto found = this->connections.find(descriptor);
        if (found == this->connections.end())
            return;
        FramedConnection &connection = *found->second;
        const std::error_code error = connection.flush();
        if (error)
            return this->drop(descriptor, error);
        const std::uint32_t events = connection.wantsWrite() ? EPOLLIN | EPOLLOUT : EPOLLIN;
        this->watch(descriptor, EPOLL_CTL_MOD, events);
    }

    void drop(int descriptor, std::error_code error)
    {
        this->watch(descriptor, EPOLL_CTL_DEL, 0);
        const auto found = this->connections.find(descriptor);
        if (found == this->connections.end())
            return;
        const std::shared_ptr<FramedConnection> connection = std::move(found->second);
        this->connections.erase(found);
        const auto address = this->addressOf.find(descriptor);
        if (address == this->addressOf.end())
            return;
        Peer peer = std::move(this->peers[address->second]);
        this->peers.erase(address->second);
        this->addressOf.erase(address);
        for (auto &[correlation, call] : peer.calls)
            call.callback(error);
    }

    void expireCalls(absl::Time now)
    {
        std::vector<Callback> expired;
        for (auto &[address, peer] : this->peers) {
            for (auto call = peer.calls.begin(); call != peer.calls.end();) {
                const auto current = call++;
                if (now < current->second.deadline)
                    continue;
                expired.push_back(std::move(current->second.callback));
                peer.calls.erase(current);
            }
        }
        for (const Callback &callback : expired)
            callback(Error::Timeout);
    }

    InstanceTransportOptions options;
    Handler handler;
    Metrics &metrics;
    InstanceKey key;
    int udp = -1;
    int listener = -1;
    int epoll = -1;
    int wakeup = -1;
    std::uint16_t boundPort = 0;
    std::atomic<bool> stopping {false};
    pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    std::vector<std::function<void()>> tasks;
    // The members below are accessed by the transport's thread only.
    std::uint64_t nextCorrelation = 1;
    absl::flat_hash_map<int, std::shared_ptr<FramedConnection>> connections;
    absl::flat_hash_map<int, std::string> addressOf;
    absl::flat_hash_map<std::string, Peer> peers;
    Thread thread;
};

Result<std::unique_ptr<InstanceTransport>>
InstanceTransport::start(const InstanceTransportOptions &options, Handler handler, Metrics &metrics)
{
    auto implementation = std::make_unique<Implementation>(options, std::move(handler), metrics);
    if (!implementation->start())
        return Error::ConnectionFailed;
    return std::unique_ptr<InstanceTransport>(new InstanceTransport(std::move(implementation)));
}

InstanceTransport::InstanceTransport(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{ }

InstanceTransport::~InstanceTransport() = default;

void InstanceTransport::sendDatagram(const std::string &address, MessageKind kind,
                                     std::string payload)
{
    this->implementation->sendDatagram(address, kind, std::move(payload));
}

void InstanceTransport::send(const std::string &address, MessageKind kind, std::string payload)
{
    this->implementation->post([this, address, kind, payload = std::move(payload)]() mutable {
        this->implementation->sendTo(address, kind, std::move(payload), absl::ZeroDuration(),
                                     nullptr);
    });
}

void InstanceTransport::call(const std::string &address, MessageKind kind, std::string payload,
                             absl::Duration timeout, Callback callback)
{
    this->implementation->post([this, address, kind, payload = std::move(payload), timeout,
                                callback = std::move(callback)]() mutable {
        this->implementation->sendTo(address, kind, std::move(payload), timeout,
                                     std::move(callback));
    });
}

std::uint16_t InstanceTransport::port() const
{
    return this->implementation->port();
}

} // namespace foxtailtally
