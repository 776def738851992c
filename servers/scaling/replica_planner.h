#pragma once

#include "core/ids.h"
#include "servers/catalog/serving_config.h"
#include "servers/scaling/demand_history.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>
#include <absl/types/span.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailtally {

/** Why a number of servers is ordered. */
enum class ScalingReason : std::uint8_t {
    DemandRise,
    DemandFall,
    /** The domains in use serve the demand of an evacuated one. */
    Evacuation,
    /** The domains in use serve the demand of one that is not visible. */
    DomainUnseen,
    /** Servers are missing, suspect, draining or cold. */
    CapacityLoss,
    /** The number ordered before is outside the configured limits. */
    Limits,
};
/** Stable name for logs and metrics. */
std::string_view scalingReasonName(ScalingReason reason);

/** What the limits of a service apply to. */
enum class LimitScope : std::uint8_t {
    /** The number in each failure domain. */
    Domain,
    /** The sum of the numbers in all failure domains. */
    Total,
};

/** Servers that the forecast needs at the target utilisation, by resource. */
struct ScalingNeed
{
    double prefill = 0;
    double slots = 0;
    double memory = 0;

    double servers() const;
    /** Name of the resource that needs the most servers. */
    std::string_view resource() const;
};

struct ScalingOrder
{
    std::string service;
    FailureDomainId domain;
    std::int64_t replicas = 0;
    /** Number that was in force. */
    std::int64_t previous = 0;
    ScalingReason reason = ScalingReason::DemandRise;
    /** Need of the whole fleet. */
    ScalingNeed need;
};

/** An order that the control API accepted. */
struct AcceptedOrder
{
    std::int64_t replicas = 0;
    absl::Time orderedAt;
    /** Servers that the whole fleet needed. */
    double neededServers = 0;
};
/** The last accepted order of this holder, by service and failure domain. */
using AcceptedOrders = absl::btree_map<std::pair<std::string, FailureDomainId>, AcceptedOrder>;

/** A listed backend server, as far as the planner needs it. */
struct ScalableServer
{
    std::string service;
    FailureDomainId domain;
    bool isDraining = false;
    /** Paused, unresponsive or otherwise doubtful. */
    bool isSuspect = false;
    absl::Duration coldLeft = absl::ZeroDuration();
};

struct ScalingOptions
{
    /** Fraction of a server's time that is used at the forecast peak. */
    double targetUtilisation = 0.6;
    LimitScope limitScope = LimitScope::Domain;
};

/** What a plan is based on. */
struct ScalingInput
{
    /** Null while the configuration is unknown; nothing is ordered then. */
    const ServingConfig *config = nullptr;
    absl::Span<const ScalableServer> servers;
    const absl::btree_set<FailureDomainId> &evacuated;
    const AcceptedOrders &lastOrders;
    const DemandHistory &demand;
};

/** Decides the number of backend servers of each service with limits in each failure domain. */
class ReplicaPlanner
{
public:
    /** Window of the forecast, and time for which the need must have been lower before a number
     * falls. Longer than a period of load that swings every ten seconds. */
    static constexpr absl::Duration kForecastWindow = absl::Seconds(20);
    /** Part of a domain's servers that one order removes at most. */
    static constexpr double kLargestDecrease = 0.25;
    /** Rise of the need that is ordered without waiting for half the start-up time. */
    static constexpr double kUrgentRise = 1.1;
    /** Time beyond the start-up time within which ordered servers must be listed. */
    static constexpr absl::Duration kListingMargin = absl::Seconds(5);
    /** Part of a server that a suspect or a long cold one counts as. */
    static constexpr double kDoubtfulServer = 0.5;

    explicit ReplicaPlanner(const ScalingOptions &options)
        : options(options)
    { }

    /** Orders to be sent now. An order that is not accepted is planned again by the next call.
     * Call it about once a second, with the same planner while this instance is the holder. */
    std::vector<ScalingOrder> plan(const ScalingInput &input, absl::Time now);

    /** Servers of @p service that the forecast needs. */
    ScalingNeed need(const Service &service, const DemandHistory &demand, absl::Time now) const;

private:
    /** Since when fewer servers are listed than ordered. */
    using ShortSince = absl::btree_map<std::pair<std::string, FailureDomainId>, absl::Time>;

    ScalingOptions options;
    ShortSince shortSince;
};

} // namespace foxtailtally
