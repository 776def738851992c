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

/** The entry instance must have sent a granted request this long after the grant. */
constexpr absl::Duration kStartBy = absl::Seconds(1);

/**
 * The servers of one group with their permits: keeps ledgers, ramps and predictors up to date from
 * grants, releases and reports. Shared by all admission policies; decides nothing about order.
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
    /** Server deaths to be assumed for a request. */
    std::uint32_t deathsOf(const RequestProfile &profile, absl::Time now) const
    {
        return this->suspects.deathsOf(profile, now);
    }
    void expireHolds(absl::Time now);

    /** Records a permit for @p request on @p servers, the memory in equal parts. */
    GrantAction grant(const ReserveRequest &request, const std::vector<ServerSlot *> &servers,
                      absl::Time receivedAt, absl::Time now);

    /** True when nothing may be granted, because an earlier owner's permits are not yet counted. */
    bool isTakingOver(absl::Time now) const { return now < this->settings.readyAt; }
    const AdmissionOptions &options() const { return this->settings; }
    const ServerSlots &slots() const { return this->serverSlots; }
    std::size_t permitCount() const { return this->permits.size(); }
    std::size_t spanningCount() const { return this->spanning; }
    const QueueDelayEstimator &delays() const { return this->estimator; }

    /** Largest usable memory of one server that takes work, in tokens. */
    std::int64_t largestLimit() const;
    /** Largest memory of one server as listed, in tokens. */
    std::int64_t largestMemory() const;
    /** Memory of all servers as listed, in tokens. */
    std::int64_t totalMemory() const;
    std::int64_t usedTokens() const;
    /** Shortest predicted time to the last token on an idle server of the group. */
    absl::Duration minServiceTime(const RequestProfile &profile) const;

    /** Fills in everything of a summary that depends on servers only. */
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
        /** Engines may still run the request. */
        Orphaned,
    };
    using Permits = absl::flat_hash_map<PermitId, Permit>;

    ServerSlot *find(const BackendServerId &server) const;
    /** @p at is the time of the release or of the last moment in which the permit was used. */
    void endPermit(Permits::iterator permit, PermitEnd how, absl::Time at);
    /** Ends permits for which @p shouldEnd holds. */
    template <typename Predicate>
    void endPermits(PermitEnd how, absl::Time at, Predicate shouldEnd);
    void recordFinished(const Permit &permit, const PermitRelease &release, absl::Time now);
    void recordCancelled(const Permit &permit, const PermitRelease &release, absl::Time now);
    void restart(ServerSlot &slot, absl::Time reportTakenAt, absl::Time now);
    /** Takes all that runs on a lost server for suspects. */
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
