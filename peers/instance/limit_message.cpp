#include "peers/instance/limit_message.h"

#include "core/error.h"
#include "core/socket_address.h"
#include "peers/instance/wire_list.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <array>
#include <cmath>
#include <limits>

namespace foxtailtally {

namespace {

/** First byte of the datagrams; differs from those of other kinds between instances. */
constexpr std::uint8_t kFormat = 16;

/** Age on the wire of what has not happened. */
constexpr std::uint32_t kNeverMs = std::numeric_limits<std::uint32_t>::max();

/** Longest transit of a datagram that is assumed. The end of a limit is taken to be this much
 * earlier than its age says, since it must not cancel a limit that was named after it. */
constexpr absl::Duration kMaxTransit = absl::Milliseconds(100);

/** Bits of WireClaim::flags. */
constexpr std::uint8_t kKindMask = 3;
constexpr std::uint8_t kRelayed = 4;

struct WireClaim
{
    ClaimId id = 0;
    std::uint8_t flags = 0;
    /** In network byte order. */
    std::uint32_t replyIp = 0;
    std::uint16_t replyPort = 0;
    std::vector<ServerKey> servers;
    std::uint16_t worthTenths = 0;
    std::uint16_t patienceMs = 0;
    std::uint32_t stamp = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->flags, this->replyIp, this->replyPort);
        archiveWithByteCount(archive, this->servers);
        archive(this->worthTenths, this->patienceMs, this->stamp);
    }
};

struct WireReply
{
    ClaimId id = 0;
    std::uint8_t answer = 0;
    ServerKey server = 0;
    std::uint16_t waitMs = 0;
    std::uint32_t stamp = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->answer, this->server, this->waitMs, this->stamp);
    }
};

struct WireNews
{
    ServerKey server = 0;
    float requestsPerSecond = 0;
    std::uint32_t namedAgeMs = kNeverMs;
    std::uint32_t endedAgeMs = kNeverMs;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->server, this->requestsPerSecond, this->namedAgeMs, this->endedAgeMs);
    }
};

struct WireEnvelope
{
    std::uint8_t format = kFormat;
    std::uint8_t isFromAggregator = 0;
    std::uint16_t domainInstances = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->format, this->isFromAggregator, this->domainInstances);
    }
};

std::uint32_t ageMs(absl::Time moment, absl::Time now)
{
    if (moment == absl::InfinitePast())
        return kNeverMs;
    return saturate<std::uint32_t>(absl::ToDoubleMilliseconds(now - moment));
}

absl::Time momentOf(std::uint32_t age, absl::Time now)
{
    return age == kNeverMs ? absl::InfinitePast() : now - absl::Milliseconds(age);
}

std::string addressText(std::uint32_t ip, std::uint16_t port)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    in_addr address {};
    address.s_addr = ip;
    ::inet_ntop(AF_INET, &address, text.data(), text.size());
    return absl::StrCat(text.data(), ":", port);
}

WireClaim toWire(const TokenClaim &claim)
{
    WireClaim wire;
    wire.id = claim.id;
    wire.flags = static_cast<std::uint8_t>(static_cast<std::uint8_t>(claim.kind)
                                           | (claim.isRelayed ? kRelayed : 0));
    sockaddr_in reply {};
    if (parseAddress(claim.replyAddress, reply)) {
        wire.replyIp = reply.sin_addr.s_addr;
        wire.replyPort = ntohs(reply.sin_port);
    }
    const std::size_t servers = std::min(claim.servers.size(), kMaxElements);
    wire.servers.assign(claim.servers.begin(),
                        claim.servers.begin() + static_cast<std::ptrdiff_t>(servers));
    wire.worthTenths = saturate<std::uint16_t>(claim.worth * 10.0 + 0.5);
    wire.patienceMs = saturate<std::uint16_t>(absl::ToDoubleMilliseconds(claim.patience));
    wire.stamp = claim.stamp;
    return wire;
}

TokenClaim fromWire(const WireClaim &wire)
{
    TokenClaim claim;
    claim.id = wire.id;
    claim.kind = static_cast<ClaimKind>(wire.flags & kKindMask);
    claim.isRelayed = (wire.flags & kRelayed) != 0;
    claim.replyAddress = addressText(wire.replyIp, wire.replyPort);
    claim.servers = wire.servers;
    claim.worth = static_cast<float>(wire.worthTenths) / 10.0F;
    claim.patience = absl::Milliseconds(wire.patienceMs);
    claim.stamp = wire.stamp;
    return claim;
}

WireReply toWire(const TokenReply &reply)
{
    return {reply.id, static_cast<std::uint8_t>(reply.answer), reply.server,
            saturate<std::uint16_t>(absl::ToDoubleMilliseconds(reply.wait)), reply.stamp};
}

TokenReply fromWire(const WireReply &wire)
{
    return {wire.id, static_cast<ClaimAnswer>(wire.answer), wire.server,
            absl::Milliseconds(wire.waitMs), wire.stamp};
}

bool isValid(const WireClaim &wire)
{
    return (wire.flags & kKindMask) <= static_cast<std::uint8_t>(ClaimKind::Return)
        && !wire.servers.empty();
}

bool isValid(const WireReply &wire)
{
    return wire.answer <= static_cast<std::uint8_t>(ClaimAnswer::NotIssuer);
}

bool isValid(const WireNews &wire)
{
    return std::isfinite(wire.requestsPerSecond) && wire.requestsPerSecond >= 0;
}

} // namespace

bool isLimitDatagram(std::span<const char> bytes)
{
    return !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == kFormat;
}

std::vector<std::string> encodeLimitEnvelope(const LimitEnvelope &envelope, absl::Time now)
{
    WireEnvelope header;
    header.isFromAggregator = envelope.news.isFromAggregator ? 1 : 0;
    header.domainInstances = envelope.news.domainInstances;
    const std::string prefix = encoded(header);
    std::vector<std::string> datagrams;
    std::size_t nextNews = 0;
    std::size_t nextClaim = 0;
    std::size_t nextReply = 0;
    const std::vector<LimitNews> &news = envelope.news.news;
    while (nextNews < news.size() || nextClaim < envelope.claims.size()
           || nextReply < envelope.replies.size()) {
        BoundedListWriter newsList;
        BoundedListWriter claimList;
        BoundedListWriter replyList;
        const auto remainingBytes = [&] {
            const std::size_t used =
                prefix.size() + newsList.size() + claimList.size() + replyList.size();
            return kMaxDatagram - std::min(kMaxDatagram, used);
        };
        const std::size_t begin = nextNews + nextClaim + nextReply;
        for (; nextNews < news.size(); ++nextNews) {
            const LimitNews &entry = news[nextNews];
            const WireNews wire = {entry.server, static_cast<float>(entry.requestsPerSecond),
                                   ageMs(entry.namedAt, now), ageMs(entry.endedAt, now)};
            if (!newsList.add(encoded(wire), remainingBytes()))
                break;
        }
        while (nextClaim < envelope.claims.size()
               && claimList.add(encoded(toWire(envelope.claims[nextClaim])), remainingBytes()))
            ++nextClaim;
        while (nextReply < envelope.replies.size()
               && replyList.add(encoded(toWire(envelope.replies[nextReply])), remainingBytes()))
            ++nextReply;
        // An element that does not fit into an empty datagram would repeat forever.
        if (nextNews + nextClaim + nextReply == begin)
            break;
        datagrams.push_back(prefix + newsList.text() + claimList.text() + replyList.text());
    }
    return datagrams;
}

Result<LimitEnvelope> decodeLimitEnvelope(std::span<const char> bytes, absl::Time now)
{
    WireEnvelope header;
    std::vector<WireNews> news;
    std::vector<WireClaim> claims;
    std::vector<WireReply> replies;
    try {
        BoundedReader reader(bytes);
        reader(header);
        if (header.format != kFormat)
            return Error::MessageVersionUnknown;
        archiveWithByteCount(reader, news);
        archiveWithByteCount(reader, claims);
        archiveWithByteCount(reader, replies);
    } catch (const std::exception &) {
        return Error::MessageMalformed;
    }
    LimitEnvelope envelope;
    envelope.news.isFromAggregator = header.isFromAggregator != 0;
    envelope.news.domainInstances = header.domainInstances;
    for (const WireNews &wire : news) {
        if (!isValid(wire))
            return Error::MessageMalformed;
        envelope.news.news.push_back({wire.server, wire.requestsPerSecond,
                                      momentOf(wire.namedAgeMs, now),
                                      momentOf(wire.endedAgeMs, now) - kMaxTransit});
    }
    for (const WireClaim &wire : claims) {
        if (!isValid(wire))
            return Error::MessageMalformed;
        envelope.claims.push_back(fromWire(wire));
    }
    for (const WireReply &wire : replies) {
        if (!isValid(wire))
            return Error::MessageMalformed;
        envelope.replies.push_back(fromWire(wire));
    }
    return envelope;
}

} // namespace foxtailtally
