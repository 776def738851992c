#pragma once

#include "main/gateway/death_recorder.h"
#include "main/gateway/gateway_context.h"
#include "main/gateway/kind_watcher.h"
#include "main/gateway/store_relay.h"
#include "peers/http/loop_timer.h"
#include "peers/http/outbound_connection.h"

#include <absl/time/time.h>
#include <memory>
#include <optional>
#include <vector>

namespace foxtailtally {

/**
 * Keeps the context's configuration, servers, evacuations and instances as the store has them, and
 * enters this instance in the store.
 */
class StoreSync
{
public:
    explicit StoreSync(GatewayContext &context);
    ~StoreSync();
    StoreSync(const StoreSync &) = delete;
    StoreSync &operator=(const StoreSync &) = delete;

    std::error_code start();
    /** Housekeeping; not from inside an event. */
    void onTick(absl::Time now);
    /** The list of servers has been read. */
    bool hasServers() const { return this->serversListed; }

private:
    class RelayedKindEvents;
    class ConfigEvents;
    class ServerEvents;
    class EvacuationEvents;
    class DeathEvents;
    class InstanceEvents;
    class Registration;
    class ListedServers;

    /** The instances are known. @p ownRecord: what the store holds of this one, if anything. */
    void onInstancesListed(const std::optional<InstanceRecord> &ownRecord);
    void onStartTimer();
    void startWatchersOrWait();
    /** Another instance has told what it holds of the store. */
    void onTold();

    GatewayContext &context;
    bool serversListed = false;
    bool areInstancesListed = false;
    bool hasStarted = false;
    int noPeerRetries = 0;
    /** When this instance was last followed, followed another one or was listed. */
    absl::Time unlistedSince = absl::InfinitePast();
    StoreRelay relay;
    DeathRecorder recorder;
    std::unique_ptr<ConfigEvents> configEvents;
    std::unique_ptr<ServerEvents> serverEvents;
    std::unique_ptr<EvacuationEvents> evacuationEvents;
    std::unique_ptr<DeathEvents> deathEvents;
    std::unique_ptr<InstanceEvents> instanceEvents;
    /** Starts first: the others may ask the instances that it finds. */
    std::unique_ptr<KindWatcher> instanceWatcher;
    std::vector<std::unique_ptr<KindWatcher>> watchers;
    /** One of the watchers. */
    const KindWatcher *serverWatcher = nullptr;
    /** Delays the first reads when all instances start at once. */
    LoopTimer startTimer;
    std::unique_ptr<Registration> registration;
};

} // namespace foxtailtally
