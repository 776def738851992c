#pragma once

#include "servers/catalog/server_backpressure.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailtally {

/** Identifies a claim among all instances. */
using ClaimId = std::uint64_t;

enum class ClaimKind : std::uint8_t {
    /** Asks for a token. */
    Request,
    /** Takes a token for a request that had to be sent anyway. Not answered. */
    Charge,
    /** Gives up a claim, or returns its token unused. Not answered. */
    Return,
};

/**
 * Claim for a token, which permits one request to a server with a rate limit. Sent to the issuer of
 * the servers, directly or through the sender's aggregator, and sent again with another stamp until
 * it is answered.
 */
struct TokenClaim
{
    ClaimId id = 0;
    ClaimKind kind = ClaimKind::Request;
    /** "ip:port" of the claimant's exchange. */
    std::string replyAddress;
    /** The token may be for any one of these; all have the same issuer. */
    std::vector<ServerKey> servers;
    /** Value of the request, relative to other claims. */
    float worth = 0;
    /** Time for which the claimant waits. */
    absl::Duration patience = absl::ZeroDuration();
    /** The claimant's clock, for the claimant alone. */
    std::uint32_t stamp = 0;
    /** An aggregator has forwarded the claim, or it was sent directly to the instance that answered
     * the last one; it is not forwarded further. */
    bool isRelayed = false;
};

enum class ClaimAnswer : std::uint8_t {
    Granted,
    Queued,
    Denied,
    /** The receiver does not issue tokens of these servers, or no longer. */
    NotIssuer,
};

struct TokenReply
{
    ClaimId id = 0;
    ClaimAnswer answer = ClaimAnswer::Denied;
    /** The server that a granted token is for. */
    ServerKey server = 0;
    /** Expected time until a token is available, if none was granted. */
    absl::Duration wait = absl::ZeroDuration();
    /** TokenClaim::stamp of the claim that is answered. */
    std::uint32_t stamp = 0;
};

/** What an instance knows of the rate limit of a server. The limit holds unless the server has
 * ended it since it was last named. */
struct LimitNews
{
    ServerKey server = 0;
    double requestsPerSecond = 0;
    absl::Time namedAt = absl::InfinitePast();
    /** When a request was sent whose response named no limit. */
    absl::Time endedAt = absl::InfinitePast();

    bool isInForce() const
    {
        return this->namedAt != absl::InfinitePast() && this->namedAt >= this->endedAt;
    }
};

} // namespace foxtailtally
