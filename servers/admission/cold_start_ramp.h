#pragma once

#include "core/backend_server.h"

#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/**
 * Limits the concurrent requests of one backend server. A server starts at its cold limit, and the
 * limit rises by one with each request that succeeds while at least half of the limit is in use, up
 * to the warm limit. It returns to the cold limit on a new incarnation, on the loss of most cached
 * blocks, when the engine reports itself cold, and after repeated slow first tokens.
 */
class ColdStartRamp
{
public:
    ColdStartRamp(std::int64_t coldLimit, std::int64_t warmLimit);

    void setLimits(std::int64_t coldLimit, std::int64_t warmLimit);
    /** Returns to the cold limit. */
    void reset();
    void onReport(const LoadReport &report);
    /** @p inUse counts the requests on the server, including the one that ended. */
    void onSuccess(bool hasSlowFirstToken, std::int64_t inUse);

    std::int64_t coldLimit() const { return this->cold; }
    /** Concurrent requests that the server may have. */
    std::int64_t limit() const;
    bool isCold() const { return this->limit() <= this->cold; }

private:
    std::int64_t cold;
    std::int64_t warm;
    std::int64_t current;
    std::int64_t peakBlocks = 0;
    std::int32_t slowFirstTokens = 0;
    bool isEngineWarm = false;
    bool hasReport = false;
};

} // namespace foxtailtally
