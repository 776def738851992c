#pragma once

#include "servers/admission/admission_policy.h"
#include "servers/admission/server_slot.h"

#include <absl/time/time.h>
#include <vector>

namespace foxtailtally {

/** Tokens that each server holds of a context that is split over @p servers servers. */
std::int64_t contextPart(std::int64_t tokens, std::size_t servers);

/**
 * Chooses servers for long prompts and for contexts larger than one server. Long prompts use at
 * most a third of the group's servers at once, but at least one. A larger context is granted equal
 * parts of several servers, all at once or none. While these parts are not free, at most one such
 * context of the group gathers memory: for a bounded time the servers chosen for it (its members)
 * give no memory to other long requests, but short requests may still use it. Two contexts can
 * therefore neither deadlock by holding parts that the other needs nor delay short requests.
 */
class LongContextPlanner
{
public:
    /** False when a long prompt on @p slot would exceed the limit of servers with long prompts. */
    static bool mayRunLong(const ServerSlots &slots, const ServerSlot &slot);

    /**
     * Servers that together can run the whole context now, with the one that gets the prompt first;
     * empty when there are none. The caller must ensure that no other context on several servers is
     * running.
     */
    static std::vector<ServerSlot *> plan(const RequestProfile &profile, bool isSuspect,
                                          const ServerSlots &slots);

    /**
     * Starts to gather memory for @p request unless another request is gathering or the gathering
     * for this one has timed out recently.
     */
    void gather(const ReserveRequest &request, const ServerSlots &slots, absl::Time now);
    /** Stops gathering for a request that was granted, refused or withdrawn. */
    void stop(const RequestId &request, const ServerSlots &slots);
    /** Stops gathering after kGatherTimeout, or when a member is no longer usable. */
    void onTick(const ServerSlots &slots, absl::Time now);

    bool isGathering() const { return !this->gathering.isEmpty(); }
    /** When gathering times out; infinite while no request is gathering. */
    absl::Time gatherEnd() const;

private:
    RequestId gathering;
    std::vector<BackendServerId> members;
    absl::Time endsAt = absl::InfinitePast();
    /** The last request whose gathering timed out; until gatherBackoffUntil others may gather. */
    RequestId timedOutRequest;
    absl::Time gatherBackoffUntil = absl::InfinitePast();
};

} // namespace foxtailtally
