#pragma once

#include "servers/admission/admission_policy.h"
#include "servers/admission/group_servers.h"
#include "servers/admission/long_context_planner.h"
#include "servers/admission/wait_queue.h"

#include <absl/time/time.h>
#include <optional>
#include <vector>

namespace foxtailtally {

/**
 * Admission by prediction: requests wait in classes, ordered by deadline, start on the server that
 * is predicted to finish them first, and are refused at once when their deadline cannot be met.
 * Long prompts are restricted to a part of the servers; the others remain free for short prompts.
 */
class GroupAdmission : public AdmissionPolicy
{
public:
    explicit GroupAdmission(AdmissionOptions options);

    AdmissionActions reserve(const ReserveRequest &request, absl::Time now) override;
    AdmissionActions withdraw(const RequestId &request, absl::Time now) override;
    AdmissionActions release(const PermitRelease &release, absl::Time now) override;
    AdmissionActions onPermitReport(const PermitReport &report, absl::Time now) override;
    AdmissionActions setServers(std::span<const BackendServer> servers, absl::Time now) override;
    AdmissionActions setLimits(std::span<const UsableUnits> limits, absl::Time now) override;
    AdmissionActions onLoadReport(const LoadReport &report, absl::Time now) override;
    AdmissionActions onServerLost(const BackendServerId &server, absl::Time now) override;
    AdmissionActions onInstanceDead(const InstanceId &instance, Incarnation incarnation,
                                    absl::Time now) override;
    AdmissionActions onSuspect(const Fingerprint &fingerprint, std::uint32_t deaths,
                               absl::Time now) override;
    AdmissionActions stop(RefusalReason reason, absl::Time now) override;
    void resume() override { this->stopReason = RefusalReason::None; }
    AdmissionActions onTick(absl::Time now) override;
    absl::Time nextTick() const override;
    GroupSummary summary(absl::Time now) override;

    const GroupServers &groupServers() const override { return this->servers; }

private:
    /** Memory held on one server for a request that smaller ones would otherwise bypass. */
    struct BlockedHold
    {
        RequestId request;
        BackendServerId server;
        absl::Time endsAt;
    };

    /** Refusal that does not depend on the queue; empty when the request may wait. */
    std::optional<Refusal> immediateRefusal(const RequestProfile &profile, absl::Time now) const;
    std::optional<Refusal> predictedRefusal(const RequestProfile &profile, absl::Time now) const;
    WaitLane laneOf(const RequestProfile &profile, absl::Time now) const;
    bool isSpanning(const RequestProfile &profile) const;

    bool fits(const ServerSlot &slot, const RequestProfile &profile, absl::Time now) const;
    /** False when the server cannot take the request until some of its current ones have ended. */
    bool isEligible(const ServerSlot &slot, const RequestProfile &profile, absl::Time now) const;
    std::vector<ServerSlot *> place(const RequestProfile &profile, absl::Time now) const;
    std::vector<ServerSlot *> placeOnOne(const RequestProfile &profile, absl::Time now) const;

    /** Grants what fits, refuses requests that can no longer meet their deadline, updates holds. */
    AdmissionActions dispatch(absl::Time now);
    bool grantNext(AdmissionActions &actions, absl::Time now);
    void refuseUnreachable(AdmissionActions &actions, absl::Time now);
    void refuseAll(RefusalReason reason, absl::Duration retryAfter, AdmissionActions &actions,
                   absl::Time now);
    void updateHolds(absl::Time now);
    /** How long smaller requests may bypass a blocked one. */
    absl::Duration maxBypassTime(const ReserveRequest &request) const;
    void holdForBlocked(const WaitingRequest &waiting, absl::Time now);
    /** Removes a request from the queue and drops all memory holds for it. */
    std::optional<WaitingRequest> removeWaiting(const RequestId &request);
    absl::Time latestStartOf(const RequestProfile &profile) const;

    GroupServers servers;
    WaitQueue queue;
    LongContextPlanner planner;
    std::optional<BlockedHold> blockedHold;
    RefusalReason stopReason = RefusalReason::None;
    /** Since when no server has usable memory; infinite while one has, and during a takeover. */
    absl::Time noCapacitySince = absl::InfiniteFuture();
    absl::Time lastDispatch = absl::InfinitePast();
    absl::Time lastEstimate = absl::InfinitePast();
};

} // namespace foxtailtally
