#include "servers/placement/stream_placement.h"

#include "servers/placement/read_cost.h"

#include <algorithm>
#include <array>

namespace foxtailtally {

namespace {

/** Numbers of engines among which a read is split, tried in turn; 16 helpers is the engines' limit.
 */
constexpr std::array<std::size_t, 8> kSplits = {1, 2, 3, 4, 6, 8, 12, 16};

/** A read shorter than this is not split, in milliseconds: the split saves less than a pass. */
constexpr double kSplitFromMs = 120.0;

/** Part of an answer's value that is left when it is late; the users' sheets give a quarter. */
constexpr double kLateShare = 0.25;

/** A prediction up to this share of the objective counts as on time; predictions err by about a
 * pass. */
constexpr double kSafeShare = 0.7;
/** A prediction from this share of the objective on counts as late. */
constexpr double kLostShare = 1.15;

/** Pauses are kept to this share of their objective. */
constexpr double kPauseShare = 0.85;

/** Memory that the known streams may plan for; the rest covers answers longer than hinted. */
constexpr double kMemoryShare = 0.96;

/** Value of an engine's free time that a read takes from later arrivals, per millisecond. */
constexpr double kReadCostPerMs = 0.0002;

/** Preference for engines that write already, per writer, so that others stay free for reads. */
constexpr double kPackingGain = 0.004;

/** Writers of an engine up to which packing is preferred. */
constexpr std::int64_t kPackedWriters = 9;

/** Value that goes with each helper, which may fail and take the stream with it. */
constexpr double kHelperCost = 0.03;

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
    double preference = 0;
    bool canServe = false;
};

double streamValue(std::int64_t promptTokens)
{
    return kBaseValue + static_cast<double>(promptTokens) / kTokensPerValue;
}

StreamPlacement::StreamPlacement(const EngineTiming &engine, const StreamDemand &demand,
                                 absl::Time now)
    : engine(engine)
    , demand(demand)
    , now(now)
    , wholeReadMs(readMs(engine, demand.promptTokens))
    , value(streamValue(demand.promptTokens))
{ }

std::optional<StreamPlan>
StreamPlacement::choose(std::span<const EngineCandidate> candidates,
                        const absl::flat_hash_map<ServerKey, ServerLoad> &loads) const
{
    static const ServerLoad idle;
    std::optional<StreamPlan> best;
    double bestScore = 0;
    for (const std::size_t parts : kSplits) {
        if (parts > candidates.size() || (parts > 1 && this->wholeReadMs < kSplitFromMs))
            break;
        const double partMs = this->wholeReadMs / static_cast<double>(parts);
        std::vector<Option> options;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].isSuspect || candidates[i].isRateBound)
                continue;
            const auto found = loads.find(candidates[i].server);
            Option option = this->assess(candidates[i], found == loads.end() ? idle : found->second,
                                         partMs, parts > 1);
            option.index = i;
            options.push_back(option);
        }
        if (options.size() < parts)
            break;
        const auto cost = [](const Option &option) {
            return option.harm - option.preference + option.waitMs * kReadCostPerMs;
        };
        std::stable_sort(options.begin(), options.end(),
                         [&](const Option &a, const Option &b) { return cost(a) < cost(b); });
        // The server itself needs a slot and memory; helpers only read.
        const auto server =
            std::min_element(options.begin(), options.end(), [&](const Option &a, const Option &b) {
                if (a.canServe != b.canServe)
                    return a.canServe;
                const double gainA = this->value * this->onTimeShare(a.waitMs) - cost(a);
                const double gainB = this->value * this->onTimeShare(b.waitMs) - cost(b);
                return gainA > gainB;
            });
        if (!server->canServe)
            continue;
        StreamPlan plan;
        plan.server = server->index;
        plan.partReadMs = partMs;
        double slowest = server->waitMs;
        double score = -server->harm + server->preference;
        for (const Option &option : options) {
            if (plan.helpers.size() + 1 == parts)
                break;
            if (option.index == plan.server)
                continue;
            plan.helpers.push_back(option.index);
            slowest = std::max(slowest, option.waitMs);
            score -= option.harm + kHelperCost;
        }
        plan.predictedFirstEventMs = slowest;
        score += this->value * this->onTimeShare(slowest) - slowest * kReadCostPerMs;
        if (!best || score > bestScore) {
            best = plan;
            bestScore = score;
        }
    }
    return best;
}

StreamPlacement::Option StreamPlacement::assess(const EngineCandidate &candidate,
                                                const ServerLoad &load, double partMs,
                                                bool isHelper) const
{
    Option option;
    option.canServe = this->fits(candidate, load);
    option.harm = this->harm(candidate, load, partMs, isHelper);
    const double pass =
        load.writers > 0 ? 1.5 * writePassMs(this->engine, load.writers, load.memoryTokens) : 0.0;
    // Parts for another engine's prompt are read ahead of other reads.
    const double ahead = isHelper ? 0.0 : load.readLeftMs;
    const double ownPass = writePassMs(this->engine, load.writers + 1, load.memoryTokens);
    option.waitMs = (ahead + partMs + pass + ownPass) * candidate.slowness;
    const std::int64_t packed = std::min(load.writers, kPackedWriters);
    const bool isShort = this->wholeReadMs < kSplitFromMs;
    option.preference = kPackingGain * static_cast<double>(isShort ? packed : -load.streams);
    return option;
}

double StreamPlacement::harm(const EngineCandidate &candidate, const ServerLoad &load,
                             double partMs, bool isHelper) const
{
    const double quiet = writePassMs(this->engine, load.writers, load.memoryTokens);
    const double inPass = partMs * shareOfReadPerPass(this->engine, this->demand.promptTokens);
    const double before = (quiet + load.readLeftMs) * candidate.slowness;
    const double after = (quiet + load.readLeftMs + inPass) * candidate.slowness;
    double total = 0;
    for (const StreamPart *part : load.parts) {
        if (part->isLate || part->isHelper)
            continue;
        if (part->isWriting) {
            const double bound = kPauseShare * part->pauseObjectiveMs;
            if (before <= bound && after > bound)
                total += part->value * (1.0 - kLateShare);
            continue;
        }
        // A part that is read ahead delays the first events of the prompts that wait here.
        const double waited = absl::ToDoubleMilliseconds(this->now - part->placedAt);
        const double due = part->firstEventDueMs - waited;
        const double delay = isHelper ? partMs : 0.0;
        if (load.readLeftMs <= due && load.readLeftMs + delay > due)
            total += part->value * (1.0 - kLateShare);
    }
    return total;
}

bool StreamPlacement::fits(const EngineCandidate &candidate, const ServerLoad &load) const
{
    if (load.streams >= candidate.slots)
        return false;
    if (this->engine.memoryTokens <= 0)
        return true;
    const double planned = static_cast<double>(load.memoryTokens + this->demand.promptTokens
                                               + this->demand.answerTokens);
    return planned <= kMemoryShare * static_cast<double>(this->engine.memoryTokens);
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
