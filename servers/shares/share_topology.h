#pragma once

#include "servers/membership/peer_state.h"
#include "servers/shares/roster.h"
#include "servers/shares/share_timing.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <optional>
#include <span>
#include <vector>

namespace foxtailtally {

/** A server group of the domain. */
struct ShareGroup
{
    GroupId id;
    std::vector<BackendServerId> servers;
};

/** One group in which this instance is a share holder. */
struct HeldGroup
{
    std::vector<BackendServerId> servers;
    std::vector<RosterMember> holders;
    /** Position of this process among the holders; none if the roster lists another incarnation. */
    std::optional<std::uint32_t> ownIndex;
    /** Holders of the own share by unsettled rosters; the share may be used once this is empty. */
    std::vector<RosterMember> unsettledHolders;
};

/** Holders of the shares, live instances, and earlier holders that have given up their shares. */
class ShareTopology
{
public:
    ShareTopology(RosterMember self, ShareTiming timing);

    const RosterMember &self() const { return this->ownMember; }
    const ShareTiming &timing() const { return this->shareTiming; }
    std::uint64_t rosterVersion() const { return this->roster.current.version; }
    const absl::btree_map<GroupId, HeldGroup> &groups() const { return this->heldGroups; }
    const HeldGroup *find(const GroupId &group) const;

    /** Replaces the domain's groups. */
    void setGroups(std::vector<ShareGroup> groups);
    /** Adopts @p roster; a version that is not higher is Error::DocumentStale. */
    std::error_code adopt(Roster roster);
    /** Whether an unsettled roster gives the own share of @p group to another process. */
    bool hasEarlierHolder(const GroupId &group) const;

    /** Ignores earlier incarnations; a leaving process never returns to a serving state. */
    void setPeerState(const RosterMember &peer, PeerState state);
    void setLeaving() { this->leaving = true; }
    bool isLeaving() const { return this->leaving; }
    bool isServingPeer(const InstanceId &instance) const;
    /** The first live holder in this instance's own view; null when there is none. */
    const InstanceId *ownerOf(const HeldGroup &group) const;
    bool isOwner(const HeldGroup &group) const;

    /** Records that @p member holds and lends nothing by versions below @p version. */
    void recordSettled(const RosterMember &member, std::uint64_t version);
    /**
     * Applies the platform's list of instances. A roster member counts as gone once the list shows
     * a later incarnation, or once it has been missing from the list for ShareTiming::listLag while
     * the membership does not see it as serving either.
     */
    void recordInstanceList(std::span<const RosterMember> listed, absl::Time now);
    /** Whether @p member is settled above @p version or has been gone for the loan term and
     * margins. */
    bool hasRelinquished(const RosterMember &member, std::uint64_t version, absl::Time now) const;
    /** Removes earlier holders that are settled or gone from unsettledHolders. */
    void removeSettledHolders(absl::Time now);

private:
    struct Peer
    {
        Incarnation incarnation = 0;
        PeerState state = PeerState::Dead;
    };

    struct Absence
    {
        absl::Time since;
        /** A later incarnation is listed, so the absence cannot be a lag of the list. */
        bool isReplaced = false;
    };

    void rebuild();
    std::vector<RosterMember> earlierHolders(const GroupId &group, const HeldGroup &held) const;

    RosterMember ownMember;
    ShareTiming shareTiming;
    Roster roster;
    std::vector<ShareGroup> allGroups;
    absl::btree_map<GroupId, HeldGroup> heldGroups;
    absl::flat_hash_map<InstanceId, Peer> peers;
    absl::flat_hash_map<RosterMember, std::uint64_t> settled;
    absl::flat_hash_map<RosterMember, Absence> absent;
    bool leaving = false;
};

} // namespace foxtailtally
