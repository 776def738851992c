#pragma once

#include "servers/configuration/roster_document.h"

#include <absl/container/btree_map.h>
#include <absl/types/span.h>
#include <optional>

namespace foxtailtally {

/** One entry instance of the domain in the platform's list. */
struct ListedInstance
{
    InstanceId id;
    Incarnation incarnation = 0;
    bool isLeaving = false;
};

/**
 * Computes the next roster of a failure domain. Gossip membership and suspicions are ignored:
 * removing a member ends its right to its shares, and only the platform can say that it is gone.
 */
class RosterPlan
{
public:
    /**
     * @p grace: time for which the platform must have reported a member as gone before it is
     * dropped. It must exceed the list's lag, so that a restart does not change the roster.
     */
    explicit RosterPlan(absl::Duration grace = absl::Seconds(30));

    /** Records one successful read of the platform's list; failed reads must not be passed. */
    void onInstanceList(absl::Span<const ListedInstance> listed, absl::Time now);

    /**
     * The roster that should follow @p current, or none when nothing changes. It is to be written
     * with one conditional update; after a conflict, call again with the roster that won.
     */
    std::optional<RosterDocument> next(const RosterDocument &current,
                                       const Publication &publication, absl::Time now,
                                       absl::Time wallNow) const;

private:
    /**
     * Presence of one instance in the latest list, and the time since which it has been missing
     * without interruption.
     */
    struct Presence
    {
        Incarnation incarnation = 0;
        bool isListed = false;
        absl::Time missingSince = absl::InfiniteFuture();
    };

    bool isGone(const InstanceId &id, absl::Time now) const;

    absl::Duration grace;
    /**
     * First list of the current series, in which no two consecutive lists are more than the grace
     * period apart.
     */
    absl::Time firstListAt = absl::InfiniteFuture();
    absl::Time lastListAt = absl::InfinitePast();
    absl::btree_map<InstanceId, Presence> presence;
};

/** True when @p self is the lowest-ranked of the live instances and so writes the roster. */
bool writesRoster(const InstanceId &self, absl::Span<const InstanceId> live);

} // namespace foxtailtally
