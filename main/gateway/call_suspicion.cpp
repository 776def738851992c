#include "main/gateway/call_suspicion.h"

#include "core/hash.h"
#include "core/log.h"

#include <array>
#include <nlohmann/json.hpp>

namespace foxtailtally {

bool CallSuspicion::isQuarantined(absl::Time now)
{
    const Quarantine &quarantine = this->context.quarantine;
    return !quarantine.isEmpty()
        && quarantine.check(this->fingerprint(), now) == QuarantineState::Quarantined;
}

bool CallSuspicion::isSuspect(absl::Time now)
{
    const Quarantine &quarantine = this->context.quarantine;
    return !quarantine.isEmpty()
        && quarantine.check(this->fingerprint(), now) != QuarantineState::Clear;
}

absl::Duration CallSuspicion::quarantineLeft(absl::Time now)
{
    return this->context.quarantine.retryAfter(this->fingerprint(), now);
}

void CallSuspicion::onLoss(const AttemptTarget &target, const LossEvidence &evidence,
                           absl::Time now)
{
    if (!mayHaveCrashedServer(evidence))
        return;
    Quarantine &quarantine = this->context.quarantine;
    const std::array<Fingerprint, 1> running = {this->fingerprint()};
    std::vector<SuspectReport> deaths =
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
    Quarantine &quarantine = this->context.quarantine;
    if (quarantine.isEmpty() || !quarantine.knows(this->fingerprint()))
        return;
    const ServedReport served = {this->fingerprint(), now};
    if (quarantine.onServed(served, now))
        this->context.exchange.onServed(served);
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
