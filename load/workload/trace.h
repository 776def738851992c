#pragma once

#include "core/result.h"
#include "load/workload/deployment.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailtally {

/** One request of a trace. */
struct TracedRequest
{
    /** Time from the start of the trace at which the caller intends to send. */
    absl::Duration sendAt;
    /** Index into Deployment::kinds. */
    std::size_t kind = 0;
    /** Deadline relative to sendAt; the user of the trace sets the absolute profile.deadline. */
    absl::Duration deadline;
    RequestProfile profile;
    bool isSlowReader = false;
    /** Index of the request that this one repeats; its own index if it repeats none. */
    std::size_t original = 0;
};

/** How the request rate changes over a trace. */
enum class RateShape {
    /** Constant mean rate. */
    Steady,
    /** A third of the trace each: no requests, linear rise to the peak rate, peak rate. */
    Surge,
};

struct TraceOptions
{
    const Deployment *deployment = nullptr;
    /** Mean rate, or the peak rate of a surge, in requests per second. */
    double requestsPerSecond = 1;
    absl::Duration length = absl::Minutes(1);
    RateShape shape = RateShape::Steady;
    /** Whether the trace includes actions on plain services. */
    bool withActions = true;
    /** Factor on the prompt lengths, for runs on small machines. */
    double promptScale = 1;
    std::uint64_t seed = 1;
};

/** build() returns Error::SettingsInvalid for an unknown deployment or a value out of range. */
class TraceOptionsBuilder
{
public:
    TraceOptionsBuilder &setDeployment(std::string_view name);
    TraceOptionsBuilder &setRate(double requestsPerSecond);
    TraceOptionsBuilder &setLength(absl::Duration length);
    TraceOptionsBuilder &setShape(RateShape shape);
    TraceOptionsBuilder &setWithActions(bool withActions);
    TraceOptionsBuilder &setPromptScale(double scale);
    TraceOptionsBuilder &setSeed(std::uint64_t seed);
    Result<TraceOptions> build() const;

private:
    TraceOptions options;
};

/**
 * Generates the requests of a deployment in order of sendAt: Poisson arrivals, Zipf-distributed
 * customers, prompt prefixes shared per customer and kind, repeated sends and slow readers. The
 * same options give the same trace on every platform.
 */
std::vector<TracedRequest> generateTrace(const TraceOptions &options);

/** Prompt of @p request: deterministic text of profile.promptTokens at 5 bytes per token. */
std::string promptText(const TracedRequest &request);

} // namespace foxtailtally
