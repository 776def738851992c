#pragma once

#include "servers/admission/admission_policy.h"
#include "servers/admission/server_slot.h"

#include <absl/time/time.h>
#include <vector>

namespace foxtailtally {

/** Memory that each server holds of a context that is spread over @p servers servers, in tokens. */
std::int64_t contextPart(std::int64_t tokens, std::size_t servers);

/**
 * Chooses servers for long prompts and for contexts larger than one server. Long prompts use at
 * most a third of the group's servers at once, at least one. A larger context takes equal parts of
 * several servers, all at once or none. While the parts are not free, at most one such context of
 * the group gathers memory: for a bounded time its members give no memory to other long requests,
 * but short requests use it as if nothing were gathered. Two contexts therefore neither hold parts
 * that the other needs nor delay short requests.
 */
class LongContextPlanner
{
public:
    /** False when the long prompt would take one server too many from the short ones. */
    static bool mayRunLong(const ServerSlots &slots, const ServerSlot &slot);

    /**
     * Servers that can run the whole context now, the one for the prompt first, or none. The caller
     * makes sure that no other context on several servers is running.
     */
    static std::vector<ServerSlot *> plan(const RequestProfile &profile, bool isSuspect,
                                          const ServerSlots &slots);

    /** Starts to gather for @p request unless another gather is under way or it had its turn. */
    void gather(const ReserveRequest &request, const ServerSlots &slots, absl::Time now);
    /** Ends the gather of a request that was granted, refused or withdrawn. */
    void stop(const RequestId &request, const ServerSlots &slots);
    /** Ends the gather when it has lasted too long, or when a member cannot take work. */
    void onTick(const ServerSlots &slots, absl::Time now);

    bool isGathering() const { return !this->gathering.isEmpty(); }
    /** When the gather ends at the latest; infinite without one. */
    absl::Time gatherEnd() const;

private:
    RequestId gathering;
    std::vector<BackendServerId> members;
    absl::Time endsAt = absl::InfinitePast();
    /** The last request whose gather ran out of time; it lets others go first. */
    RequestId timedOutRequest;
    absl::Time gatherBackoffUntil = absl::InfinitePast();
};

} // namespace foxtailtally
