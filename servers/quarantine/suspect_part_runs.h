#pragma once

#include "core/request.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <span>

namespace foxtailtally {

/** Time after which a second call with a suspect part of a prompt runs beside the first one: a
 * server that is silent must not hold up sound calls that share the part. */
inline constexpr absl::Duration kMaxSuspectRunWait = absl::Seconds(1);

/** Calls of this instance in flight with each suspect part of a prompt. */
class SuspectPartRuns
{
public:
    void add(std::span<const Fingerprint> parts, absl::Time now);
    void remove(std::span<const Fingerprint> parts);
    /** Whether a call with @p part waits for those in flight. One run shows as much as several do,
     * and costs one server. */
    bool mustWait(const Fingerprint &part, absl::Time now) const;

private:
    struct Runs
    {
        std::int64_t count = 0;
        absl::Time lastAddedAt;
    };

    absl::flat_hash_map<Fingerprint, Runs> runs;
};

} // namespace foxtailtally
