#pragma once

#include "servers/catalog/server_backpressure.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <optional>

namespace foxtailtally {

/** What a response changes in the known rate limit of its server. */
enum class RateLimitChange { None, Named, Changed, Ended };

/**
 * Rate limits that backend servers name in their responses: the requests a second that a server
 * accepts from all instances together. A limit holds until a response without one; since responses
 * on several connections overtake each other, only a response to a request that was sent after the
 * limit was last named ends it. A limit belongs to one incarnation of a server.
 */
class ServerRateLimits
{
public:
    /** Maximum number of limits; the one that was named least recently is dropped first. */
    static constexpr std::size_t kMaxLimits = 8192;
    /** Time after which a limit is dropped that no response has named or ended since; its server
     * has ended long before. */
    static constexpr absl::Duration kRetention = absl::Hours(1);

    /** A response named @p requestsPerSecond. A change of the limit is reported at most once a
     * second for each server. */
    RateLimitChange onNamed(ServerKey server, double requestsPerSecond, absl::Time now);
    /** A response to a request that was sent at @p requestSentAt named no limit. */
    RateLimitChange onNotNamed(ServerKey server, absl::Time requestSentAt);

    /** Requests a second that @p server accepts; nullopt without a limit. */
    std::optional<double> limitOf(ServerKey server) const;
    std::size_t size() const { return this->limits.size(); }
    void onTick(absl::Time now);

private:
    struct Limit
    {
        double requestsPerSecond = 0;
        absl::Time namedAt;
        double reportedLimit = 0;
        absl::Time reportedAt;
    };

    void dropOldest();

    absl::flat_hash_map<ServerKey, Limit> limits;
};

} // namespace foxtailtally
