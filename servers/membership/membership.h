#pragma once

#include "core/random.h"
#include "core/result.h"
#include "servers/membership/failure_detector.h"
#include "servers/membership/gossip_messages.h"
#include "servers/membership/gossip_table.h"
#include "servers/membership/member_table.h"
#include "servers/membership/ranked_instances.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <span>
#include <variant>
#include <vector>

namespace foxtailtally {

/** Interval between gossip messages to peers of the domain. */
constexpr absl::Duration kGossipInterval = absl::Seconds(1);
/** Peers that receive a gossip message in each interval. */
constexpr std::size_t kGossipFanout = 2;
/** Interval between gossip messages to other domains. */
constexpr absl::Duration kBridgeInterval = absl::Seconds(2);
/** Instances of a domain that gossip with other domains; also the receivers in each of those. */
constexpr std::size_t kBridgesPerDomain = 2;
/**
 * Peers that receive a new document number at once; periodic gossip reaches the others. With 380
 * instances and 10% message loss the slowest of 30 changes took 1.5 s to spread, against 5.3 s
 * without this.
 */
constexpr std::size_t kDocumentFanout = 3;

/** Send @p message to the instance @p to at @p address ("ip:port"). */
struct SendMembership
{
    InstanceId to;
    std::string address;
    MembershipMessage message;
};

/** The instance @p from has a higher number of a document in force than this one. */
struct DocumentAdvanced
{
    GossipDocument kind = GossipDocument::ReleaseNote;
    std::uint64_t number = 0;
    InstanceId from;
};

/** A crash report that is new to this instance. */
struct CrashReportReceived
{
    CrashReportEntry crashReport;
};

using MembershipAction =
    std::variant<SendMembership, PeerChanged, DocumentAdvanced, CrashReportReceived>;
using MembershipActions = std::vector<MembershipAction>;

/**
 * Tracks which instances are live, and spreads document numbers, group summaries and crash
 * reports among them.
 *
 * Within a domain: probes every second, indirect probes before suspicion, suspicion before death,
 * and gossip to two peers a second. Between domains: the two lowest-ranked live instances of each
 * domain gossip with two of every other. Messages of an earlier incarnation are rejected.
 */
class Membership
{
public:
    /** @p self names this process; its state and refutation number are ignored. */
    Membership(const MemberUpdate &self, std::uint64_t seed);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /** Instances of the settings' seed list or the platform's list. */
    MembershipActions addKnown(std::span<const KnownInstance> instances, absl::Time now);
    /**
     * Error::MessageStaleIncarnation for a sender whose later incarnation is known,
     * Error::MessageMalformed for a message without a sender or that claims to be from this one.
     */
    Result<MembershipActions> onDatagram(const MembershipMessage &message, absl::Time now);
    /** Call every 100 ms. */
    MembershipActions onTick(absl::Time now);
    /** Announces that this process shuts down gracefully. */
    MembershipActions leave(absl::Time now);

    /** A document with a higher number is in force at this instance. */
    MembershipActions setDocument(GossipDocument kind, std::uint64_t number, absl::Time now);
    void setSummary(const GroupSummary &summary, absl::Time now);
    void addCrashReport(const CrashReportEntry &crashReport, absl::Time now);
    /** Sets the settled roster of this instance, which is ShareLedger::settledVersion(). */
    void setSettledRoster(std::uint64_t version);

    const MemberUpdate &self() const { return this->table.self(); }
    const MemberTable &members() const { return this->table; }
    RankedInstances ranked() const { return RankedInstances(this->table); }
    std::vector<GroupSummary> summaries(absl::Time now) const
    {
        return this->gossipTable.summaries(now);
    }
    std::vector<CrashReportEntry> crashReports(absl::Time now) const
    {
        return this->gossipTable.crashReports(now);
    }

private:
    struct Relay
    {
        InstanceId requester;
        std::uint64_t number = 0;
        absl::Time at;
    };

    void handle(const GossipMessage &gossip, absl::Time now, MembershipActions &actions);
    void handle(const Probe &probe, absl::Time now, MembershipActions &actions);
    void handle(const ProbeAck &ack, absl::Time now, MembershipActions &actions);
    void mergeMember(const MemberUpdate &update, absl::Time now, MembershipActions &actions);
    void mergeDocuments(const MemberUpdate &sender, const GossipDocumentNumbers &numbers,
                        MembershipActions &actions);
    void probe(const FailureDetector::ProbeRequest &request, absl::Time now,
               MembershipActions &actions);
    void gossipTo(const InstanceId &to, bool isReplyWanted, absl::Time now,
                  MembershipActions &actions);
    void sendTo(const InstanceId &to, MembershipMessage message, absl::Time now,
                MembershipActions &actions);
    void gossipRound(absl::Time now, MembershipActions &actions);
    std::vector<InstanceId> bridgeTargets(absl::Time now) const;
    std::vector<MemberUpdate> suspicionsOf(const InstanceId &instance) const;
    std::uint32_t transmissionLimit() const;

    Random random;
    MemberTable table;
    FailureDetector detector;
    GossipTable gossipTable;
    GossipDocumentNumbers documents;
    absl::flat_hash_map<std::uint64_t, Relay> relays;
    std::uint64_t relayNumber;
    absl::Time joiningUntil = absl::InfinitePast();
    absl::Time nextGossipAt = absl::InfinitePast();
    absl::Time nextBridgeAt = absl::InfinitePast();
};

} // namespace foxtailtally
