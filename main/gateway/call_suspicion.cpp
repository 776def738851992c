#include "main/gateway/call_suspicion.h"

#include "core/hash.h"
#include "core/log.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Separates the fingerprints of parts of prompts from those of calls. */
constexpr std::string_view kPartLabel = "prompt part";

} // namespace

bool CallSuspicion::isQuarantined(absl::Time now)
{
    const Quarantine &quarantine = this->context.quarantine;
    return !quarantine.isEmpty() && quarantine.refuses(this->fingerprints(), now);
}

SuspectRun CallSuspicion::nextRun(absl::Time now)
{
    const Quarantine &quarantine = this->context.quarantine;
    if (quarantine.isEmpty())
        return SuspectRun::None;
    // Many calls share a part, so a single death shows too little to restrict all of them.
    const SuspectRun run = quarantine.nextRun(this->fingerprint(), now);
    return this->suspectParts(now).empty() ? run : std::max(run, SuspectRun::Early);
}

std::vector<Fingerprint> CallSuspicion::suspectParts(absl::Time now)
{
    const Quarantine &quarantine = this->context.quarantine;
    std::vector<Fingerprint> suspects;
    if (quarantine.isEmpty())
        return suspects;
    for (const Fingerprint &part : this->fingerprints().parts) {
        if (quarantine.nextRun(part, now) == SuspectRun::Last)
            suspects.push_back(part);
    }
    return suspects;
}

absl::Duration CallSuspicion::quarantineLeft(absl::Time now)
{
    const Quarantine &quarantine = this->context.quarantine;
    absl::Duration left = quarantine.retryAfter(this->fingerprint(), now);
    for (const Fingerprint &part : this->fingerprints().parts)
        left = std::max(left, quarantine.retryAfter(part, now));
    return left;
}

SuspectPlacement CallSuspicion::restrictions(const std::string &service,
                                             std::span<const ServerKey> tried, absl::Time now)
{
    const SuspectRun run = this->nextRun(now);
    if (run == SuspectRun::None)
        return {};
    SuspectPlacement wait;
    wait.mustWait = true;
    for (const Fingerprint &part : this->suspectParts(now)) {
        if (this->context.suspectPartRuns.mustWait(part, now))
            return wait;
    }
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
    std::vector<CrashReport> deaths = quarantine.onCallLost(
        target.id, target.incarnation, this->fingerprints(), commonCauseSince(evidence, now), now);
    if (deaths.empty())
        return;
    logEvent(LogLevel::Info, "call_suspected",
             {{"request", this->callId},
              {"fingerprint", fingerprintText(this->fingerprint())},
              {"server", target.id.str()},
              {"incarnation", target.incarnation},
              {"deaths", quarantine.deathsSeen(this->fingerprint(), now)},
              {"parts", this->partDeaths(now)}});
    this->context.exchange.onServerDeaths(std::move(deaths));
}

void CallSuspicion::logQuarantine(absl::Time now)
{
    logEvent(LogLevel::Info, "call_quarantined",
             {{"request", this->callId},
              {"fingerprint", fingerprintText(this->fingerprint())},
              {"deaths", this->context.quarantine.deathsSeen(this->fingerprint(), now)},
              {"parts", this->partDeaths(now)}});
}

nlohmann::json CallSuspicion::partDeaths(absl::Time now)
{
    nlohmann::json fields = nlohmann::json::object();
    const std::vector<Fingerprint> &parts = this->fingerprints().parts;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const std::uint32_t deaths = this->context.quarantine.deathsSeen(parts[i], now);
        if (deaths > 0)
            fields[this->content.sharedParts[i]] = {{"fingerprint", fingerprintText(parts[i])},
                                                    {"deaths", deaths}};
    }
    return fields;
}

void CallSuspicion::onSurvived(absl::Time beganAt, absl::Time now)
{
    std::vector<ServedReport> served =
        this->context.quarantine.recordPartsServed(this->fingerprints().parts, beganAt, now);
    if (!served.empty())
        this->context.exchange.onServed(std::move(served));
}

void CallSuspicion::onServed(absl::Time now)
{
    if (this->context.quarantine.recordServed(this->fingerprint(), now))
        this->context.exchange.onServed({{this->fingerprint(), now}});
}

const CallFingerprints &CallSuspicion::fingerprints()
{
    if (this->knownFingerprints)
        return *this->knownFingerprints;
    const std::array<std::string_view, 3> content = {this->content.customer, this->content.path,
                                                     this->content.body};
    CallFingerprints known;
    known.call = fingerprintOf(content);
    for (const std::string &part : this->content.sharedParts) {
        const std::array<std::string_view, 2> text = {kPartLabel, part};
        known.parts.push_back(fingerprintOf(text));
    }
    this->knownFingerprints = std::move(known);
    return *this->knownFingerprints;
}

} // namespace foxtailtally
