#include "servers/configuration/roster_plan.h"

#include <algorithm>

namespace foxtailtally {

RosterPlan::RosterPlan(absl::Duration grace)
    : grace(grace)
{ }

void RosterPlan::onInstanceList(absl::Span<const ListedInstance> listed, absl::Time now)
{
    // After a long time without lists, a missing member may have come back in the meantime without
    // being listed yet, so the grace period restarts.
    const bool isAfterGap = now - this->lastListAt > this->grace;
    if (isAfterGap)
        this->firstListAt = now;
    this->lastListAt = now;
    for (auto &[id, presence] : this->presence) {
        if (presence.isListed || isAfterGap)
            presence.missingSince = now;
        presence.isListed = false;
    }
    for (const ListedInstance &instance : listed) {
        Presence &presence = this->presence[instance.id];
        presence.incarnation = instance.incarnation;
        presence.isListed = true;
        presence.missingSince = absl::InfiniteFuture();
    }
    const absl::Time expiry = now - 2 * this->grace;
    absl::erase_if(this->presence,
                   [expiry](const auto &item) { return item.second.missingSince < expiry; });
}

std::optional<RosterDocument> RosterPlan::next(const RosterDocument &current,
                                               const Publication &publication, absl::Time now,
                                               absl::Time wallNow) const
{
    if (this->firstListAt == absl::InfiniteFuture())
        return std::nullopt;
    absl::btree_map<InstanceId, Incarnation> members;
    for (const RosterDocument::Member &member : current.members)
        if (!this->isGone(member.id, now))
            members[member.id] = member.incarnation;
    for (const auto &[id, presence] : this->presence)
        if (presence.isListed) {
            // The list lags, so it may still show an older incarnation than the roster does.
            Incarnation &known = members[id];
            known = std::max(known, presence.incarnation);
        }
    RosterDocument roster;
    for (const auto &[id, incarnation] : members)
        roster.members.push_back({id, incarnation});
    if (roster.members == current.members)
        return std::nullopt;
    roster.number = current.number + 1;
    roster.author = publication.author;
    roster.time = wallNow;
    roster.history = current.history.with({roster.number, publication.author, publication.id});
    return roster;
}

bool RosterPlan::isGone(const InstanceId &id, absl::Time now) const
{
    const auto found = this->presence.find(id);
    // A member never seen in a list, or removed since, counts as missing from the first list on.
    const absl::Time since =
        found == this->presence.end() ? this->firstListAt : found->second.missingSince;
    return since != absl::InfiniteFuture() && now - since >= this->grace;
}

bool writesRoster(const InstanceId &self, absl::Span<const InstanceId> live)
{
    return std::all_of(live.begin(), live.end(),
                       [&self](const InstanceId &other) { return !(other < self); });
}

} // namespace foxtailtally
