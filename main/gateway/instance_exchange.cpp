#include "main/gateway/instance_exchange.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "peers/instance/bounded_archive.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {

namespace {

/** Shortest time between two datagrams to the same instance, for each instance told; so the cost of
 * telling does not grow with the square of their number. */
constexpr absl::Duration kPauseForEachPeer = absl::Microseconds(150);
constexpr absl::Duration kShortestPause = absl::Milliseconds(4);

/** Time after which an instance tells again although nothing has changed. */
constexpr absl::Duration kHeartbeat = absl::Milliseconds(500);

/** Largest datagram, in bytes; larger ones would be split on the way. */
constexpr std::size_t kMaxDatagram = 8192;

constexpr std::uint32_t kFormat = 1;

/** A stream part on the wire; times are ages, since clocks differ between instances. */
struct PartNotice
{
    std::uint64_t server = 0;
    std::uint32_t stream = 0;
    std::uint32_t ageMs = 0;
    std::uint32_t readTenths = 0;
    std::uint32_t memoryTokens = 0;
    std::uint16_t pauseObjectiveMs = 0;
    std::uint16_t firstEventDueMs = 0;
    std::uint16_t valueTenths = 0;
    std::uint8_t flags = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->server, this->stream, this->ageMs, this->readTenths, this->memoryTokens,
                this->pauseObjectiveMs, this->firstEventDueMs, this->valueTenths, this->flags);
    }
};

struct LoadNotice
{
    std::uint32_t format = kFormat;
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<PartNotice> parts;
    std::vector<std::uint64_t> suspects;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->format, this->instance, this->incarnation, this->sequence, this->parts,
                this->suspects);
    }
};

enum PartFlags : std::uint8_t { Writing = 1, Helper = 2, Late = 4, Split = 8 };

PartNotice noticeOf(const StreamPart &part, absl::Time now)
{
    PartNotice notice;
    notice.server = part.server;
    notice.stream = part.stream;
    notice.ageMs = static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, absl::ToInt64Milliseconds(now - part.placedAt)));
    notice.readTenths = static_cast<std::uint32_t>(part.readMs * 10);
    notice.memoryTokens = part.memoryTokens;
    notice.pauseObjectiveMs = part.pauseObjectiveMs;
    notice.firstEventDueMs = part.firstEventDueMs;
    notice.valueTenths = static_cast<std::uint16_t>(part.value * 10);
    notice.flags =
        static_cast<std::uint8_t>((part.isWriting ? Writing : 0) | (part.isHelper ? Helper : 0)
                                  | (part.isLate ? Late : 0) | (part.isSplit ? Split : 0));
    return notice;
}

StreamPart partOf(const PartNotice &notice, absl::Time now)
{
    StreamPart part;
    part.server = notice.server;
    part.stream = notice.stream;
    part.placedAt = now - absl::Milliseconds(notice.ageMs);
    part.readMs = static_cast<float>(notice.readTenths) / 10.0F;
    part.memoryTokens = notice.memoryTokens;
    part.pauseObjectiveMs = notice.pauseObjectiveMs;
    part.firstEventDueMs = notice.firstEventDueMs;
    part.value = static_cast<float>(notice.valueTenths) / 10.0F;
    part.isWriting = (notice.flags & Writing) != 0;
    part.isHelper = (notice.flags & Helper) != 0;
    part.isLate = (notice.flags & Late) != 0;
    part.isSplit = (notice.flags & Split) != 0;
    return part;
}

bool parseAddress(const std::string &address, sockaddr_in &result)
{
    int size = sizeof result;
    return evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr *>(&result), &size)
        == 0;
}

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
    const std::string bytes = this->encode(now);
    this->suspects.clear();
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
    std::array<char, kMaxDatagram> buffer {};
    const absl::Time now = Clock::now();
    while (true) {
        const ssize_t size = ::recv(this->socket, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return;
        this->decode(std::span(buffer.data(), static_cast<std::size_t>(size)), now);
    }
}

std::string InstanceExchange::encode(absl::Time now) const
{
    LoadNotice notice;
    notice.instance = this->self.str();
    notice.incarnation = this->incarnation;
    notice.sequence = this->sequence;
    const std::size_t room = kMaxDatagram / sizeof(PartNotice) - 4;
    for (const StreamPart &part : this->ledger.own()) {
        if (notice.parts.size() < room)
            notice.parts.push_back(noticeOf(part, now));
    }
    notice.suspects = this->suspects;
    BinaryWriter writer;
    writer(notice);
    return writer.takeBytes();
}

void InstanceExchange::decode(std::span<const char> bytes, absl::Time now)
{
    LoadNotice notice;
    try {
        BoundedReader reader(bytes);
        reader(notice);
    } catch (const std::exception &) {
        logEvent(LogLevel::Warning, "peer_message_malformed", {{"bytes", bytes.size()}});
        return;
    }
    const InstanceId instance(notice.instance);
    if (notice.format != kFormat || instance == this->self)
        return;
    PeerSequence &last = this->lastSequence[instance];
    // A restart may carry a lower number after a jump of the time of day, so only the same
    // incarnation is put in order.
    if (notice.incarnation == last.incarnation && notice.sequence <= last.sequence)
        return;
    last = {notice.incarnation, notice.sequence};
    std::vector<StreamPart> parts;
    parts.reserve(notice.parts.size());
    for (const PartNotice &part : notice.parts)
        parts.push_back(partOf(part, now));
    this->ledger.replacePeer(instance, std::move(parts), now);
    this->storeSource.onHeard(instance, now);
    for (const ServerKey server : notice.suspects)
        this->health.onPeerSuspicion(server, absl::Seconds(1), now);
}

} // namespace foxtailtally
