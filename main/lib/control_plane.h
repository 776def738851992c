#pragma once

#include "core/event_loop.h"
#include "core/metrics.h"
#include "core/rcu_pointer.h"
#include "main/lib/customer_limits.h"
#include "main/lib/document_spread.h"
#include "main/lib/group_ownership.h"
#include "main/lib/peer_directory.h"
#include "main/lib/platform_list.h"
#include "main/lib/reservation_port.h"
#include "main/lib/roster_writer.h"
#include "main/lib/serving_state.h"
#include "main/lib/suspect_tracker.h"
#include "peers/engine/engine_client.h"
#include "peers/instance/instance_transport.h"
#include "servers/membership/membership.h"
#include "servers/routing/routing_view_builder.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

struct ControlOptions
{
    InstanceId self;
    FailureDomainId domain;
    Incarnation incarnation = 0;
    /** "ip:port" at which other instances reach this one. */
    std::string address;
    PeerDirectory peers;
    std::string admissionPolicy;
    absl::Duration platformPoll = absl::Seconds(1);
    absl::Duration enginePoll = absl::Milliseconds(500);
    absl::Duration reportLag = absl::Seconds(3);
};

/**
 * Decisions of an instance that are not part of a single request: which groups it owns, which
 * requests get permits, and the exchange of state with other instances. All decisions run on one
 * loop; requests read snapshots through RCU.
 */
class ControlPlane final : public ReservationPort, public DocumentPeers
{
public:
    ControlPlane(ControlOptions options, PlatformClient &platform, EngineClient &engines,
                 Metrics &metrics);
    ~ControlPlane() override;
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /** Starts the loops; @p transport must outlive them. */
    void start(InstanceTransport &transport);
    /** Stops the loops. No callback is called afterwards. */
    void stop();
    /** Handles a message from the transport. */
    void onMessage(const Envelope &message, const InstanceTransport::Reply &reply);
    /** Refuses new reservations for owned groups and returns loans; running permits stay valid. */
    void leave();

    const RcuPointer<RoutingView> &view() const { return this->routingView; }
    const RcuPointer<ServingState> &state() const { return this->servingState; }
    /** A release note is in force and at least one group accepts requests. */
    bool isReady() const { return this->ready.load(); }
    CustomerLimits &customerLimits() { return this->limits; }

    // ReservationPort
    void reserve(const GroupId &group, const RequestProfile &profile, Callback callback) override;
    void cancelReserve(const GroupId &group, const RequestId &request) override;
    void release(const GroupId &group, const PermitRelease &release) override;
    void reportSuspect(const ReportSuspect &suspect, const Fingerprint &fingerprint) override;
    std::uint32_t deathsSeen(const Fingerprint &fingerprint) const override;

    // DocumentPeers
    void pull(const PullDocument &request, Answer answer) override;

private:
    struct Permit
    {
        InstanceId owner;
        GroupId group;
        HeldPermit held;
    };

    void onInstanceList(const InstanceListSnapshot &list);
    void onDocument(const Document &document);
    void onOutOfServiceList(const OutOfServiceList &list);
    std::vector<RosterMember> domainMembers(const std::vector<InstanceEntry> &list) const;
    InstanceId ownerOf(const GroupId &group) const;
    std::string addressOf(const InstanceId &instance) const;

    void pollEngines();
    void pullInstanceList();
    void reserveRemote(const InstanceId &owner, const GroupId &group, const RequestProfile &profile,
                       Callback callback);
    void recordPermit(const InstanceId &owner, const GroupId &group, const RequestProfile &profile,
                      const Grant &grant);

    void handle(const Envelope &message, const InstanceTransport::Reply &reply);
    void handleReserve(const Envelope &message, const InstanceTransport::Reply &reply);
    void handlePermitReport(const Envelope &message, absl::Time now);
    void handleDocumentPull(const Envelope &message, const InstanceTransport::Reply &reply);
    void handleGossip(const Envelope &message, absl::Time now);
    void apply(const MembershipActions &actions);
    void sendShares(const ShareAction &action);
    void sendDatagram(const InstanceId &to, MessageKind kind, const std::string &payload);

    void onTick();
    void onMembershipTick();
    void updateSpreadPeers();
    void updateRoster();
    void updateSummaries(absl::Time now);
    void sendPermitReports();
    void publishView();

    ControlOptions options;
    PlatformClient &platform;
    EngineClient &engines;
    Metrics &metrics;
    InstanceTransport *transport = nullptr;

    RcuPointer<RoutingView> routingView;
    RcuPointer<ServingState> servingState;
    std::atomic<bool> ready {false};
    std::atomic<bool> leaving {false};
    SuspectTracker suspects;

    // The members below are used by the control loop only.
    RoutingViewBuilder viewBuilder;
    ServingState current;
    RosterDocument roster;
    InstanceListSnapshot instanceList;
    Membership membership;
    GroupOwnership ownership;
    CustomerLimits limits;
    absl::flat_hash_map<GroupId, InstanceId> summaryOwners;
    absl::flat_hash_map<PermitId, Permit> permits;
    bool isOwnDomainOutOfService = false;
    absl::Time nextSummaries = absl::InfinitePast();
    absl::Time nextReports = absl::InfinitePast();

    std::vector<std::unique_ptr<EventLoop>> pollers;
    std::unique_ptr<RosterWriter> rosterWriter;
    std::unique_ptr<DocumentSpread> spread;
    std::unique_ptr<PlatformList> platformList;
    std::unique_ptr<EventLoop> loop;
};

} // namespace foxtailtally
