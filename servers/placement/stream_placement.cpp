#include "servers/placement/stream_placement.h"

#include "servers/placement/prefill_cost.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace foxtailtally {

namespace {

/** Numbers of engines among which a read is split, tried in turn; an engine takes 16 helpers. */
constexpr std::array<std::size_t, 11> kSplits = {1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17};

/** Value of an engine's millisecond for each millisecond of reads that wait at the mean engine. The
 * cost of a read grows with the square of the prompt, its value only in proportion: when reads
 * queue up, the longest prompts wait first. */
constexpr double kPricePerBacklogMs = 3e-6;

/** Share of an engine's slots that is planned for writing short streams; an engine whose slots are
 * nearly all taken makes those wait that arrive at the same time. */
constexpr double kShortSlotShare = 0.75;
/** Share of an engine's time that short reads may take up. */
constexpr double kShortReadShare = 0.5;
/** Time that a short stream takes to read, in milliseconds, for planning. */
constexpr double kUsualShortReadMs = 40.0;

/** A long part of at least this length makes the short streams late that arrive during it. */
constexpr double kDelayingPartMs = 150.0;

/** A stream waits for a better plan while its first event would still come within this share of
 * the time to its objective or, when that cannot be met, of the time that its caller waits. */
constexpr double kWaitShare = 0.6;
/** Harm below this is no reason to wait. */
constexpr double kAcceptedHarm = 0.3;

/** Part of an answer's value that is left when it is late; the users' sheets give a quarter. */
constexpr double kLateShare = 0.25;

/** A prediction up to this share of the objective counts as on time; predictions err by about a
 * pass. */
constexpr double kSafeShare = 0.7;
/** A prediction from this share of the objective on counts as late. */
constexpr double kLostShare = 1.15;

/** Value lost to later arrivals, per millisecond of a part and millisecond that an engine is taken
 * up by it: whoever arrives meanwhile waits for half of the part. */
constexpr double kBlockingCost = 1e-7;

/** Pauses are kept to this share of their objective. */
constexpr double kPauseShare = 0.85;

/** Memory that the known streams may plan for; the rest covers answers longer than hinted. */
constexpr double kMemoryShare = 0.96;

/** Part of the pass in progress that is left on average when a request arrives. */
constexpr double kPassInProgress = 0.5;

/** Longest that the reads of one pass take, in milliseconds; a pass reads a bounded number of
 * chunks, which take longer the deeper they lie in the prompt. */
constexpr double kMostReadInPassMs = 1300.0;

/** Time until one of an engine's slots is free when all are taken, in milliseconds; short streams
 * write for about two seconds. */
constexpr double kSlotWaitMs = 130.0;
/** Streams beyond its slots that an engine may be given. */
constexpr std::int64_t kQueuedStreams = 3;

/** Share of an engine's memory up to which one engine holds a prompt by itself. */
constexpr double kMostOnOneEngine = 0.85;
/** Share of an engine's memory that each of several engines gives to a prompt at most. */
constexpr double kMemoryOfShare = 0.5;

/** Value of an engine's free time that a read takes from later arrivals, per millisecond. */
constexpr double kReadCostPerMs = 0.0002;

/** Preference of short streams for engines that bring the first event sooner, per millisecond;
 * predictions near the objective often fail. */
constexpr double kShortWaitCostPerMs = 0.001;

/** Preference of short streams for engines early in the order, and of the reads of long prompts for
 * late ones, over the whole order. */
constexpr double kOrderGain = 0.4;
/** Preference of long streams for writing at engines early in the order, over the whole order:
 * engines that read for others stop their own writers for most of a second again and again. */
constexpr double kWritingOrderGain = 0.6;

/** Added to the wait when short streams choose an engine of another failure domain, in
 * milliseconds: what instances there place is known later. */
constexpr double kOtherDomainMs = 80.0;

/** Instances that know of each other's placements soon enough to choose alike. */
constexpr std::size_t kInstancesWithoutJitter = 12;
constexpr double kJitterMs = 60.0;

/** Value that goes with each helper, which may fail and take the stream with it. */
constexpr double kHelperCost = 0.01;

/** Value of a prompt, whatever its length, and tokens for each further unit; from the users' sheets
 * of both deployments. */
constexpr double kBaseValue = 0.7;
constexpr double kTokensPerValue = 8500.0;

} // namespace

struct StreamPlacement::Option
{
    std::size_t index = 0;
    double harm = 0;
    double waitMs = 0;
    /** Preference for reading here, and for writing here. */
    double preference = 0;
    double writingPreference = 0;
    bool canServe = false;
    bool hasMemory = false;
    /** Its own reads would stop the stream beyond the pause objective. */
    bool hasLatePauses = false;
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
    const double forWriting = streams / (kShortSlotShare * static_cast<double>(slots));
    const double forReading = recent * kUsualShortReadMs / 1000.0 / kShortReadShare;
    const double needed = std::ceil(std::max({1.0, forWriting, forReading}));
    traffic.engines = std::min(engines, static_cast<std::size_t>(needed));
    return traffic;
}

StreamPlacement::StreamPlacement(const EngineTiming &engine, const StreamDemand &demand,
                                 absl::Time now)
    : engine(engine)
    , demand(demand)
    , now(now)
    , wholeReadMs(prefillMs(engine, demand.promptTokens))
    , value(streamValue(demand.promptTokens))
{ }

std::optional<StreamPlan> StreamPlacement::choose(std::span<const EngineCandidate> candidates,
                                                  const ServerLoads &loads) const
{
    static const ServerLoad idle;
    const ShortTraffic traffic = shortTraffic(loads, candidates.size(), this->engine.slots);
    const double places = static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    const double readPrice = this->isShort() ? 0.0 : prefillPricePerMs(candidates, loads);
    std::optional<StreamPlan> best;
    double bestScore = 0;
    for (const std::size_t parts : kSplits) {
        if (parts > candidates.size() || (parts > 1 && this->isShort()))
            break;
        if (parts < this->memoryShares())
            continue;
        const double partMs = this->wholeReadMs / static_cast<double>(parts);
        std::vector<Option> options;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].isSuspect || candidates[i].isUnreachable
                || candidates[i].exceedsColdRate)
                continue;
            const auto found = loads.find(candidates[i].server);
            Option option = this->assess(candidates[i], found == loads.end() ? idle : found->second,
                                         partMs, parts);
            option.index = i;
            option.harm += this->futureHarm(i, traffic, partMs);
            option.preference = this->preference(i, candidates, option, traffic);
            option.writingPreference = this->isShort()
                ? option.preference
                : -kWritingOrderGain * static_cast<double>(i) / places;
            options.push_back(option);
        }
        if (options.size() < parts)
            break;
        const auto cost = [](const Option &option, double preference) {
            return option.harm - preference + option.waitMs * kReadCostPerMs;
        };
        std::stable_sort(options.begin(), options.end(), [&](const Option &a, const Option &b) {
            return cost(a, a.preference) < cost(b, b.preference);
        });
        const auto merit = [&](const Option &option) {
            return this->gain(option, option.waitMs) - cost(option, option.writingPreference);
        };
        // The server itself needs a slot and memory; helpers only read.
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
        double score = -server->harm + server->writingPreference;
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
        }
        if (plan.helpers.size() + 1 < parts)
            continue;
        plan.predictedFirstEventMs = slowest;
        score -= kBlockingCost * this->wholeReadMs * partMs;
        score += this->gain(*server, slowest) - slowest * kReadCostPerMs;
        plan.netValue = score - this->wholeReadMs * readPrice;
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
    option.canServe = option.hasMemory && load.streams < candidate.slots + kQueuedStreams;
    option.harm = this->harm(candidate, load, partMs, parts);
    const double pass = decodePassMs(this->engine, load.decodingStreams, load.memoryTokens);
    // Split parts are read ahead of other reads, but not before the pass in progress ends.
    const double passReadMs =
        load.decodingStreams > 0 ? std::min(load.prefillLeftMs, kMostReadInPassMs) : 0.0;
    const double wholeMs = std::max(0.0, passReadMs - load.splitPrefillLeftMs);
    const double ahead =
        isSplit ? load.splitPrefillLeftMs + kPassInProgress * wholeMs : load.prefillLeftMs;
    const double current = load.decodingStreams > 0 ? kPassInProgress * pass : 0.0;
    const double ownPass = decodePassMs(this->engine, load.decodingStreams + 1, load.memoryTokens);
    const std::int64_t beyondSlots = load.streams + 1 - candidate.slots;
    const double excess = std::max(0.0, static_cast<double>(beyondSlots));
    option.waitMs =
        (ahead + partMs + current + ownPass + excess * kSlotWaitMs) * candidate.slowdown;
    // The reads that a split part overtakes stop the stream's own writing afterwards.
    const double ownPause = isSplit ? ownPass + passReadMs : 0.0;
    option.hasLatePauses =
        ownPause > kPauseShare * absl::ToDoubleMilliseconds(this->demand.eventGapObjective);
    return option;
}

double StreamPlacement::harm(const EngineCandidate &candidate, const ServerLoad &load,
                             double partMs, std::size_t parts) const
{
    const double quiet = decodePassMs(this->engine, load.decodingStreams, load.memoryTokens);
    const std::int64_t partTokens = this->demand.promptTokens / static_cast<std::int64_t>(parts);
    const double inPass = partMs * prefillSharePerPass(this->engine, partTokens);
    const double before = (quiet + load.prefillLeftMs) * candidate.slowdown;
    const double after = (quiet + load.prefillLeftMs + inPass) * candidate.slowdown;
    double lost = 0;
    for (const EventGapRisk &stake : load.eventGapRisks) {
        const double bound = kPauseShare * stake.objectiveMs;
        if (before <= bound && after > bound)
            lost += stake.value;
    }
    // A part that is read ahead delays the first events of the prompts that wait here.
    const double delay = parts > 1 ? partMs : 0.0;
    for (const FirstEventRisk &stake : load.firstEventRisks) {
        const double due = absl::ToDoubleMilliseconds(stake.dueAt - this->now);
        if (load.prefillLeftMs <= due && load.prefillLeftMs + delay > due)
            lost += stake.value;
    }
    return lost * (1.0 - kLateShare);
}

double StreamPlacement::preference(std::size_t rank, std::span<const EngineCandidate> candidates,
                                   const Option &option, const ShortTraffic &traffic) const
{
    const double gainForPlace = kOrderGain / static_cast<double>(candidates.size());
    if (!this->isShort())
        return gainForPlace * static_cast<double>(rank);
    const EngineCandidate &candidate = candidates[rank];
    const double beyond =
        rank < traffic.engines ? 0.0 : static_cast<double>(rank - traffic.engines + 1);
    const double distance = candidate.isSameDomain ? 0.0 : kOtherDomainMs;
    return -gainForPlace * beyond
        - kShortWaitCostPerMs * (option.waitMs + candidate.jitterMs + distance);
}

double StreamPlacement::futureHarm(std::size_t rank, const ShortTraffic &traffic,
                                   double partMs) const
{
    if (this->isShort() || rank >= traffic.engines || partMs < kDelayingPartMs)
        return 0;
    const double arrivals =
        traffic.perSecond / static_cast<double>(traffic.engines) * partMs / 1000.0;
    return arrivals * kBaseValue;
}

bool StreamPlacement::isShort() const
{
    return this->wholeReadMs < kShortPrefillMs;
}

bool StreamPlacement::shouldWait(const StreamPlan &plan) const
{
    if (this->isShort() || (plan.harm < kAcceptedHarm && this->isWorthwhile(plan)))
        return false;
    const double due = absl::ToDoubleMilliseconds(this->demand.firstEventDue);
    const double useful = absl::ToDoubleMilliseconds(this->demand.usefulLeft);
    const bool canBeOnTime = plan.predictedFirstEventMs < due * kSafeShare;
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
    if (memory <= 0 || total <= kMostOnOneEngine * memory)
        return 1;
    return static_cast<std::size_t>(std::ceil(total / (kMemoryOfShare * memory)));
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
    return this->value * (option.hasLatePauses ? kLateShare : this->onTimeShare(firstEventMs));
}

double StreamPlacement::onTimeShare(double predictedMs) const
{
    const double due = absl::ToDoubleMilliseconds(this->demand.firstEventDue);
    if (due <= 0)
        return kLateShare;
    const double ratio = predictedMs / due;
    const double chance = std::clamp((kLostShare - ratio) / (kLostShare - kSafeShare), 0.0, 1.0);
    return kLateShare + (1.0 - kLateShare) * chance;
}

} // namespace foxtailtally
