#include "main/lib/claim_coordinator.h"

#include "core/clock.h"
#include "main/lib/store_access.h"
#include "servers/claims/claim_keys.h"

#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(10);
constexpr std::size_t kStoreLoops = 4;

} // namespace

ClaimCoordinator::ClaimCoordinator(const InstanceId &self, Incarnation incarnation,
                                   std::uint32_t shards, const PlatformClient &platform)
    : self(self)
    , incarnation(incarnation)
    , shards(shards)
    , platform(platform)
{
    for (std::size_t i = 0; i < kStoreLoops; ++i)
        this->storeLoops.push_back(std::make_unique<EventLoop>("claim-store"));
    this->loop = std::make_unique<EventLoop>("claims");
    this->loop->every(kTickPeriod, [this] { this->onTick(); });
}

ClaimCoordinator::~ClaimCoordinator()
{
    this->stop();
}

void ClaimCoordinator::stop()
{
    for (const std::unique_ptr<EventLoop> &storeLoop : this->storeLoops)
        storeLoop->stop();
    this->loop->stop();
}

void ClaimCoordinator::claim(const ClaimRequest &request, ClaimCallback callback)
{
    this->loop->post([this, request, callback = std::move(callback)]() mutable {
        this->pendingClaims[request.request] = std::move(callback);
        const Fingerprint key = claimKeyDigest(request.customer, request.key);
        ClaimShard &shard = this->shardFor(key);
        this->apply(shardOf(key, this->shards), shard.claim(request, Clock::now()));
    });
}

void ClaimCoordinator::record(const OutcomeReport &report)
{
    this->loop->post([this, report] {
        ClaimShard &shard = this->shardFor(report.key);
        this->apply(shardOf(report.key, this->shards), shard.onOutcome(report, Clock::now()));
    });
}

ClaimShard &ClaimCoordinator::shardFor(const Fingerprint &key)
{
    const std::uint32_t number = shardOf(key, this->shards);
    std::unique_ptr<ClaimShard> &slot = this->activeShards[number];
    if (slot == nullptr) {
        ClaimSettings settings;
        settings.shard = number;
        settings.self = this->self;
        settings.incarnation = this->incarnation;
        slot = std::make_unique<ClaimShard>(settings);
    }
    return *slot;
}

void ClaimCoordinator::apply(std::uint32_t shard, const ClaimActions &actions)
{
    for (const ClaimAction &action : actions)
        std::visit([this, shard](const auto &typed) { this->on(shard, typed); }, action);
}

void ClaimCoordinator::callStore(std::uint32_t shard, const StoreCall &call)
{
    this->storeLoops[shard % this->storeLoops.size()]->post([this, shard, call] {
        const StoreReply reply = performStoreCall(this->platform, call);
        this->loop->post([this, shard, reply] {
            this->apply(shard, this->activeShards[shard]->onStoreReply(reply, Clock::now()));
        });
    });
}

void ClaimCoordinator::on(std::uint32_t shard, const StoreRead &call)
{
    this->callStore(shard, call);
}

void ClaimCoordinator::on(std::uint32_t shard, const StoreList &call)
{
    this->callStore(shard, call);
}

void ClaimCoordinator::on(std::uint32_t shard, const StoreWrite &call)
{
    this->callStore(shard, call);
}

void ClaimCoordinator::on(std::uint32_t /*shard*/, const ClaimGranted &answer)
{
    this->answerClaim(answer.request, answer);
}

void ClaimCoordinator::on(std::uint32_t /*shard*/, const ClaimRefused &answer)
{
    this->answerClaim(answer.request, answer);
}

void ClaimCoordinator::on(std::uint32_t /*shard*/, const ClaimReplay &answer)
{
    this->answerClaim(answer.request, answer);
}

void ClaimCoordinator::on(std::uint32_t /*shard*/, const ClaimRecorded & /*answer*/)
{ }

void ClaimCoordinator::answerClaim(const RequestId &request, const ClaimAction &answer)
{
    const auto found = this->pendingClaims.find(request);
    if (found == this->pendingClaims.end())
        return;
    const ClaimCallback callback = std::move(found->second);
    this->pendingClaims.erase(found);
    callback(answer);
}

void ClaimCoordinator::onTick()
{
    const absl::Time now = Clock::now();
    for (const auto &[number, shard] : this->activeShards) {
        if (now >= shard->nextTickAt())
            this->apply(number, shard->onTick(now));
    }
}

} // namespace foxtailtally
