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
 * Streams in work at engines: those of this instance, those that other instances of the failure
 * domain have told of, and the sums that others tell by engine. What is told lapses when its source
 * falls silent.
 */
class StreamLedger
{
public:
    /** Six times the longest interval between two reports of an instance. */
    static constexpr absl::Duration kPeerTimeout = absl::Seconds(3);

    /** Adds the parts of one own stream. */
    void place(std::span<const StreamPart> parts);
    void onFirstEvent(std::uint32_t stream);
    void onLate(std::uint32_t stream);
    void remove(std::uint32_t stream);

    /** Replaces all streams that @p instance has told before. */
    void replacePeer(const InstanceId &instance, std::vector<StreamPart> parts, absl::Time now);
    /**
     * Sums over the own failure domain, this instance included: own streams that were placed before
     * @p reflectedUntil are part of them.
     */
    void updateOwnDomain(std::span<const ServerLoadEntry> entries, absl::Time reflectedUntil,
                         absl::Time now);
    /** Another instance tells the sums over the own failure domain from now on, or nobody. */
    void dropOwnDomain();
    /** Sums over streams of other domains, told by the instance that is followed in @p source. */
    void updateOtherDomain(const FailureDomainId &source, std::span<const ServerLoadEntry> entries,
                           absl::Time now);
    void dropOtherDomain(const FailureDomainId &source) { this->elsewhere.erase(source); }
    void onTick(absl::Time now);

    const std::vector<StreamPart> &own() const { return this->ownParts; }

    /** Load of each server that has any. */
    ServerLoads loads(absl::Time now) const;
    /** The part of loads() that streams of the own failure domain make. */
    ServerLoads ownDomainLoads(absl::Time now) const;
    /** The rest of loads(). */
    ServerLoads otherDomainLoads(absl::Time now) const;

private:
    struct Peer
    {
        std::vector<StreamPart> parts;
        absl::Time heardAt;
    };

    void addOwnDomain(ServerLoads &loads, absl::Time now) const;
    void addElsewhere(ServerLoads &loads, absl::Time now) const;

    std::vector<StreamPart> ownParts;
    absl::flat_hash_map<InstanceId, Peer> peers;
    LoadTable ownDomain;
    absl::Time reflectedUntil = absl::InfinitePast();
    absl::flat_hash_map<FailureDomainId, LoadTable> elsewhere;
};

} // namespace foxtailtally
