#pragma once

#include "core/event_loop.h"
#include "core/metrics.h"
#include "core/rcu_pointer.h"
#include "main/lib/owned_group.h"
#include "main/lib/peer_directory.h"
#include "main/lib/reservation_port.h"
#include "main/lib/serving_state.h"
#include "peers/engine/engine_client.h"
#include "peers/instance/instance_transport.h"
#include "peers/platform/platform_client.h"
#include "servers/routing/routing_view_builder.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
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
    PeerDirectory peers;
    std::string admissionPolicy;
    absl::Duration platformPoll = absl::Seconds(1);
    absl::Duration enginePoll = absl::Milliseconds(500);
    absl::Duration reportLag = absl::Seconds(3);
};

/**
 * Everything an instance decides that is not about one request: which groups it owns, whom it
 * grants permits, what it tells the others and what it knows of them. All decisions run on one
 * loop; requests read snapshots through RCU.
 */
class ControlPlane final : public ReservationPort
{
public:
    ControlPlane(ControlOptions options, PlatformClient &platform, EngineClient &engines,
                 Metrics &metrics);
    ~ControlPlane() override;
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /** Starts the loops; @p transport must outlive them. */
    void start(InstanceTransport &transport);
    /** Ends the loops. No callback is called afterwards. */
    void stop();
    /** Handler of the transport. */
    void onMessage(const Envelope &message, const InstanceTransport::Reply &reply);
    /** Refuses further reservations for owned groups; running permits go on. */
    void leave();

    const RcuPointer<RoutingView> &view() const { return this->routingView; }
    const RcuPointer<ServingState> &state() const { return this->servingState; }
    /** The release note and the first routing view are there. */
    bool isReady() const { return this->ready.load(); }

    // ReservationPort
    void reserve(const GroupId &group, const RequestProfile &profile, Callback callback) override;
    void cancelReserve(const GroupId &group, const RequestId &request) override;
    void release(const GroupId &group, const PermitRelease &release) override;
    void reportSuspect(const BackendServerId &server, const Fingerprint &fingerprint) override;

private:
    struct Permit
    {
        InstanceId owner;
        GroupId group;
        HeldPermit held;
    };

    void readInstanceList();
    void readNote();
    void onInstanceList(const std::vector<InstanceEntry> &list);
    void updateOwnership(absl::Time now);
    InstanceId ownerOf(const GroupId &group) const;
    std::string addressOf(const InstanceId &instance) const;

    void pollEngines();
    void onReport(const GroupId &group, const BackendServerId &server,
                  const Result<LoadReport> &report);

    void reserveHere(const GroupId &group, const ReserveRequest &request, Callback callback);
    void reserveRemote(const InstanceId &owner, const GroupId &group, const RequestProfile &profile,
                       Callback callback);
    void recordPermit(const InstanceId &owner, const GroupId &group, const RequestProfile &profile,
                      const Grant &grant);
    void carryOut(OwnedGroup &group, const AdmissionActions &actions);

    void handle(const Envelope &message, const InstanceTransport::Reply &reply);
    void handleReserve(const Envelope &message, const InstanceTransport::Reply &reply);
    void handleGossip(const Envelope &message);
    void onTick();
    void sendSummaries(absl::Time now);
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

    // The rest belongs to the control loop.
    RoutingViewBuilder viewBuilder;
    ServingState current;
    std::uint64_t noteVersion = 0;
    std::vector<InstanceEntry> entries;
    absl::flat_hash_map<GroupId, std::vector<BackendServer>> domainGroups;
    absl::flat_hash_map<GroupId, InstanceId> summaryOwners;
    absl::flat_hash_map<GroupId, std::unique_ptr<OwnedGroup>> owned;
    absl::flat_hash_map<PermitId, Permit> permits;
    absl::Time nextSummaries = absl::InfinitePast();
    absl::Time nextReports = absl::InfinitePast();

    std::vector<std::unique_ptr<EventLoop>> pollers;
    std::unique_ptr<EventLoop> platformLoop;
    std::unique_ptr<EventLoop> noteLoop;
    std::unique_ptr<EventLoop> loop;
};

} // namespace foxtailtally
