#pragma once

#include "servers/limits/limit_messages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <optional>
#include <vector>

namespace foxtailtally {

/** Rate limit of one server. */
struct ServerLimit
{
    ServerKey server = 0;
    double requestsPerSecond = 0;
};

/** What a response or another instance's news changes in the known rate limit of a server. */
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
    /** Maximum number of servers; the one that was heard of least recently is dropped first. */
    static constexpr std::size_t kMaxServers = 8192;
    /** Time after which a limit is dropped that no response has named or ended since; its server
     * has ended long before. */
    static constexpr absl::Duration kRetention = absl::Hours(1);
    /** Time for which an ended limit is remembered, so that older news do not restore it. */
    static constexpr absl::Duration kEndedRetention = absl::Seconds(10);

    /** A response named @p requestsPerSecond. A change of the limit is reported at most once a
     * second for each server. */
    RateLimitChange onNamed(ServerKey server, double requestsPerSecond, absl::Time now);
    /** A response to a request that was sent at @p requestSentAt named no limit. */
    RateLimitChange onNotNamed(ServerKey server, absl::Time requestSentAt, absl::Time now);
    /** Another instance knows @p news; its times are by this instance's clock. */
    RateLimitChange onNews(const LimitNews &news, absl::Time now);

    /** Requests a second that @p server accepts; nullopt without a limit. */
    std::optional<double> limitOf(ServerKey server) const;
    /** News that differ from those taken last: a limit that was named, changed or ended. */
    std::vector<LimitNews> takeChanges();
    /** The same for one server; nullopt without such news. */
    std::optional<LimitNews> takeChange(ServerKey server);
    /** All limits, and those that ended recently. */
    std::vector<LimitNews> all() const;
    /** The limits in force. */
    std::vector<ServerLimit> inForce() const;
    std::size_t size() const { return this->servers.size(); }
    void onTick(absl::Time now);

private:
    struct State
    {
        LimitNews news;
        absl::Time heardAt;
        /** Last state that takeChanges() returned. */
        LimitNews taken;
        bool wasTaken = false;
        double reportedLimit = 0;
        absl::Time reportedAt = absl::InfinitePast();
    };

    State &stateOf(ServerKey server, absl::Time now);
    RateLimitChange report(State &state, bool wasInForce, absl::Time now);
    static std::optional<LimitNews> takeFrom(State &state);

    absl::flat_hash_map<ServerKey, State> servers;
};

} // namespace foxtailtally
