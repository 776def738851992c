#include "servers/placement/stream_placement.h"

#include "servers/placement/prefill_cost.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace foxtailtally {

namespace {

/** Numbers of engines among which a prefill is split, tried in turn; an engine supports 16 helpers.
 */
constexpr std::array<std::size_t, 11> kPartCounts = {1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17};

/** Price of a millisecond of an engine, for each millisecond of prefill that waits at the average
 * engine. The cost of a prefill grows with the square of the prompt length, its value only
 * linearly: when prefills queue up, the longest prompts wait first. */
constexpr double kPricePerBacklogMs = 3e-6;

/** Share of an engine's slots that is planned for decoding short streams; an engine whose slots are
 * nearly all taken makes streams wait that arrive at the same time. */
constexpr double kShortSlotShare = 0.75;
/** Share of an engine's time that short prefills may take up. */
constexpr double kShortPrefillShare = 0.5;
/** Typical prefill time of a short stream, in milliseconds, for planning. */
constexpr double kTypicalShortPrefillMs = 40.0;

/** A part whose prefill takes at least this long makes the short streams late that arrive during
 * it. */
constexpr double kBlockingPartMs = 150.0;

/** A stream waits for a better plan while its first event would still come within this share of the
 * time to its objective or, when the objective cannot be met, of the time until its caller abandons
 * it. */
constexpr double kWaitShare = 0.6;
/** Harm below this value is no reason to wait. */
constexpr double kAcceptedHarm = 0.3;

/** Share of a response's value that remains when it is late; the users' requirements give a
 * quarter. */
constexpr double kLateValueShare = 0.25;

/** Predictions up to this share of the objective count as on time; they are off by about a pass. */
constexpr double kOnTimeRatio = 0.7;
/** Predictions from this share of the objective on count as late. */
constexpr double kLateRatio = 1.15;

/** Value lost to later arrivals, per millisecond of a part and millisecond for which it occupies an
 * engine: streams that arrive meanwhile wait for half of the part on average. */
constexpr double kBlockingCost = 1e-7;

/** Event gaps are planned to stay within this share of their objective. */
constexpr double kEventGapShare = 0.85;

/** Share of an engine's memory that known streams may be planned for; the rest covers answers that
 * exceed their length hint. */
constexpr double kMemoryShare = 0.96;

/** Average share of the pass in progress that remains when a request arrives. */
constexpr double kPassRemainder = 0.5;

/** Maximum time of the prefills in one pass, in milliseconds; a pass prefills a bounded number of
 * chunks, which take longer the deeper they lie in the prompt. */
constexpr double kMaxPrefillPerPassMs = 1300.0;

/** Time until one of an engine's slots is free when all are taken, in milliseconds; short streams
 * are decoded for about two seconds. */
constexpr double kSlotWaitMs = 130.0;
/** Number of streams beyond its slots that an engine may be given. */
constexpr std::int64_t kMaxQueuedStreams = 3;

/** Share of an engine's memory up to which it holds a prompt by itself. */
constexpr double kMaxMemoryShareAlone = 0.85;
/** Maximum share of its memory that each of several engines gives to a prompt. */
constexpr double kMaxMemorySharePerHolder = 0.5;

/** Value of the free engine time that a prefill takes from later arrivals, per millisecond. */
constexpr double kPrefillCostPerMs = 0.0002;

/** Preference of short streams for engines with an earlier first event, per millisecond;
 * predictions close to the objective often turn out late. */
constexpr double kShortWaitCostPerMs = 0.001;

/** Preference of short streams for engines early in the order, and of long prefills for late ones,
 * over the whole order. */
constexpr double kOrderPreference = 0.4;
/** Preference of long streams for decoding at engines early in the order, over the whole order:
 * engines that prefill for others repeatedly stall their own decoding streams for most of a second.
 */
constexpr double kDecodingOrderPreference = 0.6;

/** Added to the wait of short streams at engines of another failure domain, in milliseconds: the
 * placements of the instances there become known later. */
constexpr double kOtherDomainPenaltyMs = 80.0;

/** Up to this number of instances, placements become known soon enough to choose without jitter. */
constexpr std::size_t kInstancesWithoutJitter = 12;
constexpr double kJitterMs = 60.0;

/** Preference for engines without a rate limit. It is small: a request that a limited engine
 * accepts is lost if nobody sends it, and where several want it the issuer of the tokens decides.
 */
constexpr double kLimitedEngineCost = 0.1;
/** Value deducted for a limited engine as a helper, whose request could have served another stream;
 * more than kOrderPreference, so that any engine without a limit is preferred. */
constexpr double kLimitedHelperCost = 0.5;

/** Value deducted for each helper, since its failure would break the stream. */
constexpr double kHelperCost = 0.01;

/** Value of a prompt regardless of its length, and tokens for each further unit of value; from the
 * users' requirements for both deployments. */
constexpr double kBaseValue = 0.7;
constexpr double kTokensPerValue = 8500.0;

} // namespace

struct StreamPlacement::Option
{
    std::size_t index = 0;
    double harm = 0;
    double waitMs = 0;
    /** Preference for prefilling on this engine, and for decoding on it. */
    double preference = 0;
    double decodingPreference = 0;
    bool canServe = false;
    bool hasMemory = false;
    /** Prefills of this engine would stall the stream beyond its event gap objective. */
    bool exceedsEventGap = false;
};

double jitterBoundMs(std::size_t instances)
{
    return instances <= kInstancesWithoutJitter ? 0.0 : kJitterMs;
}

double streamValue(std::int64_t promptTokens)
{
    return kBaseValue + static_cast<double>(promptTokens) / kTokensPerValue;
}

std::vector<StreamPart> streamParts(const StreamPlan &plan,
                                    std::span<const EngineCandidate> candidates,
                                    const StreamDemand &demand, std::uint32_t stream,
                                    bool isResumed, absl::Time now)
{
    StreamPart part;
    part.server = candidates[plan.server].server;
    part.stream = stream;
    part.placedAt = now;
    part.prefillMs = static_cast<float>(plan.partPrefillMs);
    part.memoryTokens = static_cast<std::uint32_t>(plan.shareTokens);
    part.eventGapObjectiveMs =
        static_cast<std::uint16_t>(absl::ToInt64Milliseconds(demand.eventGapObjective));
    part.firstEventDueMs = static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(absl::ToInt64Milliseconds(demand.firstEventDue), 0,
                                 std::numeric_limits<std::uint16_t>::max()));
    part.value = static_cast<float>(streamValue(demand.promptTokens));
    part.isLate = part.firstEventDueMs == 0 || isResumed;
    part.isDeferred = plan.isDeferred;
    part.isSplit = !plan.helpers.empty();
    std::vector<StreamPart> parts = {part};
    part.isHelper = true;
    for (const std::size_t index : plan.helpers) {
        part.memoryTokens = plan.isHolder(index) ? static_cast<std::uint32_t>(plan.shareTokens) : 0;
        part.server = candidates[index].server;
        parts.push_back(part);
    }
    return parts;
}

double prefillPricePerMs(std::span<const EngineCandidate> candidates, const ServerLoads &loads)
{
    double backlog = 0;
    for (const EngineCandidate &candidate : candidates) {
        const auto load = loads.find(candidate.server);
        backlog += load == loads.end() ? 0.0 : load->second.prefillLeftMs;
    }
    const double mean = backlog / static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    return kPricePerBacklogMs * mean;
}

ShortTraffic shortTraffic(const ServerLoads &loads, std::size_t engines, std::int64_t slots)
{
    double streams = 0;
    double recent = 0;
    for (const auto &[server, load] : loads) {
        streams += static_cast<double>(load.shortStreams);
        recent += static_cast<double>(load.shortArrivals);
    }
    ShortTraffic traffic;
    traffic.perSecond = recent;
    const double forDecoding = streams / (kShortSlotShare * static_cast<double>(slots));
    const double forPrefill = recent * kTypicalShortPrefillMs / 1000.0 / kShortPrefillShare;
    const double needed = std::ceil(std::max({1.0, forDecoding, forPrefill}));
    traffic.engines = std::min(engines, static_cast<std::size_t>(needed));
    return traffic;
}

StreamPlacement::StreamPlacement(const EngineTiming &engine, const StreamDemand &demand,
                                 absl::Time now)
    : engine(engine)
    , demand(demand)
    , now(now)
    , wholePrefillMs(prefillMs(engine, demand.promptTokens))
    , value(streamValue(demand.promptTokens))
{ }

std::optional<StreamPlan> StreamPlacement::choose(std::span<const EngineCandidate> candidates,
                                                  const ServerLoads &loads) const
{
    static const ServerLoad idle;
    const ShortTraffic traffic = shortTraffic(loads, candidates.size(), this->engine.slots);
    const double candidateCount = static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    const double prefillPrice = this->isShort() ? 0.0 : prefillPricePerMs(candidates, loads);
    std::optional<StreamPlan> best;
    double bestScore = 0;
    std::size_t fewest = kPartCounts.back();
    for (const std::size_t parts : kPartCounts) {
        if (parts > candidates.size() || (parts > 1 && this->isShort()))
            break;
        if (parts < this->memoryShares())
            continue;
        if (this->demand.usesFewestEngines && parts > fewest)
            break;
        fewest = std::min(fewest, parts);
        const double partMs = this->wholePrefillMs / static_cast<double>(parts);
        std::vector<Option> options;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].isSuspect || candidates[i].isUnreachable
                || candidates[i].exceedsColdRate || candidates[i].lacksToken)
                continue;
            const auto found = loads.find(candidates[i].server);
            const ServerLoad &load = found == loads.end() ? idle : found->second;
            Option option = this->demand.overtakesDeferred && load.deferredStreams > 0
                ? this->assess(candidates[i], load.withoutQueuedDeferred(candidates[i].slots),
                               partMs, parts)
                : this->assess(candidates[i], load, partMs, parts);
            option.index = i;
            option.harm += this->futureHarm(i, traffic, partMs);
            option.preference = this->preference(i, candidates, option, traffic);
            option.decodingPreference = this->isShort()
                ? option.preference
                : -kDecodingOrderPreference * static_cast<double>(i) / candidateCount;
            if (candidates[i].isLimited) {
                option.preference -= this->isShort() ? kLimitedEngineCost : kLimitedHelperCost;
                option.decodingPreference -= kLimitedEngineCost;
            }
            options.push_back(option);
        }
        if (options.size() < parts)
            break;
        const auto cost = [](const Option &option, double preference) {
            return option.harm - preference + option.waitMs * kPrefillCostPerMs;
        };
        std::stable_sort(options.begin(), options.end(), [&](const Option &a, const Option &b) {
            return cost(a, a.preference) < cost(b, b.preference);
        });
        const auto merit = [&](const Option &option) {
            return this->gain(option, option.waitMs) - cost(option, option.decodingPreference);
        };
        // The server itself needs a slot and memory; helpers only prefill.
        const auto server =
            std::min_element(options.begin(), options.end(), [&](const Option &a, const Option &b) {
                if (a.canServe != b.canServe)
                    return a.canServe;
                return merit(a) > merit(b);
            });
        if (!server->canServe)
            continue;
        StreamPlan plan;
        plan.server = server->index;
        plan.partPrefillMs = partMs;
        plan.shareTokens = this->totalTokens() / static_cast<std::int64_t>(this->memoryShares());
        double slowest = server->waitMs;
        plan.harm = server->harm;
        double score = -server->harm + server->decodingPreference;
        for (const Option &option : options) {
            if (plan.helpers.size() + 1 == parts)
                break;
            if (option.index == plan.server)
                continue;
            const std::size_t holdersMissing = this->memoryShares() - 1 - plan.holders.size();
            const std::size_t helpersMissing = parts - 1 - plan.helpers.size();
            if (holdersMissing > 0 && option.hasMemory)
                plan.holders.push_back(option.index);
            else if (helpersMissing == holdersMissing)
                continue;
            plan.helpers.push_back(option.index);
            slowest = std::max(slowest, option.waitMs);
            plan.harm += option.harm;
            score -= option.harm + kHelperCost;
            if (candidates[option.index].isLimited)
                score -= kLimitedHelperCost;
        }
        if (plan.helpers.size() + 1 < parts)
            continue;
        plan.predictedFirstEventMs = slowest;
        score -= kBlockingCost * this->wholePrefillMs * partMs;
        score += this->gain(*server, slowest) - slowest * kPrefillCostPerMs;
        plan.netValue = score - this->wholePrefillMs * prefillPrice;
        if (!best || score > bestScore) {
            best = plan;
            bestScore = score;
        }
    }
    return best;
}

StreamPlacement::Option StreamPlacement::assess(const EngineCandidate &candidate,
                                                const ServerLoad &load, double partMs,
                                                std::size_t parts) const
{
    const bool isSplit = parts > 1;
    Option option;
    option.hasMemory = this->hasMemory(candidate, load);
    const std::int64_t queue = kMaxQueuedStreams + candidate.extraQueue;
    option.canServe = option.hasMemory && load.streams < candidate.slots + queue;
    option.harm = this->harm(candidate, load, partMs, parts);
    const double pass = decodePassMs(this->engine, load.decodingStreams, load.memoryTokens);
    // Split parts are prefilled ahead of whole prompts, but not before the pass in progress ends.
    const double passPrefillMs =
        load.decodingStreams > 0 ? std::min(load.prefillLeftMs, kMaxPrefillPerPassMs) : 0.0;
    const double wholeMs = std::max(0.0, passPrefillMs - load.splitPrefillLeftMs);
    const double ahead =
        isSplit ? load.splitPrefillLeftMs + kPassRemainder * wholeMs : load.prefillLeftMs;
    const double current = load.decodingStreams > 0 ? kPassRemainder * pass : 0.0;
    const double ownPass = decodePassMs(this->engine, load.decodingStreams + 1, load.memoryTokens);
    const std::int64_t beyondSlots = load.streams + 1 - candidate.slots;
    const double excess = std::max(0.0, static_cast<double>(beyondSlots));
    option.waitMs =
        (ahead + partMs + current + ownPass + excess * kSlotWaitMs) * candidate.slowdown;
    // The prefills that a split part overtakes stall the stream's own decoding afterwards.
    const double ownGap = isSplit ? ownPass + passPrefillMs : 0.0;
    option.exceedsEventGap =
        ownGap > kEventGapShare * absl::ToDoubleMilliseconds(this->demand.eventGapObjective);
    return option;
}

double StreamPlacement::harm(const EngineCandidate &candidate, const ServerLoad &load,
                             double partMs, std::size_t parts) const
{
    const double decodeMs = decodePassMs(this->engine, load.decodingStreams, load.memoryTokens);
    const std::int64_t partTokens = this->demand.promptTokens / static_cast<std::int64_t>(parts);
    const double inPass = partMs * prefillSharePerPass(this->engine, partTokens);
    const double before = (decodeMs + load.prefillLeftMs) * candidate.slowdown;
    const double after = (decodeMs + load.prefillLeftMs + inPass) * candidate.slowdown;
    double lost = 0;
    for (const EventGapRisk &risk : load.eventGapRisks) {
        const double bound = kEventGapShare * risk.objectiveMs;
        if (before <= bound && after > bound)
            lost += risk.value;
    }
    // A split part is prefilled ahead and delays the first events of the prompts that wait here.
    const double delay = parts > 1 ? partMs : 0.0;
    for (const FirstEventRisk &risk : load.firstEventRisks) {
        const double due = absl::ToDoubleMilliseconds(risk.dueAt - this->now);
        if (load.prefillLeftMs <= due && load.prefillLeftMs + delay > due)
            lost += risk.value;
    }
    return lost * (1.0 - kLateValueShare);
}

double StreamPlacement::preference(std::size_t rank, std::span<const EngineCandidate> candidates,
                                   const Option &option, const ShortTraffic &traffic) const
{
    const double preferencePerRank = kOrderPreference / static_cast<double>(candidates.size());
    if (!this->isShort())
        return preferencePerRank * static_cast<double>(rank);
    const EngineCandidate &candidate = candidates[rank];
    const double beyond =
        rank < traffic.engines ? 0.0 : static_cast<double>(rank - traffic.engines + 1);
    const double domainPenaltyMs = candidate.isSameDomain ? 0.0 : kOtherDomainPenaltyMs;
    return -preferencePerRank * beyond
        - kShortWaitCostPerMs * (option.waitMs + candidate.jitterMs + domainPenaltyMs);
}

double StreamPlacement::futureHarm(std::size_t rank, const ShortTraffic &traffic,
                                   double partMs) const
{
    if (this->isShort() || rank >= traffic.engines || partMs < kBlockingPartMs)
        return 0;
    const double arrivals =
        traffic.perSecond / static_cast<double>(traffic.engines) * partMs / 1000.0;
    return arrivals * kBaseValue;
}

bool StreamPlacement::isShort() const
{
    return this->wholePrefillMs < kShortPrefillMs;
}

bool StreamPlacement::shouldWait(const StreamPlan &plan) const
{
    if (this->isShort() || (plan.harm < kAcceptedHarm && this->isWorthwhile(plan)))
        return false;
    const double due = absl::ToDoubleMilliseconds(this->demand.firstEventDue);
    const double useful = absl::ToDoubleMilliseconds(this->demand.callerTimeLeft);
    const bool canBeOnTime = plan.predictedFirstEventMs < due * kOnTimeRatio;
    return plan.predictedFirstEventMs < (canBeOnTime ? due : useful) * kWaitShare;
}

bool StreamPlacement::isWorthwhile(const StreamPlan &plan) const
{
    return this->isShort() || plan.netValue >= 0;
}

std::int64_t StreamPlacement::totalTokens() const
{
    return this->demand.promptTokens + this->demand.answerTokens;
}

std::size_t StreamPlacement::memoryShares() const
{
    const double memory = static_cast<double>(this->engine.memoryTokens);
    const double total = static_cast<double>(this->totalTokens());
    if (memory <= 0 || total <= kMaxMemoryShareAlone * memory)
        return 1;
    return static_cast<std::size_t>(std::ceil(total / (kMaxMemorySharePerHolder * memory)));
}

bool StreamPlacement::hasMemory(const EngineCandidate &candidate, const ServerLoad &load) const
{
    if (this->engine.memoryTokens <= 0 || candidate.mayExceedMemory)
        return true;
    const std::int64_t share =
        this->totalTokens() / static_cast<std::int64_t>(this->memoryShares());
    const double planned = static_cast<double>(load.memoryTokens + share);
    return planned <= kMemoryShare * static_cast<double>(this->engine.memoryTokens);
}

double StreamPlacement::gain(const Option &option, double firstEventMs) const
{
    return this->value
        * (option.exceedsEventGap ? kLateValueShare : this->onTimeShare(firstEventMs));
}

double StreamPlacement::onTimeShare(double predictedMs) const
{
    const double due = absl::ToDoubleMilliseconds(this->demand.firstEventDue);
    if (due <= 0)
        return kLateValueShare;
    const double ratio = predictedMs / due;
    const double chance = std::clamp((kLateRatio - ratio) / (kLateRatio - kOnTimeRatio), 0.0, 1.0);
    return kLateValueShare + (1.0 - kLateValueShare) * chance;
}

} // namespace foxtailtally
