#include "load/returns/retry_after_trial.h"

#include "core/random.h"
#include "servers/catalog/server_backpressure.h"
#include "servers/retry/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <vector>

namespace foxtailtally {

namespace {

const std::string kService = "service";

/** Callers wait for at most this share of the time until their deadline. */
constexpr double kHonouredShare = 1.0 / 3.0;

class RetryAtReopening final : public RetryAfterPolicy
{
public:
    absl::Duration retryAfter(const RefusedCall &call, absl::Time now) override
    {
        return call.reopensAt - now;
    }
};

class RetryWithJitter final : public RetryAfterPolicy
{
public:
    explicit RetryWithJitter(std::uint64_t seed)
        : random(seed)
    { }
    absl::Duration retryAfter(const RefusedCall &call, absl::Time now) override
    {
        return call.reopensAt - now + absl::Seconds(this->random.uniform());
    }

private:
    Random random;
};

class RetryUrgentFirst final : public RetryAfterPolicy
{
public:
    absl::Duration retryAfter(const RefusedCall &call, absl::Time now) override
    {
        const absl::Duration turn = this->spaced.retryAfter(call, now);
        return turn <= (call.usefulUntil - now) * kHonouredShare ? turn : call.reopensAt - now;
    }

private:
    SpacedRetryAfter spaced;
};

/** A caller's call and its state. */
struct TrialCall
{
    absl::Time firstAt;
    absl::Time usefulUntil;
    bool hasReturned = false;
};

class RetryAfterTrial
{
public:
    RetryAfterTrial(const RetryAfterTrialSetup &setup, const RetryAfterPolicyFactory &policy,
                    std::uint64_t seed)
        : setup(setup)
        , random(seed)
        , servers(static_cast<std::size_t>(setup.servers))
    {
        for (int i = 0; i < setup.instances; ++i)
            this->instances.push_back(std::make_unique<Instance>(policy()));
    }

    RetryAfterTrialResult run()
    {
        const double perSecond = this->setup.load * this->setup.servers * this->setup.slots
            / absl::ToDoubleSeconds(this->setup.serviceTime);
        absl::Time next = absl::UnixEpoch();
        const absl::Time end = next + this->setup.length;
        while (true) {
            next += absl::Seconds(-std::log(1.0 - this->random.uniform()) / perSecond);
            if (next > end)
                break;
            TrialCall call;
            call.firstAt = next;
            // Deadlines differ between callers.
            call.usefulUntil = next + this->setup.deadline * (0.2 + 0.8 * this->random.uniform());
            this->events.emplace(next, call);
            ++this->result.asked;
        }
        while (!this->events.empty()) {
            const auto [now, call] = *this->events.begin();
            this->events.erase(this->events.begin());
            this->arrive(call, now);
        }
        std::sort(this->latencies.begin(), this->latencies.end());
        double sum = 0;
        for (const double latency : this->latencies)
            sum += latency;
        if (!this->latencies.empty()) {
            this->result.meanMs = sum / static_cast<double>(this->latencies.size());
            this->result.p95Ms = this->latencies[this->latencies.size() * 95 / 100];
        }
        return this->result;
    }

private:
    struct Instance
    {
        explicit Instance(std::unique_ptr<RetryAfterPolicy> policy)
            : policy(std::move(policy))
        { }
        std::unique_ptr<RetryAfterPolicy> policy;
        ServerBackpressure backpressure;
        RetryBudget calls {RetryBudgetOptions()};
    };
    /** Completion times of the calls at a server. */
    using Server = std::vector<absl::Time>;

    void arrive(const TrialCall &call, absl::Time now)
    {
        Instance &instance = *this->instances[this->random.below(this->instances.size())];
        instance.calls.onCall(kService, now);
        std::vector<ServerKey> open;
        for (ServerKey server = 0; server < this->servers.size(); ++server) {
            if (instance.backpressure.mayGetWork(server, now))
                open.push_back(server);
        }
        // A rejected call is sent to another server, up to two times.
        for (int attempt = 0; attempt < 3 && !open.empty(); ++attempt) {
            const std::size_t chosen = this->random.below(open.size());
            const ServerKey server = open[chosen];
            if (this->serve(server, call, now))
                return;
            const bool isShedding =
                now >= this->setup.shedAt && now < this->setup.shedAt + this->setup.pause;
            const absl::Duration pause = isShedding ? this->setup.shedAt + this->setup.pause - now
                                                    : this->setup.fullServerPause;
            instance.backpressure.onPause(server, pause, now);
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
        this->refuse(instance, call, now);
    }

    bool serve(ServerKey key, const TrialCall &call, absl::Time now)
    {
        if (now >= this->setup.shedAt && now < this->setup.shedAt + this->setup.pause)
            return false;
        Server &server = this->servers[key];
        std::erase_if(server, [now](absl::Time done) { return done <= now; });
        const auto slots = static_cast<std::size_t>(this->setup.slots);
        if (server.size() >= slots + static_cast<std::size_t>(this->setup.queue))
            return false;
        std::sort(server.begin(), server.end());
        const absl::Time startsAt = server.size() < slots ? now : server[server.size() - slots];
        const absl::Time doneAt = startsAt + this->setup.serviceTime;
        server.push_back(doneAt);
        if (doneAt <= call.usefulUntil) {
            ++this->result.served;
            this->latencies.push_back(absl::ToDoubleMilliseconds(doneAt - call.firstAt));
        }
        return true;
    }

    void refuse(Instance &instance, const TrialCall &call, absl::Time now)
    {
        ++this->result.refused;
        this->result.refusedAgain += call.hasReturned ? 1 : 0;
        if (call.hasReturned)
            return;
        RefusedCall refused;
        refused.service = kService;
        refused.usefulUntil = call.usefulUntil;
        refused.callsPerSecond = instance.calls.callsPerSecond(kService, now);
        refused.reopensAt = absl::InfiniteFuture();
        for (ServerKey server = 0; server < this->servers.size(); ++server)
            refused.reopensAt = std::min(refused.reopensAt,
                                         std::max(now, instance.backpressure.pausedUntil(server)));
        const absl::Duration asked = instance.policy->retryAfter(refused, now);
        // Callers honour the requested delay up to a share of the time until their deadline.
        const absl::Duration honoured = std::min(asked, (call.usefulUntil - now) * kHonouredShare);
        TrialCall again = call;
        again.hasReturned = true;
        this->events.emplace(now + honoured, again);
    }

    RetryAfterTrialSetup setup;
    Random random;
    std::vector<Server> servers;
    std::vector<std::unique_ptr<Instance>> instances;
    std::multimap<absl::Time, TrialCall> events;
    std::vector<double> latencies;
    RetryAfterTrialResult result;
};

} // namespace

std::unique_ptr<RetryAfterPolicy> makeRetryAtReopening()
{
    return std::make_unique<RetryAtReopening>();
}

std::unique_ptr<RetryAfterPolicy> makeRetryWithJitter(std::uint64_t seed)
{
    return std::make_unique<RetryWithJitter>(seed);
}

std::unique_ptr<RetryAfterPolicy> makeRetryUrgentFirst()
{
    return std::make_unique<RetryUrgentFirst>();
}

RetryAfterTrialResult runRetryAfterTrial(const RetryAfterTrialSetup &setup,
                                         const RetryAfterPolicyFactory &policy, std::uint64_t seed)
{
    return RetryAfterTrial(setup, policy, seed).run();
}

} // namespace foxtailtally
