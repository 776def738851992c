#include "core/hash.h"
#include "core/random.h"
#include "servers/claims/claim_shard.h"

#include <benchmark/benchmark.h>
#include <cmath>
#include <optional>

namespace foxtailtally {

namespace {

/** Simulated latency of one store call. */
constexpr absl::Duration kStoreLatency = absl::Milliseconds(3);
constexpr absl::Duration kMeasuredTime = absl::Seconds(20);

struct Counts
{
    std::uint64_t granted = 0;
    std::uint64_t writes = 0;
    std::uint64_t bytes = 0;
    absl::Duration waited;
};

/** One shard in virtual time with a store that replies to every call after kStoreLatency. */
class VirtualShard
{
public:
    explicit VirtualShard(absl::Duration window)
        : shard(
            ClaimSettingsBuilder().setSelf(InstanceId("e"), 1).setWindow(window).build().value())
    { }

    Counts run(double claimsPerSecond)
    {
        absl::Time nextClaim = this->now;
        const absl::Time end = this->now + kMeasuredTime;
        while (this->now < end) {
            const absl::Time replyAt = this->reply ? this->replyAt : absl::InfiniteFuture();
            this->now = std::min({nextClaim, replyAt, this->shard.nextTickAt()});
            if (this->now == replyAt) {
                const StoreReply answer = *this->reply;
                this->reply.reset();
                this->apply(this->shard.onStoreReply(answer, this->now));
            } else if (this->now == nextClaim) {
                this->claim();
                nextClaim += absl::Seconds(-std::log(1 - this->random.uniform()) / claimsPerSecond);
            } else {
                this->apply(this->shard.onTick(this->now));
            }
        }
        return this->counts;
    }

private:
    void claim()
    {
        const std::string name = std::to_string(this->started.size());
        ClaimRequest request;
        request.request = RequestId(name);
        request.customer = CustomerId("customer");
        request.key = std::to_string(absl::ToUnixSeconds(this->now)) + "-" + name;
        request.body = fingerprintOf(name);
        request.deadline = this->now + absl::Minutes(1);
        request.receivedAt = this->now;
        this->started.push_back(this->now);
        this->apply(this->shard.claim(std::move(request), this->now));
    }

    void apply(const ClaimActions &actions)
    {
        for (const ClaimAction &action : actions) {
            if (const auto *list = std::get_if<StoreList>(&action))
                this->answer({list->token, StoreOutcome::Ok, 0, "", {}, false});
            if (const auto *write = std::get_if<StoreWrite>(&action)) {
                ++this->counts.writes;
                this->counts.bytes += write->value.size();
                this->answer({write->token, StoreOutcome::Ok, ++this->version, "", {}, false});
            }
            if (const auto *grant = std::get_if<ClaimGranted>(&action)) {
                ++this->counts.granted;
                this->counts.waited += this->now
                    - this->started[static_cast<std::size_t>(std::stoull(grant->request.str()))];
            }
        }
    }

    void answer(StoreReply next)
    {
        this->reply = std::move(next);
        this->replyAt = this->now + kStoreLatency;
    }

    ClaimShard shard;
    Random random {20240601};
    absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    std::optional<StoreReply> reply;
    absl::Time replyAt;
    std::uint64_t version = 0;
    std::vector<absl::Time> started;
    Counts counts;
};

/** Arguments: window in milliseconds, offered claims per second. Counters use virtual time. */
void groupCommit(benchmark::State &state)
{
    Counts counts;
    for (auto step : state)
        counts = VirtualShard(absl::Milliseconds(state.range(0)))
                     .run(static_cast<double>(state.range(1)));
    const double seconds = absl::ToDoubleSeconds(kMeasuredTime);
    const auto granted = static_cast<double>(counts.granted);
    state.counters["actions_per_s"] = granted / seconds;
    state.counters["writes_per_s"] = static_cast<double>(counts.writes) / seconds;
    state.counters["actions_per_write"] = granted / static_cast<double>(counts.writes);
    state.counters["mean_wait_ms"] = absl::ToDoubleMilliseconds(counts.waited) / granted;
    state.counters["written_kb_per_s"] = static_cast<double>(counts.bytes) / seconds / 1000;
}

BENCHMARK(groupCommit)->ArgsProduct({{0, 5, 20, 50}, {5, 50, 500}})->Iterations(1);

} // namespace

} // namespace foxtailtally
