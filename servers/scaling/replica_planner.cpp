#include "servers/scaling/replica_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace foxtailtally {

namespace {

/** Keeps rounding errors in sums of capacity from adding a server. */
constexpr double kTolerance = 1e-6;
constexpr double kMinUtilisation = 0.01;
/** Least number of servers in a domain, even if the limits allow none: without servers, load that
 * returns would wait for a whole start-up time. */
constexpr std::int64_t kMinServers = 1;

using DomainKey = std::pair<std::string, FailureDomainId>;
using ShortSince = absl::btree_map<DomainKey, absl::Time>;

/** Servers that @p rate occupies completely, if a server provides @p capacity a second. */
double occupiedServers(double rate, double capacity)
{
    return capacity > 0 ? rate / capacity : 0.0;
}

/** State of a service in one failure domain. */
struct Domain
{
    FailureDomainId id;
    /** Number in force. */
    std::int64_t number = 0;
    std::int64_t target = 0;
    /** Listed servers that do not drain, and their capacity in servers. */
    std::int64_t listed = 0;
    double capacity = 0;
    /** Capacity in servers, with those that are expected to be listed soon. */
    double provided = 0;
    std::optional<AcceptedOrder> lastOrder;
    bool isEvacuated = false;
    /** Not visible for longer than the start-up time. */
    bool isCutOff = false;
    ScalingReason reason = ScalingReason::DemandRise;

    bool isInUse() const { return !this->isEvacuated && !this->isCutOff; }
};

/** Limits in the scope that they apply to. */
class NumberLimits
{
public:
    NumberLimits(const ScalingLimits &limits, LimitScope scope)
        : minimum(std::min(std::max(limits.minimum, kMinServers), limits.maximum))
        , maximum(limits.maximum)
        , isTotal(scope == LimitScope::Total)
    { }

    std::int64_t domainMinimum() const
    {
        return this->isTotal ? std::min(kMinServers, this->maximum) : this->minimum;
    }
    std::int64_t domainMaximum() const { return this->maximum; }
    bool mayRise(std::int64_t number, std::int64_t total) const
    {
        return number < this->maximum && (!this->isTotal || total < this->maximum);
    }
    bool mayFall(std::int64_t number, std::int64_t total) const
    {
        return number > this->domainMinimum() && (!this->isTotal || total > this->minimum);
    }
    bool isTotalTooLow(std::int64_t total) const { return this->isTotal && total < this->minimum; }
    bool isTotalTooHigh(std::int64_t total) const { return this->isTotal && total > this->maximum; }

private:
    std::int64_t minimum;
    std::int64_t maximum;
    bool isTotal;
};

/** The plan for one service at one time. */
class ServicePlan
{
public:
    ServicePlan(const Service &service, const ScalingOptions &options, const ScalingNeed &need,
                const ScalingInput &input, absl::Time now)
        : service(service)
        , limits(*service.scaling)
        , numberLimits(*service.scaling, options.limitScope)
        , need(need)
        , input(input)
        , now(now)
    { }

    std::vector<ScalingOrder> orders(ShortSince &shortSince)
    {
        this->collectDomains();
        for (Domain &domain : this->domains)
            this->assess(domain, shortSince);
        this->applyLimits();
        const double shortage = this->need.servers() - this->plannedInUse();
        if (shortage > kTolerance)
            this->raise(static_cast<std::int64_t>(std::ceil(shortage - kTolerance)));
        else if (this->mayLower())
            this->lower(static_cast<std::int64_t>(std::floor(-shortage + kTolerance)));
        std::vector<ScalingOrder> orders;
        for (const Domain &domain : this->domains) {
            if (domain.target != domain.number)
                orders.push_back({this->service.name, domain.id, domain.target, domain.number,
                                  domain.reason, this->need});
        }
        return orders;
    }

private:
    void collectDomains()
    {
        absl::btree_map<FailureDomainId, Domain> found;
        for (const ScalableServer &server : this->input.servers) {
            if (server.service != this->service.name)
                continue;
            Domain &domain = found[server.domain];
            if (server.isDraining)
                continue;
            ++domain.listed;
            // A server that is cold for longer than the start-up time is not warm before one that
            // is ordered now. Others that are cold are counted as those that are starting.
            const bool isDoubtful = server.isSuspect || server.coldLeft > this->limits.startupTime;
            domain.capacity += isDoubtful ? ReplicaPlanner::kDoubtfulServer : 1.0;
        }
        for (const auto &[key, order] : this->input.lastOrders) {
            if (key.first == this->service.name)
                found[key.second].lastOrder = order;
        }
        // After the loss of all servers and a change of the holder, only the instances tell which
        // domains there are.
        if (found.empty()) {
            for (const FailureDomainId &id : this->input.demand.listedDomains())
                found.try_emplace(id);
        }
        for (auto &[id, domain] : found) {
            domain.id = id;
            this->domains.push_back(domain);
        }
    }

    void assess(Domain &domain, ShortSince &shortSince) const
    {
        domain.number = domain.lastOrder ? domain.lastOrder->replicas : domain.listed;
        domain.target = domain.number;
        domain.provided = domain.capacity;
        const std::int64_t missing = domain.number - domain.listed;
        const DomainKey key(this->service.name, domain.id);
        if (missing > 0) {
            const absl::Time since = shortSince.try_emplace(key, this->now).first->second;
            const absl::Duration patience =
                this->limits.startupTime + ReplicaPlanner::kListingMargin;
            if (this->now < std::max(since, domain.lastOrder->orderedAt) + patience)
                domain.provided += static_cast<double>(missing);
        } else {
            shortSince.erase(key);
            // The servers in excess will drain.
            if (missing < 0)
                domain.provided *=
                    static_cast<double>(domain.number) / static_cast<double>(domain.listed);
        }
        domain.isEvacuated = this->input.evacuated.contains(domain.id);
        const auto unseen = this->input.demand.unseenDomains(this->now);
        const auto found = unseen.find(domain.id);
        domain.isCutOff =
            found != unseen.end() && this->now - found->second >= this->limits.startupTime;
    }

    /** Capacity of the domains in use, in servers, once the targets are reached. */
    double plannedInUse() const
    {
        double capacity = 0;
        for (const Domain &domain : this->domains) {
            if (domain.isInUse())
                capacity += domain.provided + static_cast<double>(domain.target - domain.number);
        }
        return capacity;
    }

    std::int64_t totalTarget() const
    {
        return std::accumulate(
            this->domains.begin(), this->domains.end(), std::int64_t {0},
            [](std::int64_t sum, const Domain &domain) { return sum + domain.target; });
    }

    /** Corrects numbers that were ordered within other limits. A listed number may lie outside
     * them, because the platform began with it; that alone is no reason for an order. */
    void applyLimits()
    {
        for (Domain &domain : this->domains) {
            if (domain.isEvacuated || !domain.lastOrder || !this->isOrderDue(domain))
                continue;
            domain.target = std::clamp(domain.number, this->numberLimits.domainMinimum(),
                                       this->numberLimits.domainMaximum());
            domain.reason = ScalingReason::Limits;
        }
        const bool areAllOrdered =
            std::all_of(this->domains.begin(), this->domains.end(),
                        [](const Domain &domain) { return domain.lastOrder.has_value(); });
        while (areAllOrdered && this->numberLimits.isTotalTooLow(this->totalTarget())) {
            Domain *const lowest = this->lowest();
            if (!lowest)
                break;
            ++lowest->target;
        }
        while (areAllOrdered && this->numberLimits.isTotalTooHigh(this->totalTarget())) {
            Domain *const highest = this->highest([this](const Domain &domain) {
                return domain.isInUse() && domain.target > this->numberLimits.domainMinimum();
            });
            if (!highest)
                break;
            --highest->target;
        }
    }

    void raise(std::int64_t count)
    {
        const ScalingReason reason = this->reasonOfShortage();
        absl::btree_map<FailureDomainId, std::int64_t> before;
        for (const Domain &domain : this->domains)
            before[domain.id] = domain.target;
        while (count > 0) {
            Domain *const lowest = this->lowest();
            if (!lowest)
                break;
            // The platform may have begun with fewer servers than the limits allow to order. Then
            // one domain may provide all that is missing.
            const std::int64_t step =
                std::max<std::int64_t>(1, this->numberLimits.domainMinimum() - lowest->target);
            lowest->target += step;
            count -= step;
        }
        for (Domain &domain : this->domains) {
            if (domain.target <= before[domain.id])
                continue;
            domain.reason = reason;
            if (!this->isOrderDue(domain))
                domain.target = domain.number;
        }
    }

    void lower(std::int64_t count)
    {
        for (; count > 0; --count) {
            Domain *const highest =
                this->highest([this](const Domain &domain) { return this->mayLower(domain); });
            if (!highest)
                return;
            --highest->target;
            highest->reason = ScalingReason::DemandFall;
        }
    }

    /** The domain in use with the fewest servers that may get one more; null without one. */
    Domain *lowest()
    {
        Domain *lowest = nullptr;
        const std::int64_t total = this->totalTarget();
        for (Domain &domain : this->domains) {
            if (domain.isInUse() && this->numberLimits.mayRise(domain.target, total)
                && (!lowest || domain.target < lowest->target))
                lowest = &domain;
        }
        return lowest;
    }

    template <typename Predicate>
    Domain *highest(Predicate isAllowed)
    {
        Domain *highest = nullptr;
        for (Domain &domain : this->domains) {
            if (isAllowed(domain) && (!highest || domain.target > highest->target))
                highest = &domain;
        }
        return highest;
    }

    ScalingReason reasonOfShortage() const
    {
        double inUse = 0;
        double evacuated = 0;
        double cutOff = 0;
        for (const Domain &domain : this->domains) {
            double &sum = domain.isEvacuated ? evacuated : domain.isCutOff ? cutOff : inUse;
            sum += static_cast<double>(domain.number);
        }
        const double needed = this->need.servers();
        if (needed <= inUse)
            return ScalingReason::CapacityLoss;
        if (needed <= inUse + evacuated)
            return ScalingReason::Evacuation;
        return needed <= inUse + evacuated + cutOff ? ScalingReason::DomainUnseen
                                                    : ScalingReason::DemandRise;
    }

    /** Whether the pause after the last order for @p domain is over. */
    bool isOrderDue(const Domain &domain) const
    {
        if (!domain.lastOrder
            || this->now - domain.lastOrder->orderedAt >= this->limits.startupTime / 2)
            return true;
        return this->need.servers() > domain.lastOrder->neededServers * ReplicaPlanner::kUrgentRise;
    }

    /** Whether all demand of the whole forecast window is known. */
    bool mayLower() const
    {
        const DemandHistory &demand = this->input.demand;
        if (demand.span(this->now) < ReplicaPlanner::kForecastWindow
            || !demand.unseenInstances(this->now).empty())
            return false;
        const auto listed = demand.listedDomains();
        const auto unseen = demand.unseenDomains(this->now);
        // The instances of an evacuated domain may have been shut down.
        return std::all_of(unseen.begin(), unseen.end(), [this, &listed](const auto &domain) {
            return this->input.evacuated.contains(domain.first) && !listed.contains(domain.first);
        });
    }

    bool mayLower(const Domain &domain) const
    {
        const std::int64_t most =
            std::max<std::int64_t>(1,
                                   static_cast<std::int64_t>(static_cast<double>(domain.number)
                                                             * ReplicaPlanner::kLargestDecrease));
        const absl::Duration pause =
            std::max(ReplicaPlanner::kForecastWindow, this->limits.startupTime);
        return domain.isInUse() && domain.number - domain.target < most
            && this->numberLimits.mayFall(domain.target, this->totalTarget())
            && (!domain.lastOrder || this->now - domain.lastOrder->orderedAt >= pause);
    }

    const Service &service;
    const ScalingLimits &limits;
    NumberLimits numberLimits;
    const ScalingNeed &need;
    const ScalingInput &input;
    absl::Time now;
    std::vector<Domain> domains;
};

} // namespace

std::string_view scalingReasonName(ScalingReason reason)
{
    switch (reason) {
    case ScalingReason::DemandRise:
        return "demand_rise";
    case ScalingReason::DemandFall:
        return "demand_fall";
    case ScalingReason::Evacuation:
        return "evacuation";
    case ScalingReason::DomainUnseen:
        return "domain_unseen";
    case ScalingReason::CapacityLoss:
        return "capacity_loss";
    case ScalingReason::Limits:
        return "limits";
    }
    return "unknown";
}

double ScalingNeed::servers() const
{
    return std::max({this->prefill, this->slots, this->memory});
}

std::string_view ScalingNeed::resource() const
{
    if (this->prefill >= this->slots && this->prefill >= this->memory)
        return "prefill";
    return this->slots >= this->memory ? "slots" : "memory";
}

ScalingNeed ReplicaPlanner::need(const Service &service, const DemandHistory &demand,
                                 absl::Time now) const
{
    constexpr double kMsPerSecond = 1000.0;
    const DemandRate forecast = demand.peakRate(service.name, kForecastWindow, now);
    const double usable = kMsPerSecond * std::max(kMinUtilisation, this->options.targetUtilisation);
    const EngineTiming &engine = service.engine;
    return {
        occupiedServers(forecast.prefillMs, usable),
        occupiedServers(forecast.slotMs, usable * static_cast<double>(engine.slots)),
        occupiedServers(forecast.memoryTokenMs, usable * static_cast<double>(engine.memoryTokens))};
}

std::vector<ScalingOrder> ReplicaPlanner::plan(const ScalingInput &input, absl::Time now)
{
    std::vector<ScalingOrder> orders;
    if (!input.config)
        return orders;
    for (const Service *const service : input.config->scalableServices()) {
        if (!service->isEngine)
            continue;
        const ScalingNeed needed = this->need(*service, input.demand, now);
        ServicePlan plan(*service, this->options, needed, input, now);
        const std::vector<ScalingOrder> planned = plan.orders(this->shortSince);
        orders.insert(orders.end(), planned.begin(), planned.end());
    }
    return orders;
}

} // namespace foxtailtally
