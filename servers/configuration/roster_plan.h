#pragma once

#include "servers/configuration/roster_document.h"

#include <absl/container/btree_map.h>
#include <absl/types/span.h>
#include <optional>

namespace foxtailtally {

/** What the platform's list says of one entry instance of the domain. */
struct ListedInstance
{
    InstanceId id;
    Incarnation incarnation = 0;
    bool isLeaving = false;
};

/**
 * Computes the next roster of a failure domain. Membership lists and suspicion play no part:
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

    /** Takes one answer of the platform's list. Failed reads must not be passed. */
    void onInstanceList(absl::Span<const ListedInstance> listed, absl::Time now);

    /**
     * The roster that should follow @p current, or none when nothing changes. It is to be written
     * with one conditional update; after a conflict, call again with the roster that won.
     */
    std::optional<RosterDocument> next(const RosterDocument &current,
                                       const Publication &publication, absl::Time now,
                                       absl::Time wallNow) const;

private:
    /** Time since which a member has been missing without a break, and the latest list. */
    struct Presence
    {
        Incarnation incarnation = 0;
        bool isListed = false;
        absl::Time missingSince = absl::InfiniteFuture();
    };

    bool isGone(const InstanceId &id, absl::Time now) const;

    absl::Duration grace;
    /** First of the lists that followed one another within the grace period. */
    absl::Time firstListAt = absl::InfiniteFuture();
    absl::Time lastListAt = absl::InfinitePast();
    absl::btree_map<InstanceId, Presence> presence;
};

/** True when @p self is the lowest-ranked of the live instances and so writes the roster. */
bool writesRoster(const InstanceId &self, absl::Span<const InstanceId> live);

} // namespace foxtailtally
