#pragma once

#include "core/event_loop.h"
#include "peers/platform/platform_client.h"
#include "servers/claims/claim_shard.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <vector>

namespace foxtailtally {

/** Runs the claim shards of one instance: one loop decides, the others call the store. */
class ClaimCoordinator
{
public:
    /** Receives ClaimGranted, ClaimRefused or ClaimReplay, once, on the coordinator's loop. */
    using ClaimCallback = std::function<void(const ClaimAction &answer)>;

    ClaimCoordinator(const InstanceId &self, Incarnation incarnation, std::uint32_t shards,
                     const PlatformClient &platform);
    ~ClaimCoordinator();
    ClaimCoordinator(const ClaimCoordinator &) = delete;
    ClaimCoordinator &operator=(const ClaimCoordinator &) = delete;

    void claim(const ClaimRequest &request, ClaimCallback callback);
    void record(const OutcomeReport &report);
    void stop();

private:
    ClaimShard &shardFor(const Fingerprint &key);
    void apply(std::uint32_t shard, const ClaimActions &actions);
    void callStore(std::uint32_t shard, const StoreCall &call);
    void on(std::uint32_t shard, const StoreRead &call);
    void on(std::uint32_t shard, const StoreList &call);
    void on(std::uint32_t shard, const StoreWrite &call);
    void on(std::uint32_t shard, const ClaimGranted &answer);
    void on(std::uint32_t shard, const ClaimRefused &answer);
    void on(std::uint32_t shard, const ClaimReplay &answer);
    void on(std::uint32_t shard, const ClaimRecorded &answer);
    void answerClaim(const RequestId &request, const ClaimAction &answer);
    void onTick();

    InstanceId self;
    Incarnation incarnation;
    std::uint32_t shards;
    const PlatformClient &platform;
    absl::flat_hash_map<std::uint32_t, std::unique_ptr<ClaimShard>> activeShards;
    absl::flat_hash_map<RequestId, ClaimCallback> pendingClaims;
    std::vector<std::unique_ptr<EventLoop>> storeLoops;
    std::unique_ptr<EventLoop> loop;
};

} // namespace foxtailtally
