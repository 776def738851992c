#pragma once

#include "core/ids.h"
#include "servers/fleet/instance_record.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

/**
 * The instances that this instance follows, and those that follow it.
 *
 * In each failure domain one instance, the aggregator, collects the reports of the others and sends
 * the collected state to all of them; only aggregators communicate between domains. There is no
 * election: each instance follows the highest-ranked record of its domain that answers, and an
 * instance that is followed aggregates. So if an aggregator is lost, its followers receive nothing
 * for kAggregatorTimeout, and instances with different views cause an additional aggregator.
 */
class FleetView
{
public:
    /** A followed instance that was not heard from for this long has failed; it sends an update at
     * least every 100 ms. */
    static constexpr absl::Duration kAggregatorTimeout = absl::Milliseconds(350);
    /** Interval between two probes of a failed instance. */
    static constexpr absl::Duration kProbeInterval = absl::Seconds(1);
    /** Time after its last report for which a subscriber receives updates. */
    static constexpr absl::Duration kSubscriptionTimeout = absl::Milliseconds(1600);

    /** An instance to which this one reports in order to receive its updates. */
    struct ReportTarget
    {
        InstanceRecord target;
        /** The target is in the own domain; reports to it include the streams of this instance. */
        bool isOwnDomain = false;
        /** The target has failed; it is not followed until it has answered. */
        bool isProbe = false;
    };

    /** An instance that reports to this one. */
    struct Subscriber
    {
        InstanceId id;
        FailureDomainId domain;
        std::string exchangeAddress;
        std::string relayAddress;
        absl::Time heardAt;
        /** Until when it lends this instance its share of rate limits. */
        absl::Time lendsUntil = absl::InfinitePast();
        /** No update has been sent to it yet. */
        bool isNew = true;
    };

    explicit FleetView(const InstanceRecord &self)
        : self(self)
    { }

    void setRecord(const InstanceRecord &record);
    /** The same for a record in a store that was restored from an older copy. It may be the one of
     * an earlier process, so it does not replace that of an instance that was heard lately. */
    void setRestoredRecord(const InstanceRecord &record, absl::Time now);
    void removeRecord(const InstanceId &id);

    /** An update arrived from an instance that is followed or was probed. */
    void onPeerUpdate(const InstanceId &from, std::size_t instances, absl::Time now);
    /** Adds or renews a subscription. @p report: the sender; isNew is kept from earlier reports. */
    void onReport(const Subscriber &report);
    /** Selects the instances to follow; to be called several times within kAggregatorTimeout.
     * Returns the domains for which the selection has changed. */
    std::vector<FailureDomainId> onTick(absl::Time now);

    /** Instances to report to now, including the probes that are due. */
    std::vector<ReportTarget> takeReportTargets(absl::Time now);
    /** Subscribers in the own domain, or in all other domains. */
    std::vector<Subscriber *> subscribers(bool isOwnDomain);
    std::vector<const Subscriber *> subscribers(bool isOwnDomain) const;
    bool hasSubscribers() const { return !this->subscriptions.empty(); }

    /** The instance that is followed in the own domain; null when this one aggregates. */
    const InstanceRecord *aggregator() const;
    bool isFollowed(const InstanceId &id) const;
    /** The instance that is followed in @p domain, another one than the own; null if none is. */
    const InstanceRecord *aggregatorOf(const FailureDomainId &domain) const;
    /** The instances that are followed in other domains, ordered by domain. */
    std::vector<const InstanceRecord *> remoteAggregators() const;

    /** Active instances of the own domain, including this one. */
    std::size_t ownDomainInstances() const;
    /** Instances of the own domain that the store lists, and this one. */
    std::size_t ownDomainRecords() const;
    /** Active instances of all domains, including this one. */
    std::size_t instances() const;
    /** Number of records of the own domain that rank before this instance. */
    std::size_t ownRank() const;
    std::size_t domainCount() const { return this->domains().size(); }
    /** Domains of the listed instances, including the own one. */
    absl::btree_set<FailureDomainId> domains() const;
    /** The instances that the store lists, and this one, with their domains. */
    absl::btree_map<InstanceId, FailureDomainId> listed() const;
    /** Instances of the own domain that lend this one their share of rate limits. */
    std::size_t lenders(absl::Time now) const;
    /** Number of other instances that the store lists. */
    std::size_t recordCount() const { return this->peers.size(); }

private:
    struct Peer
    {
        InstanceRecord record;
        absl::Time heardAt = absl::InfinitePast();
        absl::Time probedAt = absl::InfinitePast();
        bool hasFailed = false;
        /** Number of instances in its last update: of its domain, or of all domains if it is the
         * own aggregator. */
        std::size_t instances = 0;
    };
    struct Selection
    {
        /** Empty when no record of the domain answers, or the own instance ranks first. */
        std::optional<InstanceId> target;
        absl::Time since;
    };

    /** Selects the instance to follow in @p domain; returns whether the selection has changed. */
    bool selectAggregator(const FailureDomainId &domain, absl::Time now);
    const Peer *followedPeer(const FailureDomainId &domain) const;

    InstanceRecord self;
    absl::flat_hash_map<InstanceId, Peer> peers;
    absl::btree_map<FailureDomainId, Selection> selections;
    absl::btree_map<InstanceId, Subscriber> subscriptions;
};

} // namespace foxtailtally
