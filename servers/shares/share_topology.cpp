#include "servers/shares/share_topology.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

ShareTopology::ShareTopology(RosterMember self, ShareTiming timing)
    : ownMember(std::move(self))
    , shareTiming(timing)
{ }

const HeldGroup *ShareTopology::find(const GroupId &group) const
{
    const auto found = this->heldGroups.find(group);
    return found == this->heldGroups.end() ? nullptr : &found->second;
}

void ShareTopology::setGroups(std::vector<ShareGroup> groups)
{
    this->allGroups = std::move(groups);
    this->rebuild();
}

std::error_code ShareTopology::adopt(Roster next)
{
    if (next.current.version <= this->roster.current.version)
        return make_error_code(Error::DocumentStale);
    this->roster = std::move(next);
    this->rebuild();
    return {};
}

void ShareTopology::rebuild()
{
    this->heldGroups.clear();
    for (const ShareGroup &group : this->allGroups) {
        HeldGroup held;
        held.holders = shareHolders(this->roster.current.members, group.id);
        const auto self =
            std::find_if(held.holders.begin(), held.holders.end(), [&](const RosterMember &m) {
                return m.instance == this->ownMember.instance;
            });
        if (self == held.holders.end())
            continue;
        if (*self == this->ownMember) {
            held.ownIndex = static_cast<std::uint32_t>(self - held.holders.begin());
            held.unsettledHolders = this->earlierHolders(group.id, held);
        }
        held.servers = group.servers;
        this->heldGroups.emplace(group.id, std::move(held));
    }
}

std::vector<RosterMember> ShareTopology::earlierHolders(const GroupId &group,
                                                        const HeldGroup &held) const
{
    std::vector<RosterMember> earlier;
    const auto add = [&](const RosterMember &member) {
        if (member != this->ownMember
            && std::find(earlier.begin(), earlier.end(), member) == earlier.end())
            earlier.push_back(member);
    };
    for (const RosterVersion &version : this->roster.unsettled) {
        const auto holders = shareHolders(version.members, group);
        if (holders.size() == held.holders.size()) {
            add(holders[*held.ownIndex]);
            continue;
        }
        // When the number of holders differs, the units of every position differ.
        for (const RosterMember &holder : holders)
            add(holder);
    }
    return earlier;
}

bool ShareTopology::hasEarlierHolder(const GroupId &group) const
{
    const HeldGroup *held = this->find(group);
    return held != nullptr && held->ownIndex && !this->earlierHolders(group, *held).empty();
}

void ShareTopology::setPeerState(const RosterMember &peer, PeerState state)
{
    Peer &known = this->peers[peer.instance];
    const bool isEarlier = peer.incarnation < known.incarnation;
    const bool isReturning = peer.incarnation == known.incarnation
        && known.state == PeerState::Leaving && isServing(state);
    if (!isEarlier && !isReturning)
        known = {peer.incarnation, state};
}

bool ShareTopology::isServingPeer(const InstanceId &instance) const
{
    const auto found = this->peers.find(instance);
    return found != this->peers.end() && isServing(found->second.state);
}

const InstanceId *ShareTopology::ownerOf(const HeldGroup &group) const
{
    for (const RosterMember &holder : group.holders) {
        const bool isSelf = holder.instance == this->ownMember.instance;
        if (isSelf ? !this->leaving : this->isServingPeer(holder.instance))
            return &holder.instance;
    }
    return nullptr;
}

bool ShareTopology::isOwner(const HeldGroup &group) const
{
    const InstanceId *owner = this->ownerOf(group);
    return owner != nullptr && *owner == this->ownMember.instance;
}

void ShareTopology::recordSettled(const RosterMember &member, std::uint64_t version)
{
    std::uint64_t &known = this->settled[member];
    known = std::max(known, version);
}

void ShareTopology::recordInstanceList(std::span<const RosterMember> listed, absl::Time now)
{
    const auto updateAbsence = [&](const RosterMember &member) {
        const auto entry =
            std::find_if(listed.begin(), listed.end(), [&](const RosterMember &candidate) {
                return candidate.instance == member.instance;
            });
        const bool isReplaced = entry != listed.end() && entry->incarnation > member.incarnation;
        const bool isMissing = entry == listed.end() && !this->isServingPeer(member.instance);
        const auto known = this->absent.find(member);
        if (isReplaced || isMissing)
            this->absent.try_emplace(member, Absence {now, false}).first->second.isReplaced |=
                isReplaced;
        else if (known != this->absent.end() && !known->second.isReplaced)
            this->absent.erase(known);
    };
    for (const RosterMember &member : this->roster.current.members)
        updateAbsence(member);
    for (const RosterVersion &version : this->roster.unsettled)
        for (const RosterMember &member : version.members)
            updateAbsence(member);
}

bool ShareTopology::hasRelinquished(const RosterMember &member, std::uint64_t version,
                                    absl::Time now) const
{
    const auto known = this->settled.find(member);
    if (known != this->settled.end() && known->second > version)
        return true;
    const auto found = this->absent.find(member);
    if (found == this->absent.end())
        return false;
    const Absence &absence = found->second;
    const absl::Duration lag =
        absence.isReplaced ? absl::ZeroDuration() : this->shareTiming.listLag;
    return now >= absence.since + lag + this->shareTiming.reuseAfter();
}

void ShareTopology::removeSettledHolders(absl::Time now)
{
    // A member that is settled at the current version is settled above every earlier one.
    const std::uint64_t before = this->rosterVersion() - 1;
    for (auto &[id, held] : this->heldGroups)
        std::erase_if(held.unsettledHolders,
                      [&](const RosterMember &m) { return this->hasRelinquished(m, before, now); });
}

} // namespace foxtailtally
