#include "load/experiment/engine_timing.h"

#include "load/workload/trace.h"

#include <algorithm>
#include <deque>
#include <string>

namespace foxtailtally {

namespace {

constexpr absl::Time kStart = absl::UnixEpoch();
/** At this length the tail of the prompt lengths changes the result by only a few percent. */
constexpr absl::Duration kCalibrationLength = absl::Seconds(4000);

EngineRequest engineRequest(const RequestProfile &request, const EngineOptions &options)
{
    EngineRequest result;
    result.id = request.id;
    result.promptTokens = request.promptTokens;
    result.maxNewTokens = request.maxNewTokens;
    result.prefixBlocks = request.prefixBlocks;
    result.tokensOnOtherEngines =
        std::max<std::int64_t>(0, request.memoryTokens() - options.memoryTokens);
    return result;
}

/** Advances @p engine to its next event and returns the time of the event. */
absl::Time step(EngineModel &engine, std::vector<EngineAction> &actions)
{
    const absl::Time at = engine.nextEventAt();
    engine.advance(at, actions);
    return at;
}

} // namespace

IdleTimes idleTimes(const RequestProfile &request, const EngineOptions &options)
{
    EngineModel engine(BackendServerId("idle"), 1, options, kStart);
    const absl::Time begin = warmUp(engine, options, kStart);
    std::vector<EngineAction> actions;
    engine.submit(engineRequest(request, options), begin, actions);
    IdleTimes times;
    while (engine.nextEventAt() != absl::InfiniteFuture()) {
        actions.clear();
        const absl::Time at = step(engine, actions);
        for (const EngineAction &action : actions) {
            if (std::holds_alternative<TokenProduced>(action)
                && times.timeToFirstToken == absl::ZeroDuration())
                times.timeToFirstToken = at - begin;
            if (std::holds_alternative<RequestFinished>(action))
                times.total = at - begin;
        }
    }
    return times;
}

absl::Time warmUp(EngineModel &engine, const EngineOptions &options, absl::Time now)
{
    std::vector<EngineAction> actions;
    for (std::int64_t i = 0; i < options.coldRequests; ++i) {
        EngineRequest request;
        request.id = RequestId("warm-" + std::to_string(i));
        request.promptTokens = 1;
        request.maxNewTokens = 1;
        engine.submit(request, now, actions);
        while (engine.nextEventAt() != absl::InfiniteFuture())
            now = step(engine, actions);
    }
    return now;
}

double capacityPerSecond(const Deployment &deployment, const EngineOptions &options)
{
    TraceOptions traceOptions;
    traceOptions.deployment = &deployment;
    traceOptions.length = kCalibrationLength;
    traceOptions.withActions = false;
    const std::vector<TracedRequest> trace = generateTrace(traceOptions);
    EngineModel engine(BackendServerId("capacity"), 1, options, kStart);
    const absl::Time begin = warmUp(engine, options, kStart);
    absl::Time now = begin;
    std::deque<const RequestProfile *> waiting;
    for (const TracedRequest &request : trace)
        waiting.push_back(&request.profile);
    std::vector<EngineAction> actions;
    std::int64_t reservedTokens = 0;
    absl::flat_hash_map<RequestId, std::int64_t> reservedByRequest;
    const auto submitFitting = [&]() {
        // Considers the first 64 requests: a long context at the head would leave the engine idle.
        for (std::size_t i = 0; i < std::min<std::size_t>(waiting.size(), 64);) {
            const RequestProfile &next = *waiting[i];
            const std::int64_t neededTokens = std::min(next.memoryTokens(), options.memoryTokens);
            if (engine.running() + engine.queued() >= options.warmLimit)
                return;
            if (reservedTokens + neededTokens > options.memoryTokens) {
                ++i;
                continue;
            }
            engine.submit(engineRequest(next, options), now, actions);
            reservedTokens += neededTokens;
            reservedByRequest[next.id] = neededTokens;
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
        }
    };
    submitFitting();
    while (engine.nextEventAt() != absl::InfiniteFuture()) {
        actions.clear();
        now = step(engine, actions);
        for (const EngineAction &action : actions) {
            if (const auto *finished = std::get_if<RequestFinished>(&action)) {
                reservedTokens -= reservedByRequest[finished->request];
                reservedByRequest.erase(finished->request);
            }
        }
        submitFitting();
    }
    const double perRequest =
        absl::ToDoubleSeconds(now - begin) / static_cast<double>(trace.size());
    return deployment.servers() / perRequest;
}

} // namespace foxtailtally
