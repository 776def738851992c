#pragma once

#include <cstddef>
#include <cstdint>

namespace foxtailtally {

/** Engines that start and leave during a trial. Times never go back. */
class TrialServers
{
public:
    virtual ~TrialServers() = default;

    /** A request arrives; called once for each. */
    virtual void onArrival(std::int64_t promptTokens, std::int64_t answerTokens, double nowMs) = 0;
    /** Whether the engine is listed and does not drain. */
    virtual bool isListed(std::size_t engine, double nowMs) = 0;
    /** Whether the engine may get no request now because it is cold. */
    virtual bool exceedsColdRate(std::size_t engine, double nowMs) = 0;
    /** A stream, or a part of it, is sent to the engine. */
    virtual void onPlaced(std::size_t engine, double nowMs) = 0;
    /** The engine has nothing left to do. */
    virtual void onIdle(std::size_t engine, double nowMs) = 0;
};

} // namespace foxtailtally
