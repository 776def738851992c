#include "servers/scaling/demand_meter.h"

#include "servers/placement/prefill_cost.h"

#include <algorithm>
#include <cmath>

namespace foxtailtally {

namespace {

/** Share of slots and memory that is in use in the decoding steps that demand is measured by. */
constexpr double kReferenceOccupancy = 0.5;

/** Largest number of engines that prefill one prompt: 16 helpers and the decoding one. */
constexpr double kMaxParts = 17;

/** Time until a prompt is prefilled: long prompts are split into parts that count as short, as far
 * as there are helpers. Counted whole, the mean need of memory in the trial of the design note was
 * 23.2 servers instead of 10.2. */
double splitPrefillMs(double prefill)
{
    return std::max(prefill / kMaxParts, std::min(prefill, kShortPrefillMs));
}

std::uint64_t rounded(double value)
{
    return static_cast<std::uint64_t>(std::llround(std::max(0.0, value)));
}

} // namespace

ServiceDemand streamDemand(const EngineTiming &timing, std::int64_t promptTokens,
                           std::int64_t answerTokens)
{
    const double prompt = static_cast<double>(std::max<std::int64_t>(0, promptTokens));
    const double answer = static_cast<double>(std::max<std::int64_t>(0, answerTokens));
    const double prefill = prefillMs(timing, std::max<std::int64_t>(0, promptTokens));
    const double steps = static_cast<double>(std::max<std::int64_t>(1, timing.stepsPerPass));
    const double passMs =
        decodePassMs(timing, std::llround(static_cast<double>(timing.slots) * kReferenceOccupancy),
                     std::llround(static_cast<double>(timing.memoryTokens) * kReferenceOccupancy));
    const double slotMs = splitPrefillMs(prefill) + std::ceil(answer / steps) * passMs;
    ServiceDemand demand;
    demand.prefillUs = rounded(prefill * 1000.0);
    demand.slotMs = rounded(slotMs);
    demand.memoryTokenMs = rounded((prompt + answer / 2.0) * slotMs);
    demand.requests = 1;
    return demand;
}

void DemandMeter::addStream(const Service &service, std::int64_t promptTokens,
                            std::int64_t answerTokens)
{
    if (!service.scaling || !service.isEngine)
        return;
    const ServiceDemand added = streamDemand(service.engine, promptTokens, answerTokens);
    ServiceDemand &total = this->demandTotals[service.name];
    total.prefillUs += added.prefillUs;
    total.slotMs += added.slotMs;
    total.memoryTokenMs += added.memoryTokenMs;
    total.requests += added.requests;
}

} // namespace foxtailtally
