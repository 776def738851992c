#pragma once

#include "core/ids.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

namespace foxtailtally {

/**
 * Failure domains that the operator has evacuated. After a restore of the store from an older copy
 * the operator writes its evacuations and their ends again within seconds. Until then, what was
 * known before the restore goes before what the copy holds.
 */
class EvacuationTable
{
public:
    /** Time for which a domain stays evacuated although the restored store does not list it. The
     * operator writes again within seconds; a domain that stays empty for longer costs capacity
     * only, while a call to it breaks the operator's request. */
    static constexpr absl::Duration kMissingGrace = absl::Seconds(10);
    /** Time for which the entry of an evacuation that had ended is ignored after a restore. It may
     * also be a new evacuation that the operator has written since the store's return, and such an
     * evacuation must be in force within 5 s. */
    static constexpr absl::Duration kEndedGrace = absl::Seconds(3);
    /** Time for which the end of an evacuation is remembered. Copies are some seconds old, and the
     * store is away for some seconds more. */
    static constexpr absl::Duration kEndRetention = absl::Minutes(1);

    /** The complete list of evacuated domains. */
    void onList(const absl::btree_set<FailureDomainId> &listed, absl::Time now);
    void onChange(const FailureDomainId &domain, bool isEvacuated, absl::Time now);
    /** The store came back from an older copy; its list follows. */
    void onRestored(absl::Time now);
    void onTick(absl::Time now);

    bool isEvacuated(const FailureDomainId &domain, absl::Time now) const;
    /** Domains whose state does not follow the store's list yet. */
    absl::btree_set<FailureDomainId> heldAgainstStore(absl::Time now) const;

private:
    struct Domain
    {
        bool isListed = false;
        /** Whether the domain was evacuated before the restore. */
        bool wasEvacuated = false;
        /** Time until which that state overrides the restored list. */
        absl::Time heldUntil = absl::InfinitePast();
        absl::Time endedAt = absl::InfinitePast();
    };

    static void end(Domain &domain, absl::Time now);

    absl::btree_map<FailureDomainId, Domain> domains;
    /** The next list is the first one after a restore. */
    bool isRestoredListDue = false;
};

} // namespace foxtailtally
