#pragma once

#include "core/ids.h"
#include "core/metrics.h"
#include "main/gateway/exchange_message.h"
#include "peers/http/loop_timer.h"
#include "servers/catalog/store_source.h"
#include "servers/fleet/fleet_view.h"
#include "servers/limits/share_lending.h"
#include "servers/placement/load_delta_tracker.h"
#include "servers/placement/server_health.h"
#include "servers/placement/stream_ledger.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

struct event;
struct event_base;
struct sockaddr_in;

namespace foxtailtally {

/** Counter of datagrams that could not be decoded. */
inline constexpr std::string_view kMalformedDatagrams = "foxtailtally_malformed_datagrams_total";

/** Receives the datagrams of other instances about rate limits. */
class LimitDatagrams
{
public:
    virtual ~LimitDatagrams() = default;
    /** @p source: exchange address of the sender. */
    virtual void onLimitDatagram(std::span<const char> bytes, const std::string &source,
                                 absl::Time now) = 0;
};

/** Receives the datagrams of other instances about usage and the holder of the lease. */
class UsageDatagrams
{
public:
    virtual ~UsageDatagrams() = default;
    /** @p source: exchange address of the sender. */
    virtual void onUsageDatagram(std::span<const char> bytes, const std::string &source,
                                 absl::Time now) = 0;
};

/**
 * Exchanges datagrams with other instances. An instance reports to the aggregator that it follows:
 * the streams that it has placed, the servers that it suspects and the revisions that it holds of
 * the store. An aggregator sends the sums to the instances that follow it. Everything is sent again
 * soon, so a lost datagram only delays the information. Reports of calls that crash servers go to
 * all linked instances when they are new, and again where the digests in two datagrams differ.
 */
class InstanceExchange final : private MessageSink
{
public:
    InstanceExchange(event_base *base, const InstanceRecord &self, StreamLedger &ledger,
                     ServerHealth &health, Quarantine &quarantine, StoreSource &storeSource,
                     Metrics &metrics);
    ~InstanceExchange() override;
    InstanceExchange(const InstanceExchange &) = delete;
    InstanceExchange &operator=(const InstanceExchange &) = delete;

    /** Binds the address in this instance's record. */
    std::error_code start();
    void setRecord(const InstanceRecord &record) { this->fleet.setRecord(record); }
    void setRestoredRecord(const InstanceRecord &record, absl::Time now)
    {
        this->fleet.setRestoredRecord(record, now);
    }
    void removeRecord(const InstanceId &instance);
    /** Chooses the instances to follow among the records that were set. */
    void chooseLinks(absl::Time now);
    /** The store lists this instance, so that others can find it. */
    void setListed(bool listed) { this->isListed = listed; }
    bool isListedInStore() const { return this->isListed; }
    /** @p task is called when another instance has announced which revisions it holds. */
    void setPeerUpdateCallback(std::function<void()> task)
    {
        this->peerUpdateCallback = std::move(task);
    }

    /** Schedules the sending of what has changed in the ledger. */
    void onLedgerChanged();
    /** Announces at once that this instance holds a newer state of the store. */
    void announceStoreChange();
    /** A server became suspect at this instance. */
    void onSuspicion(ServerKey server);
    /** Sends at once what this instance has learned of calls that crash servers. */
    void onServerDeaths(std::vector<CrashReport> deaths);
    void onServed(std::vector<ServedReport> served);
    /** Sends at once that this instance has started trials. A lost datagram is not repaired:
     * another instance may start the same trial then. */
    void onTrials(std::vector<TrialReport> trials);

    const FleetView &view() const { return this->fleet; }
    /** Sends a datagram that a LimitDatagrams or a UsageDatagrams at @p address receives; it may be
     * lost. */
    void sendTo(const std::string &address, const std::string &datagram);
    void setUsageReceiver(UsageDatagrams *receiver) { this->usageReceiver = receiver; }
    void setLimitReceiver(LimitDatagrams *receiver) { this->limitReceiver = receiver; }
    /** Instances of the own domain that lend this one their share of rate limits, itself included.
     */
    std::size_t lenders(absl::Time now) const;
    /** Instances that take part, this one included. */
    std::size_t instanceCount() const { return this->fleet.instances(); }

private:
    struct PeerState
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t stamp = 0;
        absl::Time heardAt = absl::InfinitePast();
        /** When this instance last sent its full quarantine to that instance. */
        absl::Time quarantineSentAt = absl::InfinitePast();
    };

    void onTick();
    void updateTopology();
    void updateLending(absl::Time now);
    void sendReports(bool isHeartbeat);
    void sendBundles(bool hasStoreChange);
    void sendBundlesTo(bool isOwnDomain, absl::Time now);
    void sendDatagrams(FleetView::Subscriber &subscriber, std::vector<std::string> &datagrams);
    std::vector<std::string> encoded(const BundleMessage &message, absl::Time now);
    BundleMessage bundle(bool isOwnDomain, bool isFull, absl::Time now);
    MessageHeader header(absl::Time now);
    void receive();
    void onReport(ReportMessage &message) override;
    void onBundle(BundleMessage &message) override;
    void onQuarantine(QuarantineMessage &message) override;
    /** Sends to all linked instances except the one at @p source. */
    void broadcastQuarantineReports(QuarantineMessage message, std::string_view source,
                                    absl::Time now);
    void sendQuarantine(QuarantineMessage &message, const std::string &address, absl::Time now);
    /** Sends the full quarantine to the sender of @p header if its digest differs. */
    void sendQuarantineIfDifferent(const MessageHeader &header, absl::Time now);
    /** Returns false if the message is older than one already accepted, or this instance's own. */
    bool acceptHeader(const MessageHeader &header);
    void onPeerUpdate(const MessageHeader &header, const std::string &relayAddress, absl::Time now);
    /** Send time that @p echo encodes; InfinitePast if it is not from this incarnation. */
    absl::Time echoedSendTime(std::uint64_t echo, absl::Time now) const;
    std::uint64_t stampAt(absl::Time now) const;
    absl::Duration bundleInterval() const;

    event_base *base;
    InstanceRecord self;
    StreamLedger &ledger;
    ServerHealth &health;
    Quarantine &quarantine;
    StoreSource &storeSource;
    Metrics &metrics;
    FleetView fleet;
    ShareLending lending;
    LimitDatagrams *limitReceiver = nullptr;
    UsageDatagrams *usageReceiver = nullptr;
    /** Loads last sent: within the domain, those of the domain and of all others; and those of the
     * domain to other domains. */
    LoadDeltaTracker ownDomainSent;
    LoadDeltaTracker otherDomainsSent;
    LoadDeltaTracker remoteSent;
    LoopTimer tick;
    LoopTimer reportTimer;
    LoopTimer bundleTimer;
    std::function<void()> peerUpdateCallback;
    event *readable = nullptr;
    int socket = -1;
    bool isListed = false;
    bool isReportScheduled = false;
    bool isBundleScheduled = false;
    /** Source address of the datagram that is being handled, "ip:port". */
    std::string senderAddress;
    /** Suspects for the next report, and for the next bundles within the domain and to others. */
    std::vector<ServerKey> suspectsToReport;
    std::vector<ServerKey> ownDomainSuspects;
    std::vector<ServerKey> remoteSuspects;
    absl::Time startedAt = absl::InfiniteFuture();
    absl::Time reportedAt = absl::InfinitePast();
    absl::Time bundledAt = absl::InfinitePast();
    absl::Time remoteBundledAt = absl::InfinitePast();
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    absl::flat_hash_map<InstanceId, PeerState> peerStates;
};

} // namespace foxtailtally
