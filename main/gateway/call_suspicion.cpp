#include "main/gateway/call_suspicion.h"

#include "core/hash.h"
#include "core/log.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace foxtailtally {

bool CallSuspicion::isQuarantined(absl::Time now)
{
    const Quarantine &quarantine = this->context.quarantine;
    return !quarantine.isEmpty()
        && quarantine.check(this->fingerprint(), now) == QuarantineState::Quarantined;
}

SuspectRun CallSuspicion::nextRun(absl::Time now)
{
    const Quarantine &quarantine = this->context.quarantine;
    return quarantine.isEmpty() ? SuspectRun::None : quarantine.nextRun(this->fingerprint(), now);
}

absl::Duration CallSuspicion::quarantineLeft(absl::Time now)
{
    return this->context.quarantine.retryAfter(this->fingerprint(), now);
}

SuspectPlacement CallSuspicion::restrictions(const std::string &service,
                                             std::span<const ServerKey> tried, absl::Time now)
{
    const SuspectRun run = this->nextRun(now);
    if (run == SuspectRun::None)
        return {};
    std::vector<SuspectCandidate> candidates;
    for (const ServerDirectory::Server *server : this->context.directory.usable(service, now)) {
        const bool wasTried = std::find(tried.begin(), tried.end(), server->key) != tried.end();
        if (wasTried || this->context.health.isSuspect(server->key, now))
            continue;
        SuspectCandidate candidate = {server->key};
        const auto activity = this->context.activity.find(server->key);
        if (activity != this->context.activity.end()) {
            candidate.earlyRuns = activity->second.earlySuspects;
            candidate.lastRuns = activity->second.lastSuspects;
        }
        candidates.push_back(candidate);
    }
    return placeSuspect(candidates, run, this->context.random);
}

void CallSuspicion::onLoss(const AttemptTarget &target, const CrashEvidence &evidence,
                           absl::Time now)
{
    if (!mayHaveCrashedServer(evidence))
        return;
    Quarantine &quarantine = this->context.quarantine;
    const std::array<Fingerprint, 1> running = {this->fingerprint()};
    std::vector<CrashReport> deaths =
        quarantine.onServerDeath(target.id, target.incarnation, running, now);
    if (deaths.empty())
        return;
    logEvent(LogLevel::Info, "call_suspected",
             {{"request", this->callId},
              {"fingerprint", fingerprintText(this->fingerprint())},
              {"server", target.id.str()},
              {"incarnation", target.incarnation},
              {"deaths", quarantine.deathsSeen(this->fingerprint(), now)}});
    this->context.exchange.onServerDeaths(std::move(deaths));
}

void CallSuspicion::onServed(absl::Time now)
{
    if (this->context.quarantine.recordServed(this->fingerprint(), now))
        this->context.exchange.onServed({this->fingerprint(), now});
}

const Fingerprint &CallSuspicion::fingerprint()
{
    if (!this->knownFingerprint) {
        const std::array<std::string_view, 3> parts = {this->content.customer, this->content.path,
                                                       this->content.body};
        this->knownFingerprint = fingerprintOf(parts);
    }
    return *this->knownFingerprint;
}

} // namespace foxtailtally
