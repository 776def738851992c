#pragma once

#include "core/metrics.h"
#include "main/gateway/instance_exchange.h"
#include "peers/http/loop_timer.h"
#include "servers/usage/usage_distributor.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

struct event_base;

namespace foxtailtally {

/** Receives what the holder of the lease tells the other instances. */
class LeaseListener
{
public:
    virtual ~LeaseListener() = default;
    /** @p age: time since the holder sent it, without the transit. */
    virtual void onLeaseAnnouncement(const LeaseAnnouncement &announcement, absl::Duration age,
                                     absl::Time now) = 0;
};

/**
 * Runs the UsageDistributor of this instance on the event loop, from start() on, and exchanges its
 * messages.
 */
class UsageExchange final : private UsageDatagrams, private UsageTopology
{
public:
    /** @p ledger receives all rows, those of @p counter included. */
    UsageExchange(event_base *base, InstanceExchange &exchange, UsageCounter &counter,
                  UsageLedger &ledger, Metrics &metrics);
    ~UsageExchange() override;
    UsageExchange(const UsageExchange &) = delete;
    UsageExchange &operator=(const UsageExchange &) = delete;

    void start();
    void setLeaseListener(LeaseListener *receiver) { this->listener = receiver; }

    /** What to announce as the holder, after each confirmed write; a new one is sent at once, and
     * repeated until nullopt or a release is passed. Cheap if nothing has changed. */
    void announce(const std::optional<LeaseAnnouncement> &announcement, absl::Time now);
    /** Since when this instance has been an aggregator; InfiniteFuture if it is not. For
     * UsageReporter::setReceivingSince(). */
    absl::Time receivingSince() const { return this->distributor.receivingSince(); }
    /** Merges the own counts into the ledger, so that it is complete for this instance. */
    void mergeOwn(absl::Time now) { this->distributor.mergeOwn(now); }
    /** The process stops: ends the counter and sends the last counts at once. */
    void finish(absl::Time now);

private:
    std::string aggregatorAddress() const override;
    std::vector<InstanceRecord> otherAggregators() const override;
    std::vector<std::string> followerAddresses() const override;
    std::size_t instances() const override;
    absl::btree_map<InstanceId, FailureDomainId> listed() const override;
    void onUsageDatagram(std::span<const char> bytes, const std::string &source,
                         absl::Time now) override;
    void onWork();
    void send(absl::Time now);

    InstanceExchange &exchange;
    Metrics &metrics;
    UsageDistributor distributor;
    LoopTimer workTimer;
    LeaseListener *listener = nullptr;
};

} // namespace foxtailtally
