#pragma once

#include "servers/catalog/serving_config.h"

#include <algorithm>
#include <cstdint>

namespace foxtailtally {

/** Prefills shorter than this count as short, in milliseconds: they delay other streams by less
 * than their event gap objectives, and splitting them saves less than a pass. */
inline constexpr double kShortPrefillMs = 120.0;

/** Milliseconds that an otherwise idle engine takes to prefill @p tokens of a prompt.
 */
inline double prefillMs(const EngineTiming &engine, std::int64_t tokens)
{
    const double count = static_cast<double>(tokens);
    const double pairs = count * count / 2.0;
    return count / engine.prefillTokensPerMs + pairs / 1e6 * engine.prefillMsPerMillionPairs;
}

/** Milliseconds of a pass that decodes @p decodingStreams streams with @p contextTokens in total
 * and prefills nothing.
 */
inline double decodePassMs(const EngineTiming &engine, std::int64_t decodingStreams,
                           std::int64_t contextTokens)
{
    const double step = engine.stepMs
        + engine.stepMsPerDecodingStream * static_cast<double>(decodingStreams)
        + engine.stepMsPerThousandContext * static_cast<double>(contextTokens) / 1000.0;
    return step * static_cast<double>(engine.stepsPerPass);
}

/** Share of a prefill of @p tokens that fits into one pass; 1 when all of it does. */
inline double prefillSharePerPass(const EngineTiming &engine, std::int64_t tokens)
{
    const double fits = static_cast<double>(engine.chunkTokens * engine.stepsPerPass);
    return std::min(1.0, fits / std::max(1.0, static_cast<double>(tokens)));
}

} // namespace foxtailtally
