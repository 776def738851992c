#pragma once

#include "core/ids.h"
#include "servers/placement/load_table.h"
#include "servers/placement/server_load.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtailtally {

/**
 * Streams in flight at engines: those that this instance placed, those that other instances of its
 * failure domain have reported, and sums by engine that other instances send. Received data expires
 * when its source stops sending.
 */
class StreamLedger
{
public:
    /** Six times the longest interval between two reports of an instance. */
    static constexpr absl::Duration kPeerTimeout = absl::Seconds(3);

    /** Adds the parts of one stream that this instance places. */
    void place(std::span<const StreamPart> parts);
    void onFirstEvent(std::uint32_t stream);
    void onLate(std::uint32_t stream);
    void remove(std::uint32_t stream);

    /** Replaces all streams that @p instance has reported before. */
    void replacePeer(const InstanceId &instance, std::vector<StreamPart> parts, absl::Time now);
    /**
     * Updates the sums over the own failure domain, this instance included: they already contain
     * its own streams that were placed before @p reflectedUntil.
     */
    void updateOwnDomain(std::span<const ServerLoadEntry> entries, absl::Time reflectedUntil,
                         absl::Time now);
    /** Discards the sums over the own failure domain: from now on another instance sends them, or
     * none. */
    void dropOwnDomain();
    /** Updates the sums over streams of other domains, sent by the instance that is followed in
     * @p source. */
    void updateOtherDomains(const FailureDomainId &source, std::span<const ServerLoadEntry> entries,
                            absl::Time now);
    void dropOtherDomains(const FailureDomainId &source) { this->otherDomains.erase(source); }
    void onTick(absl::Time now);

    const std::vector<StreamPart> &own() const { return this->ownParts; }

    /** Load of each server that has any. */
    ServerLoads loads(absl::Time now) const;
    /** The part of loads() that comes from streams of the own failure domain. */
    ServerLoads ownDomainLoads(absl::Time now) const;
    /** The rest of loads(). */
    ServerLoads otherDomainLoads(absl::Time now) const;

private:
    struct Peer
    {
        std::vector<StreamPart> parts;
        absl::Time receivedAt;
    };

    void addOwnDomain(ServerLoads &loads, absl::Time now) const;
    void addOtherDomains(ServerLoads &loads, absl::Time now) const;

    std::vector<StreamPart> ownParts;
    absl::flat_hash_map<InstanceId, Peer> peers;
    LoadTable ownDomain;
    absl::Time reflectedUntil = absl::InfinitePast();
    absl::flat_hash_map<FailureDomainId, LoadTable> otherDomains;
};

} // namespace foxtailtally
