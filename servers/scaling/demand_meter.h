#pragma once

#include "servers/catalog/serving_config.h"
#include "servers/scaling/demand_totals.h"

#include <cstdint>

namespace foxtailtally {

/** Demand of the requests that arrive at this instance. */
class DemandMeter
{
public:
    /** Call once for each request, when it arrives, whether it is admitted or refused. Requests to
     * services without limits on the number of servers are not counted. */
    void addStream(const Service &service, std::int64_t promptTokens, std::int64_t answerTokens);

    const DemandTotals &totals() const { return this->demandTotals; }

private:
    DemandTotals demandTotals;
};

/** Demand of one stream on the engines of @p timing. */
ServiceDemand streamDemand(const EngineTiming &timing, std::int64_t promptTokens,
                           std::int64_t answerTokens);

} // namespace foxtailtally
