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

/** Ids of the parts of a prompt that have deaths, with these, for the log. */
nlohmann::json partDeaths(const Quarantine &quarantine, std::span<const Fingerprint> parts,
                          std::span<const std::string> partIds, absl::Time now)
{
    nlohmann::json fields = nlohmann::json::object();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const DeathEvidence evidence = quarantine.evidence(parts[i], now);
        if (evidence.deaths == 0)
            continue;
        nlohmann::json &part = fields[partIds[i]];
        part = {{"fingerprint", fingerprintText(parts[i])},
                {"deaths", evidence.counted},
                {"all_deaths", evidence.deaths}};
        if (evidence.attributedTo) {
            part["attributed_to"] = fingerprintText(*evidence.attributedTo);
            part["attributed"] = evidence.attributed;
        }
    }
    return fields;
}

/** Records the death of the server of @p loss. */
void recordDeath(GatewayContext &context, const UnconfirmedLoss &loss, absl::Time now)
{
    Quarantine &quarantine = context.quarantine;
    std::vector<CrashReport> deaths = quarantine.onCallLost(
        loss.server, loss.incarnation, loss.running, loss.causeSince, loss.lostAt, loss.wasTrial);
    if (deaths.empty())
        return;
    logEvent(LogLevel::Info, "call_suspected",
             {{"request", loss.callId},
              {"fingerprint", fingerprintText(loss.running.call)},
              {"server", loss.server.str()},
              {"incarnation", loss.incarnation},
              {"trial", loss.wasTrial},
              {"deaths", quarantine.deathsSeen(loss.running.call, now)},
              {"parts", partDeaths(quarantine, loss.running.parts, loss.partIds, now)}});
    context.exchange.onServerDeaths(std::move(deaths));
}

/** The server of @p loss goes on, so it had dropped an idle connection. */
void recordDrop(GatewayContext &context, const UnconfirmedLoss &loss, absl::Time now)
{
    const ServerKey key = serverKey(loss.server, loss.incarnation);
    const ServerDirectory::Server *server = context.directory.findByKey(key);
    if (server && loss.idleTime > absl::ZeroDuration())
        context.connectionReuse.onDropped(key, server->entry.service, loss.idleTime, now);
}

std::string_view verdictName(LossVerdict verdict)
{
    switch (verdict) {
    case LossVerdict::Ended:
        return "ended";
    case LossVerdict::Heard:
        return "heard";
    case LossVerdict::Expired:
        return "expired";
    }
    return "unknown";
}

} // namespace

bool CallSuspicion::isQuarantined(absl::Time now)
{
    const Quarantine &quarantine = this->context.quarantine;
    if (quarantine.isEmpty())
        return false;
    return this->trial ? quarantine.refusesTrial(this->fingerprints(), *this->trial, now)
                       : quarantine.refuses(this->fingerprints(), now);
}

bool CallSuspicion::startTrial(absl::Time now)
{
    this->trial = this->context.quarantine.startTrial(this->fingerprints(), now);
    if (!this->trial)
        return false;
    std::vector<TrialReport> reports;
    nlohmann::json fingerprints = nlohmann::json::array();
    for (const Fingerprint &fingerprint : this->trial->fingerprints) {
        reports.push_back({fingerprint, now});
        fingerprints.push_back(fingerprintText(fingerprint));
    }
    logEvent(LogLevel::Info, "trial_started",
             {{"request", this->callId}, {"fingerprints", std::move(fingerprints)}});
    this->context.exchange.onTrials(std::move(reports));
    return true;
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
    return this->context.quarantine.retryAfter(this->fingerprints(), now);
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
    UnconfirmedLoss loss = this->lossAt(target, evidence, now);
    // Another server would be a second one for the same trial.
    this->trial.reset();
    if (!evidence.isUnconfirmed) {
        recordDeath(this->context, loss, now);
        return;
    }
    const bool isKept = this->context.unconfirmedLosses.add(std::move(loss));
    if (evidence.wasDropped && this->context.prober)
        this->context.prober->probe(target.key, now);
    logEvent(isKept ? LogLevel::Info : LogLevel::Warning, "loss_unconfirmed",
             {{"request", this->callId},
              {"server", target.id.str()},
              {"incarnation", target.incarnation},
              {"silent_ms", absl::ToInt64Milliseconds(evidence.silentFor)},
              {"dropped", evidence.wasDropped},
              {"kept", isKept}});
}

UnconfirmedLoss CallSuspicion::lossAt(const AttemptTarget &target, const CrashEvidence &evidence,
                                      absl::Time now)
{
    UnconfirmedLoss loss;
    loss.callId = this->callId;
    loss.server = target.id;
    loss.incarnation = target.incarnation;
    loss.running = this->fingerprints();
    loss.partIds = {this->content.sharedParts.begin(), this->content.sharedParts.end()};
    loss.silentSince = now - evidence.silentFor;
    loss.wasDropped = evidence.wasDropped;
    loss.idleTime = evidence.idleTime;
    loss.lostAt = now;
    loss.causeSince = commonCauseSince(evidence, now);
    loss.wasTrial = this->isTrial();
    return loss;
}

void CallSuspicion::logQuarantine(absl::Time now)
{
    logEvent(LogLevel::Info, "call_quarantined",
             {{"request", this->callId},
              {"fingerprint", fingerprintText(this->fingerprint())},
              {"deaths", this->context.quarantine.deathsSeen(this->fingerprint(), now)},
              {"parts",
               partDeaths(this->context.quarantine, this->fingerprints().parts,
                          this->content.sharedParts, now)}});
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

void settleUnconfirmedLosses(GatewayContext &context, absl::Time now)
{
    for (const DecidedLoss &decided :
         context.unconfirmedLosses.takeDecided(context.directory, now)) {
        const UnconfirmedLoss &loss = decided.loss;
        logEvent(LogLevel::Info, "loss_decided",
                 {{"request", loss.callId},
                  {"server", loss.server.str()},
                  {"incarnation", loss.incarnation},
                  {"verdict", verdictName(decided.verdict)},
                  {"after_ms", absl::ToInt64Milliseconds(now - loss.lostAt)}});
        if (decided.verdict == LossVerdict::Ended)
            recordDeath(context, loss, now);
        else if (decided.verdict == LossVerdict::Heard && loss.wasDropped)
            recordDrop(context, loss, now);
    }
}

} // namespace foxtailtally
