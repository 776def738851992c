#include "servers/placement/stream_ledger.h"

namespace foxtailtally {

namespace {

void updateTimesLeft(ServerLoads &loads, absl::Time now)
{
    for (auto &[server, load] : loads)
        load.updateTimeLeft(now);
}

} // namespace

void StreamLedger::place(std::span<const StreamPart> parts)
{
    this->ownParts.insert(this->ownParts.end(), parts.begin(), parts.end());
}

void StreamLedger::onFirstEvent(std::uint32_t stream)
{
    // Helpers have finished their prefills once the first event has arrived.
    std::erase_if(this->ownParts, [stream](const StreamPart &part) {
        return part.stream == stream && part.isHelper && part.memoryTokens == 0;
    });
    for (StreamPart &part : this->ownParts) {
        if (part.stream == stream)
            part.isDecoding = true;
    }
}

void StreamLedger::onLate(std::uint32_t stream)
{
    for (StreamPart &part : this->ownParts) {
        if (part.stream == stream)
            part.isLate = true;
    }
}

void StreamLedger::remove(std::uint32_t stream)
{
    std::erase_if(this->ownParts,
                  [stream](const StreamPart &part) { return part.stream == stream; });
}

void StreamLedger::replacePeer(const InstanceId &instance, std::vector<StreamPart> parts,
                               absl::Time now)
{
    this->peers[instance] = {std::move(parts), now};
}

void StreamLedger::updateOwnDomain(std::span<const ServerLoadEntry> entries, absl::Time reflected,
                                   absl::Time now)
{
    this->ownDomain.update(entries, now);
    this->reflectedUntil = reflected;
}

void StreamLedger::dropOwnDomain()
{
    this->ownDomain.clear();
    this->reflectedUntil = absl::InfinitePast();
}

void StreamLedger::updateOtherDomains(const FailureDomainId &source,
                                      std::span<const ServerLoadEntry> entries, absl::Time now)
{
    this->otherDomains[source].update(entries, now);
}

void StreamLedger::onTick(absl::Time now)
{
    absl::erase_if(this->peers,
                   [now](const auto &item) { return now - item.second.receivedAt > kPeerTimeout; });
    this->ownDomain.onTick(now);
    for (auto &[source, table] : this->otherDomains)
        table.onTick(now);
}

ServerLoads StreamLedger::loads(absl::Time now) const
{
    ServerLoads result;
    this->addOwnDomain(result, now);
    this->addOtherDomains(result, now);
    updateTimesLeft(result, now);
    return result;
}

ServerLoads StreamLedger::ownDomainLoads(absl::Time now) const
{
    ServerLoads result;
    this->addOwnDomain(result, now);
    updateTimesLeft(result, now);
    return result;
}

ServerLoads StreamLedger::otherDomainLoads(absl::Time now) const
{
    ServerLoads result;
    this->addOtherDomains(result, now);
    updateTimesLeft(result, now);
    return result;
}

void StreamLedger::addOwnDomain(ServerLoads &loads, absl::Time now) const
{
    for (const StreamPart &part : this->ownParts) {
        if (part.placedAt >= this->reflectedUntil)
            loads[part.server].add(part, now);
    }
    for (const auto &[instance, peer] : this->peers) {
        for (const StreamPart &part : peer.parts)
            loads[part.server].add(part, now);
    }
    this->ownDomain.addTo(loads, now);
}

void StreamLedger::addOtherDomains(ServerLoads &loads, absl::Time now) const
{
    for (const auto &[source, table] : this->otherDomains)
        table.addTo(loads, now);
}

} // namespace foxtailtally
