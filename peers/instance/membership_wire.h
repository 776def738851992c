#pragma once

#include "peers/instance/bounded_archive.h"
#include "peers/instance/messages.h"
#include "servers/configuration/spread_plan.h"
#include "servers/membership/gossip_messages.h"

#include <cstdint>
#include <variant>

namespace foxtailtally {

/** A membership message together with the sender's document versions. */
struct MembershipDatagram
{
    MembershipMessage message;
    DocumentGossip documents;
};

template <typename Archive>
void serialize(Archive &archive, SummaryEntry &entry)
{
    archive(entry.summary, entry.ageMs);
}

template <typename Archive>
void serialize(Archive &archive, GossipMessage &gossip)
{
    archive(gossip.sender, gossip.documents, gossip.isReplyWanted, gossip.members, gossip.summaries,
            gossip.crashReports);
}

template <typename Archive>
void serialize(Archive &archive, DocumentGossip &gossip)
{
    archive(gossip.held, gossip.reachesPlatform, gossip.isSettled);
}

template <typename Archive>
void save(Archive &archive, const MembershipDatagram &datagram)
{
    archive(static_cast<std::uint8_t>(datagram.message.index()));
    std::visit([&archive](const auto &message) { archive(message); }, datagram.message);
    archive(datagram.documents);
}

template <typename Archive>
void load(Archive &archive, MembershipDatagram &datagram)
{
    std::uint8_t index = 0;
    archive(index);
    switch (index) {
    case 0:
        datagram.message = GossipMessage {};
        break;
    case 1:
        datagram.message = Probe {};
        break;
    case 2:
        datagram.message = ProbeAck {};
        break;
    default:
        throw ArchiveError(ArchiveError::Kind::TooLarge);
    }
    std::visit([&archive](auto &message) { archive(message); }, datagram.message);
    archive(datagram.documents);
}

} // namespace foxtailtally
