#pragma once

#include "core/hash.h"
#include "servers/admission/group_admission.h"

namespace foxtailtally {

/** Faults that the checks of AdmissionModel must detect. */
enum class AdmissionFault {
    None,
    /** Loses one release in eight and all permit reports. */
    LosesReleases,
    /** Frees the permits of a dead entry instance before its engines have cancelled them. */
    FreesDeadAtOnce,
    DoublesMemory,
    IgnoresSuspects,
    /** Treats every server as warm. */
    IgnoresCold,
    /** Takes over without accounting for requests that the engines already run. */
    IgnoresEarlierOwner,
    /** Grants before the takeover has ended. */
    IgnoresReadyAt,
    /** Ignores stop(). */
    IgnoresStop,
    AnswersTwice,
    LosesRefusals,
    /** Grants batch requests only when nothing else runs. */
    StarvesBatch,
    /** Sets a retry time of 100 ms in each refusal. */
    ConstantRetryAfter,
};

/** GroupAdmission with one deliberate fault. */
class FaultyAdmission : public AdmissionPolicy
{
public:
    FaultyAdmission(AdmissionOptions options, AdmissionFault fault)
        : fault(fault)
        , inner(fault == AdmissionFault::IgnoresReadyAt
                    ? (options.readyAt = absl::InfinitePast(), options)
                    : options)
    { }

    AdmissionActions reserve(const ReserveRequest &request, absl::Time now) override
    {
        ReserveRequest changed = request;
        if (this->fault == AdmissionFault::IgnoresSuspects) {
            changed.profile.deathsSeen = 0;
            changed.profile.fingerprint = fingerprintOf(std::to_string(++this->reservations));
        }
        if (this->fault == AdmissionFault::StarvesBatch
            && request.profile.requestClass == RequestClass::Batch) {
            this->held.push_back(request);
            return {};
        }
        return this->alter(this->inner.reserve(changed, now));
    }
    AdmissionActions withdraw(const RequestId &request, absl::Time now) override
    {
        return this->alter(this->inner.withdraw(request, now));
    }
    AdmissionActions release(const PermitRelease &release, absl::Time now) override
    {
        if (this->fault == AdmissionFault::LosesReleases && release.permit % 8 == 0)
            return {};
        return this->alter(this->inner.release(release, now));
    }
    AdmissionActions onPermitReport(const PermitReport &report, absl::Time now) override
    {
        if (this->fault == AdmissionFault::LosesReleases)
            return {};
        return this->alter(this->inner.onPermitReport(report, now));
    }
    AdmissionActions setServers(std::span<const BackendServer> servers, absl::Time now) override
    {
        return this->alter(this->inner.setServers(servers, now));
    }
    AdmissionActions setLimits(std::span<const UsableUnits> limits, absl::Time now) override
    {
        std::vector<UsableUnits> changed(limits.begin(), limits.end());
        for (UsableUnits &units : changed)
            units.memoryTokens *= this->fault == AdmissionFault::DoublesMemory ? 2 : 1;
        return this->alter(this->inner.setLimits(changed, now));
    }
    AdmissionActions onLoadReport(const LoadReport &report, absl::Time now) override
    {
        LoadReport changed = report;
        changed.warm = report.warm || this->fault == AdmissionFault::IgnoresCold;
        if (this->fault == AdmissionFault::IgnoresEarlierOwner)
            changed.running = changed.heldTokens = 0;
        return this->alter(this->inner.onLoadReport(changed, now));
    }
    AdmissionActions onServerLost(const BackendServerId &server, absl::Time now) override
    {
        return this->alter(this->inner.onServerLost(server, now));
    }
    AdmissionActions onInstanceDead(const InstanceId &instance, Incarnation incarnation,
                                    absl::Time now) override
    {
        AdmissionActions actions;
        if (this->fault == AdmissionFault::FreesDeadAtOnce)
            actions = this->inner.onPermitReport({instance, incarnation, {}}, now);
        const AdmissionActions more = this->inner.onInstanceDead(instance, incarnation, now);
        actions.insert(actions.end(), more.begin(), more.end());
        return this->alter(actions);
    }
    AdmissionActions onSuspect(const Fingerprint &fingerprint, std::uint32_t deaths,
                               absl::Time now) override
    {
        return this->alter(this->inner.onSuspect(fingerprint, deaths, now));
    }
    AdmissionActions stop(RefusalReason reason, absl::Time now) override
    {
        if (this->fault == AdmissionFault::IgnoresStop)
            return {};
        return this->alter(this->inner.stop(reason, now));
    }
    void resume() override { this->inner.resume(); }
    AdmissionActions onTick(absl::Time now) override
    {
        AdmissionActions actions = this->alter(this->inner.onTick(now));
        if (!this->held.empty() && this->inner.summary(now).running == 0) {
            const AdmissionActions more = this->inner.reserve(this->held.back(), now);
            this->held.pop_back();
            actions.insert(actions.end(), more.begin(), more.end());
        }
        return actions;
    }
    absl::Time nextTick() const override { return this->inner.nextTick(); }
    const GroupServers &groupServers() const override { return this->inner.groupServers(); }
    GroupSummary summary(absl::Time now) override { return this->inner.summary(now); }

private:
    AdmissionActions alter(AdmissionActions actions) const
    {
        if (this->fault == AdmissionFault::AnswersTwice && !actions.empty())
            actions.push_back(actions.back());
        for (AdmissionAction &action : actions) {
            auto *refused = std::get_if<RefuseAction>(&action);
            if (refused != nullptr && this->fault == AdmissionFault::ConstantRetryAfter)
                refused->refusal.retryAfter = absl::Milliseconds(100);
        }
        if (this->fault == AdmissionFault::LosesRefusals) {
            std::erase_if(actions, [](const AdmissionAction &action) {
                return std::holds_alternative<RefuseAction>(action);
            });
        }
        return actions;
    }

    AdmissionFault fault;
    GroupAdmission inner;
    std::vector<ReserveRequest> held;
    int reservations = 0;
};

} // namespace foxtailtally
