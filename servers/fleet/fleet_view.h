#pragma once

#include "core/ids.h"
#include "servers/fleet/instance_record.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

/**
 * Whom this instance follows and who follows it.
 *
 * In each failure domain one instance, the aggregator, gathers what the others tell and tells it to
 * all of them; between domains only aggregators talk to each other. Nobody is elected: each
 * instance follows the first of its domain's records that answers, and whoever is followed
 * aggregates. So a lost aggregator costs its followers kAggregatorTimeout, and a view that differs
 * from the others' costs an additional aggregator.
 */
class FleetView
{
public:
    /** An instance that is followed and was not heard for this long has failed; it tells at least
     * every 100 ms. */
    static constexpr absl::Duration kAggregatorTimeout = absl::Milliseconds(350);
    /** Time between two attempts to reach an instance that failed. */
    static constexpr absl::Duration kProbeInterval = absl::Seconds(1);
    /** Time for which an instance that asked to be told is told. */
    static constexpr absl::Duration kSubscriptionTimeout = absl::Milliseconds(1600);

    /** An instance to which this one reports, so that it tells in its turn. */
    struct ReportTarget
    {
        InstanceRecord target;
        /** It is told of own streams. */
        bool isOwnDomain = false;
        /** It failed before; what it tells is not used until it has answered. */
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
        /** It has been told nothing yet. */
        bool isNew = true;
    };

    explicit FleetView(const InstanceRecord &self)
        : self(self)
    { }

    void setRecord(const InstanceRecord &record);
    void removeRecord(const InstanceId &id);

    /** The instance that is followed, or was asked by a probe, has told something. */
    void onPeerUpdate(const InstanceId &from, std::size_t instances, absl::Time now);
    /** @p report: the sender as it describes itself; isNew is kept from earlier reports. */
    void onReport(const Subscriber &report);
    /** Chooses again whom to follow; called several times within kAggregatorTimeout. Returns the
     * domains in which another instance, or none, is followed from now on. */
    std::vector<FailureDomainId> onTick(absl::Time now);

    /** Whom to report to now; probes only when they are due. */
    std::vector<ReportTarget> takeReportTargets(absl::Time now);
    /** The instances to be told, of the own domain or of all others. */
    std::vector<Subscriber *> subscribers(bool isOwnDomain);
    bool hasSubscribers() const { return !this->reporting.empty(); }

    /** The instance that is followed within the own domain; nothing when this one aggregates. */
    const InstanceRecord *aggregator() const;
    bool isFollowed(const InstanceId &id) const;
    /** The instance that is followed in each other domain; by domain. */
    std::vector<const InstanceRecord *> remoteAggregators() const;

    /** Instances of the own domain that take part, this one included. */
    std::size_t ownDomainInstances() const;
    /** Instances of all domains that take part, this one included. */
    std::size_t instances() const;
    /** Records of the own domain that go before this instance. */
    std::size_t ownRank() const;
    std::size_t domainCount() const;
    /** Other instances that the store lists. */
    std::size_t recordCount() const { return this->peers.size(); }

private:
    struct Peer
    {
        InstanceRecord record;
        absl::Time heardAt = absl::InfinitePast();
        absl::Time probedAt = absl::InfinitePast();
        bool hasFailed = false;
        /** As it last told: of its domain, or of all if it is the own aggregator. */
        std::size_t instances = 0;
    };
    struct Choice
    {
        /** Absent when no record of the domain answers, or the own instance comes first. */
        std::optional<InstanceId> target;
        absl::Time since;
    };

    /** Chooses whom to follow in @p domain; returns whether that has changed. */
    bool chooseIn(const FailureDomainId &domain, absl::Time now);
    const Peer *followedIn(const FailureDomainId &domain) const;

    InstanceRecord self;
    absl::flat_hash_map<InstanceId, Peer> peers;
    absl::btree_map<FailureDomainId, Choice> choices;
    absl::btree_map<InstanceId, Subscriber> reporting;
};

} // namespace foxtailtally
