#pragma once

#include "core/reservation.h"
#include "servers/admission/admission_options.h"
#include "servers/admission/admission_policy.h"
#include "servers/admission/queue_delay_estimator.h"
#include "servers/admission/server_slot.h"
#include "servers/admission/suspect_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtailtally {

/** Time after a grant within which the entry instance must send the request to the engine. */
constexpr absl::Duration kStartBy = absl::Seconds(1);

/**
 * The servers of one group and the permits on them. Updates memory ledgers, cold-start ramps and
 * predictors from grants, releases and reports. All admission policies use this class; the order in
 * which requests are granted is up to the policy.
 */
class GroupServers
{
public:
    explicit GroupServers(AdmissionOptions options);

    void setServers(std::span<const BackendServer> servers, absl::Time now);
    void setLimits(std::span<const UsableUnits> limits);
    void onLoadReport(const LoadReport &report, absl::Time now);
    void onServerLost(const BackendServerId &server, absl::Time now);
    void onInstanceDead(const InstanceId &instance, Incarnation incarnation, absl::Time now);
    void onPermitReport(const PermitReport &report, absl::Time now);
    void release(const PermitRelease &release, absl::Time now);
    void onSuspect(const Fingerprint &fingerprint, std::uint32_t deaths, absl::Time now);
    /** Number of server deaths that are attributed to a request. */
    std::uint32_t deathsOf(const RequestProfile &profile, absl::Time now) const
    {
        return this->suspects.deathsOf(profile, now);
    }
    void expireHolds(absl::Time now);

    /** Records a permit for @p request, with its memory in equal parts on @p servers. */
    GrantAction grant(const ReserveRequest &request, const std::vector<ServerSlot *> &servers,
                      absl::Time receivedAt, absl::Time now);

    /** True while nothing may be granted, because an earlier owner's permits are not yet known. */
    bool isTakingOver(absl::Time now) const { return now < this->settings.readyAt; }
    const AdmissionOptions &options() const { return this->settings; }
    const ServerSlots &slots() const { return this->serverSlots; }
    std::size_t permitCount() const { return this->permits.size(); }
    std::size_t spanningCount() const { return this->spanning; }
    const QueueDelayEstimator &delays() const { return this->estimator; }

    /** Largest usable memory of one usable server, in tokens. */
    std::int64_t largestLimit() const;
    /** Largest memory of one server as listed, in tokens. */
    std::int64_t largestMemory() const;
    /** Memory of all servers as listed, in tokens. */
    std::int64_t totalMemory() const;
    std::int64_t usedTokens() const;
    /** Shortest predicted time to the last token on an idle server of the group. */
    absl::Duration minServiceTime(const RequestProfile &profile) const;

    /** Summary with all fields that depend on servers only; the policy adds its queue. */
    GroupSummary summary(absl::Time now);

private:
    struct Permit
    {
        InstanceId holder;
        Incarnation holderIncarnation = 0;
        std::vector<BackendServerId> servers;
        std::int64_t tokens = 0;
        RequestClass requestClass = RequestClass::Normal;
        std::int64_t promptTokens = 0;
        std::int64_t maxNewTokens = 0;
        absl::Time grantedAt;
        absl::Duration predictedFirstToken;
        std::int64_t tokensAhead = 0;
        std::int64_t concurrent = 0;
        Fingerprint fingerprint {};
        bool isAdopted = false;
    };
    enum class PermitEnd {
        Freed,
        /** The engines may still run the request, so its memory stays reserved. */
        Orphaned,
    };
    using Permits = absl::flat_hash_map<PermitId, Permit>;

    ServerSlot *find(const BackendServerId &server) const;
    /** @p at is the time of the release, or the last time at which the permit was in use. */
    void endPermit(Permits::iterator permit, PermitEnd how, absl::Time at);
    /** Ends permits for which @p shouldEnd returns true. */
    template <typename Predicate>
    void endPermits(PermitEnd how, absl::Time at, Predicate shouldEnd);
    void recordFinished(const Permit &permit, const PermitRelease &release, absl::Time now);
    void recordCancelled(const Permit &permit, const PermitRelease &release, absl::Time now);
    void restart(ServerSlot &slot, absl::Time reportTakenAt, absl::Time now);
    /** Marks all requests on a lost server as suspects. */
    void markAllSuspect(const ServerSlot &slot, absl::Time now);
    void markSuspect(const Fingerprint &fingerprint);
    void adopt(const PermitReport &report, const HeldPermit &held, absl::Time now);
    bool isOwn(PermitId permit) const { return (permit >> kCounterBits) == this->ownerTag; }

    static constexpr int kCounterBits = 32;

    AdmissionOptions settings;
    ServerSlots serverSlots;
    Permits permits;
    QueueDelayEstimator estimator;
    SuspectTable suspects;
    std::size_t spanning = 0;
    std::uint64_t ownerTag;
    std::uint64_t lastCounter = 0;
    std::uint64_t summarySequence = 0;
};

} // namespace foxtailtally
