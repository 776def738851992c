#include "main/gateway/instance_exchange.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "core/socket_address.h"
#include "main/gateway/load_notice.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <event2/event.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace foxtailtally {

namespace {

/** Shortest time between two datagrams to the same instance, for each instance told; so the cost of
 * telling does not grow with the square of their number. */
constexpr absl::Duration kPauseForEachPeer = absl::Microseconds(150);
constexpr absl::Duration kShortestPause = absl::Milliseconds(4);

/** Time after which an instance tells again although nothing has changed. */
constexpr absl::Duration kHeartbeat = absl::Milliseconds(500);

} // namespace

InstanceExchange::InstanceExchange(event_base *base, const InstanceId &self, StreamLedger &ledger,
                                   ServerHealth &health, StoreSource &storeSource)
    : base(base)
    , self(self)
    , ledger(ledger)
    , health(health)
    , storeSource(storeSource)
    , timer(base, [this] { this->send(); })
{ }

InstanceExchange::~InstanceExchange()
{
    if (this->readable)
        event_free(this->readable);
    if (this->socket >= 0)
        ::close(this->socket);
}

std::error_code InstanceExchange::start(const std::string &address)
{
    sockaddr_in bound {};
    if (!parseAddress(address, bound))
        return Error::SettingsInvalid;
    this->socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (this->socket < 0
        || ::bind(this->socket, reinterpret_cast<sockaddr *>(&bound), sizeof bound) != 0)
        return std::error_code(errno, std::generic_category());
    this->incarnation = static_cast<std::uint64_t>(absl::ToUnixMicros(Clock::wallNow()));
    this->readable = event_new(
        this->base, this->socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *object) {
            static_cast<InstanceExchange *>(object)->receive();
        },
        this);
    event_add(this->readable, nullptr);
    this->timer.start(kHeartbeat);
    return {};
}

void InstanceExchange::setPeer(const InstanceId &instance, const std::string &address)
{
    if (instance != this->self)
        this->peers[instance] = address;
}

void InstanceExchange::removePeer(const InstanceId &instance)
{
    this->peers.erase(instance);
}

void InstanceExchange::onLedgerChanged()
{
    if (this->isScheduled)
        return;
    this->isScheduled = true;
    const absl::Duration pause =
        std::max(kShortestPause, kPauseForEachPeer * static_cast<std::int64_t>(this->peers.size()));
    this->timer.start(std::max(absl::Milliseconds(1), this->lastSentAt + pause - Clock::now()));
}

void InstanceExchange::onSuspicion(ServerKey server)
{
    this->suspects.push_back(server);
    this->onLedgerChanged();
}

void InstanceExchange::send()
{
    const absl::Time now = Clock::now();
    this->isScheduled = false;
    this->lastSentAt = now;
    ++this->sequence;
    const std::string bytes = encodeLoad({this->self.str(), this->incarnation, this->sequence,
                                          this->storeSource.isStoreLost(), this->ledger.own(),
                                          std::exchange(this->suspects, {})},
                                         now);
    for (const auto &[instance, address] : this->peers) {
        sockaddr_in peer {};
        if (!parseAddress(address, peer))
            continue;
        // A full socket drops the datagram; the next one carries all of it again.
        ::sendto(this->socket, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr *>(&peer),
                 sizeof peer);
    }
    this->timer.start(kHeartbeat);
}

void InstanceExchange::receive()
{
    std::array<char, kMaxLoadDatagram> buffer {};
    const absl::Time now = Clock::now();
    while (true) {
        const ssize_t size = ::recv(this->socket, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return;
        this->onDatagram(std::span(buffer.data(), static_cast<std::size_t>(size)), now);
    }
}

void InstanceExchange::onDatagram(std::span<const char> bytes, absl::Time now)
{
    Result<LoadNotice> decoded = decodeLoad(bytes, now);
    if (!decoded.ok()) {
        logEvent(LogLevel::Warning, "peer_message_malformed", {{"bytes", bytes.size()}});
        return;
    }
    LoadNotice &notice = *decoded;
    const InstanceId instance(notice.instance);
    if (instance == this->self)
        return;
    PeerSequence &last = this->lastSequence[instance];
    // A restart may carry a lower number after a jump of the time of day, so only the same
    // incarnation is put in order.
    if (notice.incarnation == last.incarnation && notice.sequence <= last.sequence)
        return;
    last = {notice.incarnation, notice.sequence};
    this->ledger.replacePeer(instance, std::move(notice.parts), now);
    this->storeSource.onHeard(instance, notice.hasLostStore, now);
    for (const ServerKey server : notice.suspects)
        this->health.onPeerSuspicion(server, absl::Seconds(1), now);
}

} // namespace foxtailtally
