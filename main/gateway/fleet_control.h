#pragma once

#include "main/gateway/control_api.h"
#include "main/gateway/gateway_context.h"
#include "main/gateway/lease_store.h"
#include "main/gateway/usage_exchange.h"
#include "peers/http/loop_timer.h"
#include "servers/leadership/leader_election.h"
#include "servers/scaling/demand_history.h"
#include "servers/scaling/demand_meter.h"
#include "servers/scaling/replica_planner.h"
#include "servers/usage/usage_counter.h"
#include "servers/usage/usage_ledger.h"
#include "servers/usage/usage_reporter.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailtally {

/**
 * Takes part in the election of the instance that calls the control API and, while this instance is
 * that one, reports usage and orders servers. Created only in deployments with a control API.
 */
class FleetControl final : private ControlApiEvents, private LeaseListener
{
public:
    FleetControl(GatewayContext &context, const ControlSettings &settings);
    ~FleetControl() override;
    FleetControl(const FleetControl &) = delete;
    FleetControl &operator=(const FleetControl &) = delete;

    void start();
    /** The instance stops: makes no further calls to the control API and releases the lease. */
    void beginStop(absl::Time now);
    /** The lease is being released; the process should not end yet. */
    bool isReleasing() const { return this->election.isReleasing(); }
    /** The process ends: sends the last counts. */
    void finish(absl::Time now);
    /** Metrics that are not counters. */
    std::string exposition(absl::Time now) const;

private:
    /** A call to the control API that is in progress. */
    struct Call
    {
        FencingToken token = 0;
        absl::Time startedAt;
        /** The reported window, or nothing for an order. */
        std::optional<std::int64_t> window;
        std::int64_t requests = 0;
        ScalingOrder order;
    };

    bool mayWriteControlCall() override;
    void onControlAnswer(int status) override;
    void onNoControlAnswer(std::string_view cause, bool mayHaveRun) override;
    void onLeaseAnnouncement(const LeaseAnnouncement &announcement, absl::Duration age,
                             absl::Time now) override;

    /** Everything that is due; called by the timer and after each outcome. */
    void work();
    void updateCandidacy(absl::Time now);
    void callStore(absl::Time now);
    /** Starts or ends the duties when the lease was acquired or lost. */
    void followLease(absl::Time now);
    void updateCounts(absl::Time now);
    void settleUsage(absl::Time now);
    void observeDemand(absl::Time now);
    void planOrders(absl::Time now);
    void callControlApi(absl::Time now);
    void sendReport(const SettledWindow &settled, absl::Time now);
    void sendOrder(const ScalingOrder &order, absl::Time now);
    void onUsageAnswer(int status, absl::Time now);
    void onOrderAnswer(int status, absl::Time now);
    void countCall(std::string_view result);
    void logChanges();
    bool mayCall(absl::Time now) const;

    GatewayContext &context;
    ControlSettings settings;
    LeaderElection election;
    LeaseStore leaseStore;
    ControlApi api;
    DemandMeter demandMeter;
    UsageCounter counter;
    UsageLedger ledger;
    UsageReporter reporter;
    UsageExchange usageExchange;
    DemandHistory demandHistory;
    ReplicaPlanner planner;
    LoopTimer timer;

    /** Token of the lease for which the duties run. */
    std::optional<FencingToken> activeToken;
    std::optional<LeaseAnnouncement> announced;
    std::optional<Call> call;
    std::deque<ScalingOrder> orders;
    AcceptedOrders acceptedOrders;
    /** When the totals of each instance were last given to the history. */
    absl::btree_map<InstanceId, absl::Time> demandHeardAt;
    absl::Time countsUpdatedAt = absl::InfinitePast();
    absl::Time acquiredAt = absl::InfinitePast();
    absl::Time plannedAt = absl::InfinitePast();
    absl::Time nextCallAt = absl::InfinitePast();
    absl::Time nextReportAt = absl::InfinitePast();
    /** Start of the first of the calls that have failed since the last response. */
    absl::Time apiFailsSince = absl::InfiniteFuture();
    /** Last call without a response that may still arrive. */
    absl::Time unansweredAt = absl::InfinitePast();
    bool isStopping = false;
};

} // namespace foxtailtally
