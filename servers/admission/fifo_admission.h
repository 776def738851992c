#pragma once

#include "servers/admission/admission_policy.h"
#include "servers/admission/group_servers.h"

#include <absl/time/time.h>
#include <deque>

namespace foxtailtally {

/**
 * Baseline for comparisons: first in, first out, without classes or prediction. The memory ledger,
 * cold limits and takeover work as in GroupAdmission. A request is refused only when its deadline
 * has passed, when it can never fit or when the queue is full.
 */
class FifoAdmission : public AdmissionPolicy
{
public:
    explicit FifoAdmission(AdmissionOptions options);

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
    struct Waiting
    {
        ReserveRequest request;
        absl::Time receivedAt;
    };

    std::vector<ServerSlot *> place(const RequestProfile &profile, absl::Time now) const;
    AdmissionActions dispatch(absl::Time now);

    GroupServers servers;
    std::deque<Waiting> queue;
    RefusalReason stopReason = RefusalReason::None;
    /** Whether the takeover had ended when dispatch() last ran. */
    bool isReady = false;
};

} // namespace foxtailtally
