#pragma once

#include "core/ids.h"
#include "main/gateway/exchange_message.h"
#include "peers/http/loop_timer.h"
#include "servers/catalog/store_source.h"
#include "servers/fleet/fleet_view.h"
#include "servers/placement/load_told.h"
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

/**
 * Talks with other instances by datagrams. To the instance that it follows it reports the streams
 * that it has placed, servers that it holds for suspect and what it holds of the store; those that
 * follow it are told the sums. Everything is told again before long, so a lost datagram costs
 * nothing but its age. What is known of calls that crash servers goes to all linked instances when
 * it is new, and again where the digests in two datagrams differ.
 */
class InstanceExchange final : private MessageSink
{
public:
    InstanceExchange(event_base *base, const InstanceRecord &self, StreamLedger &ledger,
                     ServerHealth &health, Quarantine &quarantine, StoreSource &storeSource);
    ~InstanceExchange() override;
    InstanceExchange(const InstanceExchange &) = delete;
    InstanceExchange &operator=(const InstanceExchange &) = delete;

    /** Binds the own record's address. */
    std::error_code start();
    void setRecord(const InstanceRecord &record) { this->fleet.setRecord(record); }
    void removeRecord(const InstanceId &instance);
    /** Chooses whom to follow among the records that were set. */
    void chooseLinks(absl::Time now);
    /** The store lists this instance, so that others can find it. */
    void setListed(bool listed) { this->isListed = listed; }
    bool isListedInStore() const { return this->isListed; }
    /** Called when another instance has told what it holds of the store. */
    void setPeerUpdateCallback(std::function<void()> task)
    {
        this->peerUpdateCallback = std::move(task);
    }

    /** Sends soon what has changed in the ledger. */
    void onLedgerChanged();
    /** Sends at once that this instance holds something newer of the store. */
    void announceStoreChange();
    /** A server became suspect at this instance. */
    void onSuspicion(ServerKey server);
    /** Tells at once what this instance has learned of calls that crash servers. */
    void onServerDeaths(std::vector<SuspectReport> deaths);
    void onServed(const ServedReport &served);

    const FleetView &view() const { return this->fleet; }
    /** Instances that take part, this one included. */
    std::size_t instanceCount() const { return this->fleet.instances(); }

private:
    struct PeerState
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t stamp = 0;
        /** When it was last sent all that is quarantined here. */
        absl::Time quarantineSentAt = absl::InfinitePast();
    };

    void onTick();
    void updatePlace();
    void sendReports(bool isHeartbeat);
    void sendBundles(bool hasStoreChange);
    void sendBundlesTo(bool isOwnDomain, absl::Time now);
    void sendDatagrams(FleetView::Subscriber &subscriber, std::vector<std::string> &datagrams);
    std::vector<std::string> encoded(const BundleMessage &message, absl::Time now);
    BundleMessage bundle(bool isOwnDomain, bool isFull, absl::Time now);
    MessageHeader header(absl::Time now);
    void sendTo(const std::string &address, const std::string &datagram);
    void receive();
    void onReport(ReportMessage &message) override;
    void onBundle(BundleMessage &message) override;
    void onQuarantine(QuarantineMessage &message) override;
    /** Tells all linked instances but the one at @p source. */
    void broadcastQuarantineReports(QuarantineMessage message, std::string_view source,
                                    absl::Time now);
    void sendQuarantine(QuarantineMessage &message, const std::string &address, absl::Time now);
    /** Answers an instance whose quarantine differs from this one's with all of this one's. */
    void sendQuarantineIfDifferent(const MessageHeader &header, absl::Time now);
    /** False when the message is older than one that was taken in, or the own one. */
    bool acceptHeader(const MessageHeader &header);
    void onTold(const MessageHeader &header, const std::string &relayAddress, absl::Time now);
    /** Moment of sending that @p echo stands for; InfinitePast when it is none of this life. */
    absl::Time echoedSendTime(std::uint64_t echo, absl::Time now) const;
    std::uint64_t stampAt(absl::Time now) const;
    absl::Duration bundleInterval() const;

    event_base *base;
    InstanceRecord self;
    StreamLedger &ledger;
    ServerHealth &health;
    Quarantine &quarantine;
    StoreSource &storeSource;
    FleetView fleet;
    LoadTold ownDomainSent;
    LoadTold otherDomainsSent;
    LoadTold remoteSent;
    LoopTimer tick;
    LoopTimer reportTimer;
    LoopTimer bundleTimer;
    std::function<void()> peerUpdateCallback;
    event *readable = nullptr;
    int socket = -1;
    bool isListed = false;
    bool isReportScheduled = false;
    bool isBundleScheduled = false;
    /** Address from which the datagram in work came, "ip:port". */
    std::string senderAddress;
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
