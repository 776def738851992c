#include "core/random.h"
#include "servers/configuration/release_note.h"
#include "servers/configuration/spread_plan.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <memory>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kStep = absl::Milliseconds(50);
/** Each instance gossips to two peers in every round. */
constexpr absl::Duration kGossipRound = absl::Seconds(1);
constexpr int kGossipPeers = 2;
constexpr int kChanges = 5;
constexpr absl::Duration kChangeInterval = absl::Seconds(60);

/** Instances of one failure domain in virtual time, without faults. */
class Domain
{
public:
    Domain(std::size_t size, std::uint64_t seed)
        : random(seed)
        , nodes(size)
    {
        for (std::size_t index = 0; index < size; ++index)
            this->ids.emplace_back("entry-" + std::to_string(1000 + index));
        for (std::size_t index = 0; index < size; ++index) {
            Node &node = this->nodes[index];
            node.store = std::make_unique<DocumentStore>();
            node.plan = std::make_unique<SpreadPlan>(SpreadSettingsBuilder()
                                                         .setSelf(this->ids[index])
                                                         .setDomain(FailureDomainId("north"))
                                                         .setSeedPeers(this->ids)
                                                         .build()
                                                         .value(),
                                                     *node.store);
            node.plan->setLive(this->ids);
            node.gossipAt = this->now + kGossipRound * this->random.uniform();
        }
        this->publish();
        this->run(absl::Minutes(2));
        this->storeCalls = 0;
    }

    void publish()
    {
        ReleaseNote note;
        note.number = ++this->number;
        note.author = "operator";
        this->body = note.serialize();
    }

    /** Time until the published document is in force at all instances. */
    absl::Duration spread()
    {
        const absl::Time start = this->now;
        while (!this->isInForceEverywhere())
            this->step();
        return this->now - start;
    }

    void run(absl::Duration duration)
    {
        for (const absl::Time end = this->now + duration; this->now < end;)
            this->step();
    }

    std::uint64_t calls() const { return this->storeCalls; }
    std::uint64_t pulls() const { return this->pullCount; }

private:
    struct Node
    {
        std::unique_ptr<DocumentStore> store;
        std::unique_ptr<SpreadPlan> plan;
        absl::Time gossipAt;
        std::vector<std::pair<WatchDocument, absl::Time>> watches;
        std::vector<PullDocument> pulls;
    };

    bool isInForceEverywhere() const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [this](const Node &node) {
            return node.store->inForceNumbers()[0] == this->number;
        });
    }

    void step()
    {
        this->now += kStep;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            Node &node = this->nodes[index];
            this->answerWatches(node);
            this->answerPulls(index);
            for (const SpreadAction &action : node.plan->onTick(this->now, this->random)) {
                if (const auto *watch = std::get_if<WatchDocument>(&action)) {
                    ++this->storeCalls;
                    node.watches.emplace_back(*watch, this->now + watch->timeout);
                } else {
                    ++this->pullCount;
                    node.pulls.push_back(std::get<PullDocument>(action));
                }
            }
            if (this->now < node.gossipAt)
                continue;
            node.gossipAt += kGossipRound;
            for (int copy = 0; copy < kGossipPeers; ++copy)
                this->nodes[this->random.below(this->nodes.size())].plan->onGossip(
                    this->ids[index], node.plan->gossip());
        }
    }

    void answerWatches(Node &node)
    {
        auto pending = std::move(node.watches);
        node.watches.clear();
        for (auto &[watch, endsAt] : pending) {
            const bool isNote = watch.kind == DocumentKind::ReleaseNote;
            WatchReply reply {watch.token, WatchReply::Outcome::Unchanged, this->number,
                              this->body};
            if (isNote && this->number > watch.version)
                reply.outcome = WatchReply::Outcome::Changed;
            else if (this->now < endsAt) {
                node.watches.emplace_back(watch, endsAt);
                continue;
            }
            node.plan->onWatchReply(reply, this->now);
        }
    }

    void answerPulls(std::size_t index)
    {
        Node &node = this->nodes[index];
        for (const PullDocument &pull : std::exchange(node.pulls, {})) {
            const auto to = std::lower_bound(this->ids.begin(), this->ids.end(), pull.to);
            Node &peer = this->nodes[static_cast<std::size_t>(to - this->ids.begin())];
            node.plan->onPullAnswer(
                pull.token,
                peer.plan->answerPull(this->ids[index], pull.kind, pull.held, pull.wantsBody),
                this->now);
        }
    }

    Random random;
    std::vector<Node> nodes;
    std::vector<InstanceId> ids;
    absl::Time now = absl::FromUnixSeconds(1'700'000'000);
    std::uint64_t number = 0;
    std::string body;
    std::uint64_t storeCalls = 0;
    std::uint64_t pullCount = 0;
};

/** Arguments: total instances, failure domains. One change per minute of virtual time. */
void spreadChange(benchmark::State &state)
{
    double calls = 0;
    double pulls = 0;
    double worst = 0;
    double sum = 0;
    for (auto step : state) {
        calls = pulls = worst = sum = 0;
        const auto domains = static_cast<std::size_t>(state.range(1));
        for (std::size_t index = 0; index < domains; ++index) {
            Domain domain(static_cast<std::size_t>(state.range(0)) / domains, 20240601 + index);
            const std::uint64_t before = domain.pulls();
            for (int change = 0; change < kChanges; ++change) {
                domain.publish();
                const absl::Duration time = domain.spread();
                worst = std::max(worst, absl::FDivDuration(time, kGossipRound));
                sum += absl::FDivDuration(time, kGossipRound);
                domain.run(kChangeInterval - time);
            }
            calls += static_cast<double>(domain.calls());
            pulls += static_cast<double>(domain.pulls() - before);
        }
    }
    const double changes = kChanges;
    state.counters["store_calls_per_min"] = calls / changes;
    state.counters["worst_rounds"] = worst;
    state.counters["mean_rounds"] = sum / changes / static_cast<double>(state.range(1));
    state.counters["peer_calls_per_instance_and_change"] =
        pulls / changes / static_cast<double>(state.range(0));
}

BENCHMARK(spreadChange)
    ->Args({6, 3})
    ->Args({24, 4})
    ->Args({96, 4})
    ->Args({380, 4})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace foxtailtally
