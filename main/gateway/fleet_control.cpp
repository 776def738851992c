#include "main/gateway/fleet_control.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/text.h"
#include "platform/control_calls.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace foxtailtally {

namespace {

/** Interval of the work; the lease is renewed once a second. */
constexpr absl::Duration kWorkInterval = absl::Milliseconds(50);
constexpr absl::Duration kMinWorkInterval = absl::Milliseconds(5);
/** Interval at which the own counts are merged and windows are settled. */
constexpr absl::Duration kCountInterval = absl::Milliseconds(250);
constexpr absl::Duration kPlanInterval = absl::Seconds(1);

/** Time for which a window stays open after its end. A plain call counts when it was sent, which is
 * known only when it is answered: with 4 calls a second of 300 ms each, one more or less in a
 * window of 5 s would be 5%. */
constexpr absl::Duration kCloseDelay = absl::Milliseconds(600);

/** Time after an acquisition until the demand of all instances has arrived. Other aggregators send
 * demand to the holder only, so what a new holder has is old, and its first difference would look
 * like a peak. */
constexpr absl::Duration kDemandDelay = absl::Seconds(3);

/** Difference between the reads of candidates in successive domains. */
constexpr absl::Duration kDomainStagger = absl::Milliseconds(60);

/** Part of the API's rate that is used, since the API may count in windows of its own. */
constexpr double kUsedRate = 0.9;
/** Wait after a call that the API has refused, or that has failed. */
constexpr absl::Duration kRefusedWait = absl::Milliseconds(200);
constexpr absl::Duration kFailedWait = absl::Milliseconds(500);
/** Wait before a report is repeated that the API has answered with another status. */
constexpr absl::Duration kRejectedReportWait = absl::Seconds(1);
/** Time of failing calls after which another instance should try: this one may be cut off. */
constexpr absl::Duration kApiFailureLimit = absl::Seconds(4);

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

Incarnation processIncarnation()
{
    return static_cast<Incarnation>(absl::ToUnixMicros(Clock::wallNow()));
}

DemandFigures figuresOf(const ServiceDemand &demand)
{
    return {demand.prefillUs, demand.slotMs, demand.memoryTokenMs, demand.requests};
}

ServiceDemand demandOf(const DemandFigures &figures)
{
    return {figures[0], figures[1], figures[2], figures[3]};
}

} // namespace

FleetControl::FleetControl(GatewayContext &context, const ControlSettings &settings)
    : context(context)
    , settings(settings)
    , election(context.settings.id, processIncarnation(),
               {settings.leaseTerm, context.settings.isFirstStart}, Clock::now())
    , leaseStore(context.base, context.settings.storeAddress, this->election,
                 [this] { this->work(); })
    , api(context.base, settings.address, *this)
    , counter({context.settings.id, processIncarnation()}, context.settings.domain,
              settings.usageWindow, kCloseDelay)
    , ledger(settings.usageWindow)
    , reporter(this->ledger, {settings.usageWindow, settings.usageDue})
    , usageExchange(context.base, context.exchange, this->counter, this->ledger, context.metrics)
    , demandHistory(Clock::now())
    , planner({settings.targetUtilisation, LimitScope::Domain})
    , timer(context.base, [this] { this->work(); })
{
    this->context.usage = &this->counter;
    this->context.demand = &this->demandMeter;
    LeaseListener *listener = this;
    this->usageExchange.setLeaseListener(listener);
}

FleetControl::~FleetControl()
{
    this->context.usage = nullptr;
    this->context.demand = nullptr;
}

void FleetControl::start()
{
    this->usageExchange.start();
    this->timer.start(kWorkInterval);
}

void FleetControl::beginStop(absl::Time now)
{
    this->isStopping = true;
    this->election.stepAside(StepAsideReason::Stopping, now);
    this->work();
}

void FleetControl::finish(absl::Time now)
{
    this->updateCounts(now);
    this->usageExchange.finish(now);
}

std::string FleetControl::exposition(absl::Time now) const
{
    const bool isHolder = this->election.mayAct(now);
    std::string text = absl::StrCat("foxtailtally_lease_held ", isHolder ? 1 : 0, "\n");
    if (const std::optional<FencingToken> token = this->election.token())
        absl::StrAppend(&text, "foxtailtally_lease_token ", *token, "\n");
    absl::StrAppend(&text, "foxtailtally_usage_windows_waiting ",
                    this->reporter.isActive() ? this->reporter.content().windows.size() : 0, "\n");
    for (const auto &[key, order] : this->acceptedOrders)
        absl::StrAppend(&text, "foxtailtally_servers_desired{service=\"", key.first, "\",domain=\"",
                        key.second.str(), "\"} ", order.replicas, "\n");
    return text;
}

void FleetControl::work()
{
    const absl::Time now = Clock::now();
    this->timer.start(kWorkInterval);
    this->updateCandidacy(now);
    this->followLease(now);
    this->updateCounts(now);
    this->settleUsage(now);
    this->callStore(now);
    this->planOrders(now);
    this->callControlApi(now);
    this->logChanges();
    // The election may have something to do before the next interval.
    const absl::Duration untilElection = this->election.nextAt() - now;
    if (!this->leaseStore.hasCall() && untilElection < kWorkInterval)
        this->timer.start(std::max(kMinWorkInterval, untilElection));
}

void FleetControl::updateCandidacy(absl::Time now)
{
    const FleetView &view = this->context.exchange.view();
    const bool isCandidate =
        !this->isStopping && !view.aggregator() && this->context.exchange.isListedInStore();
    const absl::btree_set<FailureDomainId> domains = view.domains();
    const auto rank =
        std::distance(domains.begin(), domains.lower_bound(this->context.settings.domain));
    this->election.setCandidate(isCandidate, kDomainStagger * rank, now);
}

void FleetControl::callStore(absl::Time now)
{
    if (this->leaseStore.hasCall())
        return;
    const LeaseCall due = this->election.next(now);
    if (std::holds_alternative<ReadLease>(due))
        this->leaseStore.read(now);
    else if (const auto *write = std::get_if<WriteLease>(&due))
        this->leaseStore.write(*write, now);
}

void FleetControl::followLease(absl::Time now)
{
    const LeaseRecord *confirmed = this->election.confirmed();
    const std::optional<FencingToken> token =
        confirmed ? this->election.token() : std::optional<FencingToken>();
    if (token != this->activeToken) {
        this->orders.clear();
        this->acceptedOrders.clear();
        this->apiFailsSince = absl::InfiniteFuture();
        if (this->activeToken)
            this->reporter.onLost();
        this->activeToken = token;
        if (token) {
            this->planner = ReplicaPlanner({this->settings.targetUtilisation, LimitScope::Domain});
            this->demandHistory = DemandHistory(now + kDemandDelay);
            this->acquiredAt = now;
            this->demandHeardAt.clear();
            this->nextReportAt = absl::InfinitePast();
            this->reporter.onAcquired(*confirmed, now);
        }
    }
    if (confirmed && this->reporter.isActive())
        this->reporter.onConfirmed(confirmed->content);
    const std::optional<LeaseAnnouncement> announcement = this->election.announcement();
    if (announcement != this->announced) {
        this->announced = announcement;
        this->usageExchange.announce(announcement, now);
    }
}

void FleetControl::updateCounts(absl::Time now)
{
    if (now - this->countsUpdatedAt < kCountInterval && !this->isStopping)
        return;
    this->countsUpdatedAt = now;
    for (const auto &[service, demand] : this->demandMeter.totals())
        this->counter.setDemand(service, figuresOf(demand));
    if (this->activeToken)
        this->usageExchange.mergeOwn(now);
}

void FleetControl::settleUsage(absl::Time now)
{
    if (!this->activeToken || !this->settings.reportsUsage)
        return;
    this->reporter.setReceivingSince(this->usageExchange.receivingSince());
    if (this->reporter.settle(now))
        this->election.setContent(*this->activeToken, this->reporter.content());
    for (const UsageSettled &settled : this->reporter.takeSettled()) {
        this->context.metrics
            .counter("foxtailtally_usage_windows_settled_total",
                     {{"complete", settled.isComplete ? "yes" : "no"}})
            .add();
        logEvent(LogLevel::Info, "usage_settled",
                 {{"window", settled.window},
                  {"requests", settled.requests},
                  {"complete", settled.isComplete}});
    }
    for (const UsageGivenUp &givenUp : this->reporter.takeGivenUp()) {
        this->context.metrics
            .counter("foxtailtally_usage_windows_given_up_total",
                     {{"reason", nameOf(givenUp.reason)}})
            .add(static_cast<std::uint64_t>(givenUp.last - givenUp.first + 1));
        logEssentialEvent(
            LogLevel::Warning, "usage_given_up",
            {{"first", givenUp.first}, {"last", givenUp.last}, {"reason", nameOf(givenUp.reason)}});
    }
}

void FleetControl::observeDemand(absl::Time now)
{
    this->demandHistory.setListed(this->context.exchange.view().listed(), now);
    for (const UsageRow &row : this->ledger.headers()) {
        absl::Time &heardAt =
            this->demandHeardAt.try_emplace(row.source.instance, absl::InfinitePast())
                .first->second;
        if (row.heardAt <= heardAt)
            continue;
        heardAt = row.heardAt;
        DemandTotals totals;
        for (const auto &[service, figures] : row.demand)
            totals[service] = demandOf(figures);
        this->demandHistory.onTotals(row.source.instance, row.domain, row.source.incarnation,
                                     totals, row.heardAt);
    }
}

void FleetControl::planOrders(absl::Time now)
{
    const bool isDue = this->activeToken && now - this->plannedAt >= kPlanInterval
        && now - this->acquiredAt >= kDemandDelay;
    if (!this->settings.ordersServers || !isDue)
        return;
    this->plannedAt = now;
    this->observeDemand(now);
    if (!this->mayCall(now) || !this->orders.empty() || (this->call && !this->call->window))
        return;
    std::vector<ScalableServer> servers;
    absl::btree_set<FailureDomainId> evacuated;
    for (const ServerDirectory::Server *server : this->context.directory.all()) {
        const ServerEntry &entry = server->entry;
        const bool isPaused = !this->context.directory.backpressure().mayGetWork(server->key, now);
        const bool isSuspect = this->context.health.isSuspect(server->key, now);
        servers.push_back({entry.service, entry.domain, this->context.directory.isDraining(*server),
                           isPaused || isSuspect,
                           std::max(absl::ZeroDuration(), server->coldUntil - now)});
        if (this->context.directory.evacuations().isEvacuated(entry.domain, now))
            evacuated.insert(entry.domain);
    }
    const std::vector<ScalingOrder> planned = this->planner.plan(
        {this->context.config.get(), servers, evacuated, this->acceptedOrders, this->demandHistory},
        now);
    this->orders.assign(planned.begin(), planned.end());
}

bool FleetControl::mayCall(absl::Time now) const
{
    return !this->isStopping && this->activeToken && this->election.mayAct(now);
}

void FleetControl::callControlApi(absl::Time now)
{
    if (this->api.hasCall() || now < this->nextCallAt || !this->mayCall(now))
        return;
    const SettledWindow *settled =
        this->settings.reportsUsage && now >= this->nextReportAt ? this->reporter.next() : nullptr;
    if (settled) {
        this->sendReport(*settled, now);
    } else if (!this->orders.empty()) {
        const ScalingOrder order = this->orders.front();
        this->orders.pop_front();
        this->sendOrder(order, now);
    }
}

void FleetControl::sendReport(const SettledWindow &settled, absl::Time now)
{
    this->call = Call {*this->activeToken, now, settled.window, 0, {}};
    for (const auto &[customer, count] : settled.counts)
        this->call->requests += count;
    this->api.send(platform::encodeUsageCall(this->settings.address,
                                             {this->context.settings.id, *this->activeToken},
                                             settled.window, settled.counts));
}

void FleetControl::sendOrder(const ScalingOrder &order, absl::Time now)
{
    this->call = Call {*this->activeToken, now, std::nullopt, 0, order};
    this->api.send(platform::encodeScalingCall(this->settings.address,
                                               {this->context.settings.id, *this->activeToken},
                                               order.service, order.domain, order.replicas));
}

bool FleetControl::mayWriteControlCall()
{
    const absl::Time now = Clock::now();
    if (!this->call || !this->mayCall(now) || this->election.token() != this->call->token)
        return false;
    this->election.onActed(now);
    return true;
}

void FleetControl::onControlAnswer(int status)
{
    const absl::Time now = Clock::now();
    const Call done = *this->call;
    this->apiFailsSince = absl::InfiniteFuture();
    // An earlier call without a response may still be on its way.
    if (now - this->unansweredAt > LeaderElection::kTransit)
        this->election.onActsEnded();
    const bool isRefused = status == kStatusTooManyRequests || status == kStatusUnavailable;
    const absl::Duration interval =
        absl::Seconds(1.0 / (this->settings.callsPerSecond * kUsedRate));
    this->nextCallAt = std::max(done.startedAt + interval, isRefused ? now + kRefusedWait : now);
    this->countCall(status == kStatusOk ? "accepted" : isRefused ? "refused" : "rejected");
    const bool isCurrent = this->activeToken == done.token;
    if (isCurrent && done.window)
        this->onUsageAnswer(status, now);
    else if (isCurrent)
        this->onOrderAnswer(status, now);
    this->call.reset();
    // The next call replaces the connection, whose callback is running.
    this->timer.start(absl::ZeroDuration());
}

void FleetControl::onUsageAnswer(int status, absl::Time now)
{
    const std::int64_t window = *this->call->window;
    if (status != kStatusOk) {
        const bool isRefused = status == kStatusTooManyRequests || status == kStatusUnavailable;
        this->nextReportAt = now + (isRefused ? kRefusedWait : kRejectedReportWait);
        logEvent(LogLevel::Warning, "usage_not_accepted", {{"window", window}, {"status", status}});
        return;
    }
    this->reporter.onReported(window);
    this->election.setContent(*this->activeToken, this->reporter.content());
    this->context.metrics.counter("foxtailtally_usage_windows_reported_total").add();
    logEvent(
        LogLevel::Info, "usage_reported",
        {{"window", window},
         {"requests", this->call->requests},
         {"token", this->call->token},
         {"after_ms",
          absl::ToInt64Milliseconds(now - usageWindowEnd(window, this->settings.usageWindow))}});
}

void FleetControl::onOrderAnswer(int status, absl::Time now)
{
    const ScalingOrder &order = this->call->order;
    if (status != kStatusOk) {
        logEvent(LogLevel::Warning, "servers_not_ordered",
                 {{"service", order.service},
                  {"domain", order.domain.str()},
                  {"servers", order.replicas},
                  {"status", status}});
        return;
    }
    this->acceptedOrders[{order.service, order.domain}] = {order.replicas, now,
                                                           order.need.servers()};
    this->context.metrics
        .counter("foxtailtally_servers_ordered_total",
                 {{"service", order.service},
                  {"domain", order.domain.str()},
                  {"reason", scalingReasonName(order.reason)}})
        .add();
    logEvent(LogLevel::Info, "servers_ordered",
             {{"service", order.service},
              {"domain", order.domain.str()},
              {"previous", order.previous},
              {"servers", order.replicas},
              {"need", order.need.servers()},
              {"resource", order.need.resource()},
              {"reason", scalingReasonName(order.reason)},
              {"token", this->call->token}});
}

void FleetControl::onNoControlAnswer(std::string_view cause, bool mayHaveRun)
{
    const absl::Time now = Clock::now();
    const Call failed = *this->call;
    this->call.reset();
    this->timer.start(absl::ZeroDuration());
    if (mayHaveRun)
        this->unansweredAt = now;
    const bool isCurrent = this->activeToken == failed.token && this->election.mayAct(now);
    if (!isCurrent && !mayHaveRun) {
        this->countCall("withheld");
        return;
    }
    this->countCall("unanswered");
    this->nextCallAt = now + kFailedWait;
    this->apiFailsSince = std::min(this->apiFailsSince, failed.startedAt);
    if (now - this->apiFailsSince >= kApiFailureLimit) {
        this->apiFailsSince = absl::InfiniteFuture();
        this->election.stepAside(StepAsideReason::ControlApiFails, now);
    }
    logEvent(LogLevel::Warning, "control_call_unanswered",
             {{"call", failed.window ? "usage" : "servers"},
              {"cause", cause},
              {"may_have_run", mayHaveRun}});
}

void FleetControl::onLeaseAnnouncement(const LeaseAnnouncement &announcement, absl::Duration,
                                       absl::Time now)
{
    this->election.onHolderHeard(announcement, now);
}

void FleetControl::countCall(std::string_view result)
{
    this->context.metrics.counter("foxtailtally_control_calls_total", {{"result", result}}).add();
}

void FleetControl::logChanges()
{
    for (const LeaderChange &change : this->election.takeChanges()) {
        this->context.metrics
            .counter("foxtailtally_leader_changes_total", {{"reason", nameOf(change.reason)}})
            .add();
        logEvent(LogLevel::Info, "leader_changed",
                 {{"holder", change.holder.str()},
                  {"token", change.token},
                  {"reason", nameOf(change.reason)}});
    }
}

} // namespace foxtailtally
