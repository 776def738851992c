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
    /** Deadline relative to sendAt; the absolute one of the profile is set by the user. */
    absl::Duration deadline;
    RequestProfile profile;
    bool isSlowReader = false;
    /** Index of the request that this one repeats, or its own index. */
    std::size_t original = 0;
};

/** How the request rate changes over a trace. */
enum class RateShape {
    /** The same mean rate all the time. */
    Steady,
    /** Nothing for a third, a rise to the peak for a third, and the peak for a third. */
    Surge,
};

struct TraceOptions
{
    const Deployment *deployment = nullptr;
    /** Mean rate, or the peak rate of a surge, in requests a second. */
    double requestsPerSecond = 1;
    absl::Duration length = absl::Minutes(1);
    RateShape shape = RateShape::Steady;
    /** False leaves out the actions on plain services. */
    bool withActions = true;
    /** Prompt lengths are multiplied by this, for runs on small machines. */
    double promptScale = 1;
    std::uint64_t seed = 1;
};

/** Builds TraceOptions; Error::SettingsInvalid names an unknown deployment or a bad range. */
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
 * Requests of a deployment in order of sendAt: Poisson arrivals, customers with Zipf frequencies,
 * prefixes shared per customer and kind, repeated sends and slow readers. The same options give the
 * same trace on every platform.
 */
std::vector<TracedRequest> generateTrace(const TraceOptions &options);

/** Prompt of @p request: deterministic text of the profile's length at 5 bytes a token. */
std::string promptText(const TracedRequest &request);

} // namespace foxtailtally
