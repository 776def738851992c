#pragma once

#include "servers/fleet/instance_record.h"
#include "servers/usage/usage_counter.h"
#include "servers/usage/usage_envelope.h"
#include "servers/usage/usage_ledger.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

/** Where rows and announcements are sent, as seen from one instance. */
class UsageTopology
{
public:
    virtual ~UsageTopology() = default;
    /** Exchange address of the instance that aggregates the domain; empty if this one does. */
    virtual std::string aggregatorAddress() const = 0;
    /** The aggregators of the other domains; none unless this instance aggregates. */
    virtual std::vector<InstanceRecord> otherAggregators() const = 0;
    /** Instances of the own domain that follow this one. */
    virtual std::vector<std::string> followerAddresses() const = 0;
    /** Active instances of all domains. */
    virtual std::size_t instances() const = 0;
    /** The instances that the store lists, this one included, with their domains. */
    virtual absl::btree_map<InstanceId, FailureDomainId> listed() const = 0;
};

/** An envelope for the instance with the exchange address @ref address. */
struct UsageMessage
{
    std::string address;
    UsageEnvelope envelope;
};

/**
 * Decides which rows, requests and announcements an instance sends to whom. An instance sends its
 * row to the aggregator of its domain; aggregators send the rows of their domain to each other.
 */
class UsageDistributor
{
public:
    UsageDistributor(const UsageTopology &topology, UsageCounter &counter, UsageLedger &ledger)
        : topology(topology)
        , counter(counter)
        , ledger(ledger)
    { }

    /** To be called about every 50 ms. */
    void onTick(absl::Time now);
    /** @p source: exchange address of the sender. Returns the number of rows that were ignored
     * because the clock of their process is ahead. */
    std::size_t onEnvelope(const UsageEnvelope &envelope, const std::string &source,
                           absl::Time now);
    /** What to announce as the holder, after each confirmed write; a new one is sent at once, and
     * repeated until nullopt or a release is passed. */
    void announce(const std::optional<LeaseAnnouncement> &announcement, absl::Time now);
    /** Merges the own counts into the ledger. */
    void mergeOwn(absl::Time now);
    /** The process stops: ends the counter and sends the last counts. */
    void finish(absl::Time now);
    std::vector<UsageMessage> takeMessages();

    /** Since when this instance has been an aggregator; InfiniteFuture if it is not. */
    absl::Time receivingSince() const { return this->aggregatesSince; }

private:
    struct Receiver
    {
        /** Ledger versions of the last datagrams, the newest last. */
        std::deque<std::uint64_t> sentVersions;
        /** How often rows of ended processes of its own domain were sent to it. */
        absl::btree_map<UsageSource, std::size_t> endedSent;
    };
    /** How a row arrived, by its process. */
    struct Origin
    {
        /** Exchange address of the instance that sent the row last. */
        std::string address;
        absl::Time requestedAt = absl::InfinitePast();
        /** UsageRow::heardAt. */
        absl::Time heardAt = absl::InfinitePast();
    };

    void onLease(const UsageEnvelope &envelope, const std::string &source, absl::Time now);
    void onRequest(const UsageRowRequest &request, const std::string &source);
    void updateRole(absl::Time now);
    void sendRowsToAggregator(absl::Time now);
    void sendRowsToOthers(absl::Time now);
    /** Sends the changes since the datagram that is @p repeats before the last one. */
    void sendRows(const std::string &address, std::size_t repeats, bool withDemand, absl::Time now);
    void sendEndedRows(const InstanceRecord &aggregator, absl::Time now);
    void sendRequests(absl::Time now);
    void sendLease(const std::vector<std::string> &addresses, absl::Time now);
    void send(const std::string &address, UsageEnvelope envelope);
    /** Addresses of the aggregators of all domains but this instance. */
    std::vector<std::string> aggregatorAddresses() const;
    absl::Duration interval() const;

    const UsageTopology &topology;
    UsageCounter &counter;
    UsageLedger &ledger;
    std::vector<UsageMessage> messages;
    absl::Time aggregatesSince = absl::InfiniteFuture();
    absl::btree_map<std::string, Receiver> receivers;
    absl::btree_map<UsageSource, Origin> origins;
    /** This process holds the lease and announces it. */
    bool isHolder = false;
    /** The newest announcement, and when its holder sent it. */
    std::optional<LeaseAnnouncement> lease;
    absl::Time leaseSentAt = absl::InfinitePast();
    absl::Time rowsSentAt = absl::InfinitePast();
    absl::Time otherRowsSentAt = absl::InfinitePast();
    absl::Time leaseRepeatedAt = absl::InfinitePast();
    absl::Time followersToldAt = absl::InfinitePast();
    absl::Time requestsSentAt = absl::InfinitePast();
};

} // namespace foxtailtally
