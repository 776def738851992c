#pragma once

#include "core/ids.h"
#include "servers/scaling/demand_totals.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Demand a second. */
struct DemandRate
{
    double prefillMs = 0;
    double slotMs = 0;
    double memoryTokenMs = 0;
    double requests = 0;
};

/**
 * Rates of demand of the whole fleet in steps of a second, from the cumulative numbers of the
 * instances, and the instances and failure domains whose demand is not visible.
 */
class DemandHistory
{
public:
    static constexpr std::size_t kSteps = 60;
    /** An instance that has not been heard for this time is not visible. Rows are sent at least
     * once a second, so three have been lost. */
    static constexpr absl::Duration kSilence = absl::Seconds(3);
    /** A listed instance that is silent for this time, while others of its domain are heard, counts
     * as dead. */
    static constexpr absl::Duration kDeadAfter = absl::Seconds(kSteps);

    explicit DemandHistory(absl::Time startedAt)
        : startedAt(startedAt)
    { }

    /** The instances listed in the store with their domains, complete. */
    void setListed(const absl::btree_map<InstanceId, FailureDomainId> &instances, absl::Time now);
    /** Totals of an instance, also when they have not changed. Older incarnations and lower totals
     * are ignored. */
    void onTotals(const InstanceId &instance, const FailureDomainId &domain,
                  Incarnation incarnation, const DemandTotals &totals, absl::Time now);

    /** For each quantity, its highest mean over two successive steps that overlap the last
     * @p window. The step that @p now lies in is not complete and does not count. */
    DemandRate peakRate(std::string_view service, absl::Duration window, absl::Time now) const;

    /** Time for which demand has been observed. */
    absl::Duration span(absl::Time now) const { return now - this->startedAt; }
    /** Listed instances that are not heard, except dead ones. */
    absl::btree_set<InstanceId> unseenInstances(absl::Time now) const;
    /** Domains that have or had instances, none of which is heard, with the time since when. */
    absl::btree_map<FailureDomainId, absl::Time> unseenDomains(absl::Time now) const;
    /** Domains with listed instances. */
    absl::btree_set<FailureDomainId> listedDomains() const;

private:
    struct Instance
    {
        FailureDomainId domain;
        Incarnation incarnation = 0;
        DemandTotals totals;
        absl::Time heardAt = absl::InfinitePast();
        /** Time since when it has been listed or heard. */
        absl::Time knownSince = absl::InfinitePast();
        bool isListed = false;
        bool isCounted = false;
    };
    struct Step
    {
        /** Seconds since 1970 that this step begins with. */
        std::int64_t second = -1;
        DemandRate demand;
    };
    /** A ring of steps. */
    using Steps = std::vector<Step>;

    static bool isHeard(const Instance &instance, absl::Time now);
    bool isDomainHeard(const FailureDomainId &domain, absl::Time now) const;
    void spread(const std::string &service, const DemandRate &amount, absl::Time from,
                absl::Time until);
    void forgetDeparted(absl::Time now);

    absl::Time startedAt;
    absl::btree_map<InstanceId, Instance> instances;
    absl::btree_map<FailureDomainId, absl::Time> domainHeardAt;
    absl::btree_map<std::string, Steps, std::less<>> stepsByService;
};

} // namespace foxtailtally
