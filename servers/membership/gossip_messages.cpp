#include "servers/membership/gossip_messages.h"

namespace foxtailtally {

namespace {

constexpr std::size_t kLengthBytes = 4;
/** Format version, message type, sender check and a 32-byte authentication tag. */
constexpr std::size_t kEnvelopeBytes = 48;
constexpr std::size_t kDocumentBytes = 8 * kGossipDocumentCount;

std::size_t textSize(std::size_t length)
{
    return kLengthBytes + length;
}

template <typename Entry>
std::size_t listSize(const std::vector<Entry> &entries)
{
    std::size_t size = kLengthBytes;
    for (const Entry &entry : entries)
        size += packedSize(entry);
    return size;
}

std::size_t sizeOf(const GossipMessage &message)
{
    return packedSize(message.sender) + kDocumentBytes + 1 + listSize(message.members)
        + listSize(message.summaries) + listSize(message.crashReports);
}

std::size_t sizeOf(const Probe &probe)
{
    return packedSize(probe.sender) + kDocumentBytes + 8 + textSize(probe.target.str().size())
        + listSize(probe.suspicions);
}

std::size_t sizeOf(const ProbeAck &ack)
{
    return packedSize(ack.sender) + kDocumentBytes + 8 + packedSize(ack.responder)
        + listSize(ack.suspicions);
}

} // namespace

std::size_t packedSize(const MemberUpdate &update)
{
    return textSize(update.instance.str().size()) + textSize(update.domain.str().size())
        + textSize(update.address.size()) + 8 + 4 + 1 + 8;
}

std::size_t packedSize(const SummaryEntry &entry)
{
    const GroupSummary &summary = entry.summary;
    return textSize(summary.group.str().size()) + textSize(summary.domain.str().size())
        + textSize(summary.model.str().size()) + textSize(summary.owner.str().size())
        + sizeof(std::uint64_t) * (2 + kRequestClassCount + 3 + 1) + sizeof(std::uint32_t) * 4 + 1;
}

std::size_t packedSize(const CrashReportEntry &entry)
{
    return entry.key.size() + textSize(entry.content.size()) + 4;
}

std::size_t packedSize(const MembershipMessage &message)
{
    return kEnvelopeBytes + std::visit([](const auto &body) { return sizeOf(body); }, message);
}

} // namespace foxtailtally
