#include "servers/shares/share_ledger.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

namespace {

constexpr std::int64_t kSecondsPerIteration = 20;
constexpr absl::Duration kTick = absl::Milliseconds(250);
constexpr absl::Duration kOneWayLatency = absl::Milliseconds(1);
constexpr std::int64_t kServerRequestLimit = 32;

/** The share ledgers of one domain on a network without message loss. */
class LoanFleet
{
public:
    LoanFleet(std::size_t members, std::size_t groups, std::size_t serversPerGroup)
        : isUp(members, true)
    {
        Roster roster;
        roster.current.version = 1;
        for (std::size_t i = 0; i < members; ++i)
            roster.current.members.push_back({InstanceId("entry-" + std::to_string(1000 + i)), 1});
        std::vector<ShareGroup> list;
        for (std::size_t g = 0; g < groups; ++g) {
            ShareGroup group {GroupId("group-" + std::to_string(1000 + g)), {}};
            for (std::size_t s = 0; s < serversPerGroup; ++s)
                group.servers.emplace_back("server-" + std::to_string(10000 + g * 10 + s));
            list.push_back(group);
        }
        this->groups = list;
        for (std::size_t i = 0; i < members; ++i) {
            const RosterMember &self = roster.current.members[i];
            this->index[self.instance] = i;
            this->ledgers.push_back(std::make_unique<ShareLedger>(self, ShareTiming {}));
            for (const RosterMember &peer : roster.current.members)
                this->ledgers[i]->onPeerState(peer, PeerState::Alive, this->now);
            this->ledgers[i]->setGroups(list, this->now);
            this->apply(this->ledgers[i]->setRoster(roster, this->now));
        }
    }

    void advance(absl::Duration length)
    {
        const absl::Time end = this->now + length;
        while (this->now < end) {
            this->now += kOneWayLatency;
            auto due = std::move(this->inFlight);
            this->inFlight.clear();
            for (const ShareAction &action : due)
                this->deliver(action);
            if ((this->now - absl::UnixEpoch()) % kTick == absl::ZeroDuration())
                for (std::size_t i = 0; i < this->ledgers.size(); ++i)
                    if (this->isUp[i])
                        this->apply(this->ledgers[i]->onTick(this->now));
            if ((this->now - absl::UnixEpoch()) % absl::Seconds(1) == absl::ZeroDuration())
                this->report();
        }
    }

    /** Kills the owner of the first group; time until another owner may use all other shares. */
    absl::Duration killOwner()
    {
        const ShareGroup &group = this->groups.front();
        const InstanceId owner = this->ledgers.front()->ownerOf(group.id).isEmpty()
            ? this->anyOwner(group.id)
            : this->ledgers.front()->ownerOf(group.id);
        const std::size_t dead = this->index.at(owner);
        this->isUp[dead] = false;
        const std::size_t holders = std::min(kMaxShareHolders, this->ledgers.size());
        const std::int64_t lost = shareUnits(kServerRequestLimit, 0, holders);
        const absl::Time start = this->now;
        for (std::size_t i = 0; i < this->ledgers.size(); ++i)
            if (i != dead)
                this->apply(this->ledgers[i]->onPeerState({owner, 1}, PeerState::Dead, this->now));
        while (this->now < start + absl::Seconds(60)) {
            this->advance(absl::Milliseconds(10));
            for (std::size_t i = 0; i < this->ledgers.size(); ++i) {
                const ServerUse use =
                    this->ledgers[i]->usable(group.id, group.servers.front(),
                                             {kServerRequestLimit, kServerRequestLimit}, this->now);
                // The share of the dead instance stays unused until a new roster omits the
                // instance.
                if (this->isUp[i] && use.requests >= kServerRequestLimit - lost)
                    return this->now - start;
            }
        }
        return absl::InfiniteDuration();
    }

    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::size_t largest = 0;
    std::vector<std::unique_ptr<ShareLedger>> ledgers;

private:
    InstanceId anyOwner(const GroupId &group) const
    {
        for (const auto &ledger : this->ledgers)
            if (!ledger->ownerOf(group).isEmpty())
                return ledger->ownerOf(group);
        return {};
    }

    void apply(ShareActions actions)
    {
        for (ShareAction &action : actions) {
            const auto *request = std::get_if<SendLoanRequest>(&action);
            const std::size_t size = request != nullptr
                ? packedSize(request->request)
                : packedSize(std::get<SendLoanOffer>(action).offer);
            ++this->messages;
            this->bytes += size;
            this->largest = std::max(this->largest, size);
            this->inFlight.push_back(std::move(action));
        }
    }

    void deliver(const ShareAction &action)
    {
        const std::size_t to =
            this->index.at(std::visit([](const auto &a) { return a.to; }, action));
        if (!this->isUp[to])
            return;
        if (const auto *request = std::get_if<SendLoanRequest>(&action))
            this->apply(this->ledgers[to]->onLoanRequest(request->request, this->now));
        else
            this->apply(
                this->ledgers[to]->onLoanOffer(std::get<SendLoanOffer>(action).offer, this->now));
    }

    void report()
    {
        for (const ShareGroup &group : this->groups)
            for (const BackendServerId &server : group.servers)
                for (std::size_t i = 0; i < this->ledgers.size(); ++i)
                    if (this->isUp[i] && this->ledgers[i]->isOwner(group.id)) {
                        LoadReport report;
                        report.server = server;
                        report.age = absl::Seconds(1);
                        this->ledgers[i]->onLoadReport(group.id, report, {}, this->now);
                    }
    }

    absl::Time now = absl::FromUnixSeconds(1000000);
    std::vector<bool> isUp;
    std::vector<ShareGroup> groups;
    std::map<InstanceId, std::size_t> index;
    std::vector<ShareAction> inFlight;
};

/** The CPU time includes message delivery and one load report per server and second. */
void loanSteadyState(benchmark::State &state)
{
    const auto members = static_cast<std::size_t>(state.range(0));
    LoanFleet fleet(members, static_cast<std::size_t>(state.range(1)),
                    static_cast<std::size_t>(state.range(2)));
    fleet.advance(absl::Seconds(10));
    fleet.messages = fleet.bytes = fleet.largest = 0;
    double seconds = 0;
    for (auto step : state) {
        fleet.advance(absl::Seconds(kSecondsPerIteration));
        seconds += static_cast<double>(kSecondsPerIteration);
    }
    const double nodeSeconds = seconds * static_cast<double>(members);
    state.counters["messages_per_node_s"] = static_cast<double>(fleet.messages) / nodeSeconds;
    // Each byte is sent by one node and received by another.
    state.counters["bytes_per_node_s"] = 2 * static_cast<double>(fleet.bytes) / nodeSeconds;
    state.counters["largest_bytes"] = static_cast<double>(fleet.largest);
    state.counters["cpu_per_node_s"] =
        benchmark::Counter(nodeSeconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

/** Time of a takeover after an owner has been declared dead. */
void loanTakeover(benchmark::State &state)
{
    double seconds = 0;
    for (auto step : state) {
        LoanFleet fleet(static_cast<std::size_t>(state.range(0)),
                        static_cast<std::size_t>(state.range(1)),
                        static_cast<std::size_t>(state.range(2)));
        fleet.advance(absl::Seconds(10));
        seconds = absl::ToDoubleSeconds(fleet.killOwner());
    }
    state.counters["takeover_s"] = seconds;
}

void domains(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Args({2, 8, 1})->Args({2, 25, 1})->Args({95, 50, 3})->Args({95, 150, 1});
}

BENCHMARK(loanSteadyState)->Apply(domains)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(loanTakeover)->Apply(domains)->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace foxtailtally
