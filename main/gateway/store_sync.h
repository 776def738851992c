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
 * Keeps the context's configuration, servers, evacuations, deaths and instances in step with the
 * store, and registers this instance in the store.
 */
class StoreSync
{
public:
    explicit StoreSync(GatewayContext &context);
    ~StoreSync();
    StoreSync(const StoreSync &) = delete;
    StoreSync &operator=(const StoreSync &) = delete;

    std::error_code start();
    /** Periodic work; must not be called from an event callback. */
    void onTick(absl::Time now);
    /** The list of servers has been read. */
    bool hasServers() const { return this->serversListed; }
    /** The copies of all kinds. */
    std::vector<const KindWatcher *> kinds() const;

private:
    class RelayedKindEvents;
    class ConfigEvents;
    class ServerEvents;
    class EvacuationEvents;
    class DeathEvents;
    class InstanceEvents;
    class Registration;
    class ListedServers;

    /** Called when instances have been listed. @p ownRecord: the record of this one, if any. */
    void onInstancesListed(const std::optional<InstanceRecord> &ownRecord);
    /** The store came back from an older copy; its list of instances follows. */
    void onInstancesRestored();
    /** The record of this instance in the store, which registers it again if it differs or is
     * missing. */
    void onOwnRecord(const std::optional<InstanceRecord> &ownRecord);
    void onStartTimer();
    void startWatchersOrWait();
    /** Another instance has announced which revisions it holds. */
    void onPeerUpdate();

    GatewayContext &context;
    bool serversListed = false;
    bool areInstancesListed = false;
    bool hasStarted = false;
    int noPeerRetries = 0;
    /** Last time at which this instance was listed, followed another one or had not started yet. */
    absl::Time unlistedSince = absl::InfinitePast();
    StoreRelay relay;
    DeathRecorder recorder;
    std::unique_ptr<ConfigEvents> configEvents;
    std::unique_ptr<ServerEvents> serverEvents;
    std::unique_ptr<EvacuationEvents> evacuationEvents;
    std::unique_ptr<DeathEvents> deathEvents;
    std::unique_ptr<InstanceEvents> instanceEvents;
    /** Starts first: the other watchers may fetch from the instances that it finds. */
    std::unique_ptr<KindWatcher> instanceWatcher;
    std::vector<std::unique_ptr<KindWatcher>> watchers;
    /** The watcher of servers, owned by watchers. */
    const KindWatcher *serverWatcher = nullptr;
    /** Delays the first reads when all instances start at once. */
    LoopTimer startTimer;
    /** Lets all kinds know of a later era after the callback that has seen it. */
    LoopTimer eraTimer;
    std::unique_ptr<Registration> registration;
};

} // namespace foxtailtally
