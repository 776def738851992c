#pragma once

#include "servers/limits/limit_messages.h"
#include "servers/limits/server_rate_limits.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** A reply and the exchange address of the claimant. */
struct AddressedReply
{
    std::string address;
    TokenReply reply;
};

/**
 * Issues tokens for requests to servers with a rate limit, at the rate of the limit. Claims that
 * cannot be granted at once wait in a queue if a token is expected within their patience, and are
 * denied at once otherwise.
 *
 * Two of three tokens go to the claim of the highest worth, the third to the next one in the order
 * of arrival: scarce tokens serve what is worth most, and no claim starves behind worthier ones.
 * Buckets start empty, so a restarted issuer does not issue again what it issued before.
 */
class TokenIssuer
{
public:
    /** Claims that wait at once; of more, the least worthy are denied. */
    static constexpr std::size_t kMaxPending = 128;
    /** Rate at which tokens of a server are issued that accepts no requests, in tokens a second: a
     * request now and then finds out when the server accepts some again. */
    static constexpr double kMinRate = 0.05;
    /** Size of a bucket: kBurstTokens and the tokens of kBurstTime. */
    static constexpr double kBurstTokens = 1.0;
    static constexpr absl::Duration kBurstTime = absl::Milliseconds(100);

    /** Replaces the limits of the servers whose tokens this issuer issues. */
    void setLimits(std::span<const ServerLimit> limits, absl::Time now);
    /** The part of all limits that this issuer may issue, between 0 and 1; initially 0. */
    void setShare(double share, absl::Time now);
    /** Denies all claims and forgets all limits: another instance issues the tokens. */
    std::vector<AddressedReply> reset();

    std::vector<AddressedReply> onClaim(const TokenClaim &claim, absl::Time now);
    /** Grants queued claims and denies hopeless ones. */
    std::vector<AddressedReply> onTick(absl::Time now);
    /** When onTick() can grant the next claim; InfiniteFuture when none is queued. */
    absl::Time nextGrantAt(absl::Time now) const;

    std::size_t pendingCount() const { return this->pending.size(); }
    std::size_t serverCount() const { return this->buckets.size(); }

private:
    struct Bucket
    {
        double requestsPerSecond = 0;
        /** Negative after charges. */
        double level = 0;
        absl::Time filledAt;
        int grantsSinceTurn = 0;
    };
    struct Pending
    {
        TokenClaim claim;
        absl::Time queuedAt;
        /** When the claimant last renewed the claim. */
        absl::Time renewedAt;
        absl::Time expiresAt;
        /** The claim gets a token in the order of arrival, unless it gets one earlier for its
         * worth.
         */
        bool hasTurn = false;
    };
    /** Time until a claim gets a token for its worth, and in the order of arrival. */
    struct Outlook
    {
        absl::Duration byWorth;
        absl::Duration byTurn;
        double turnsAhead = 0;
    };
    /** A claim that was granted, charged or returned, so that a copy of it is not handled again. */
    struct Settled
    {
        absl::Time at;
        bool isGranted = false;
        ServerKey server = 0;
    };

    void refill(Bucket &bucket, absl::Time now) const;
    double rate(const Bucket &bucket) const;
    double levelAt(const Bucket &bucket, absl::Time now) const;
    void charge(const TokenClaim &claim, absl::Time now);
    void giveBack(const TokenClaim &claim, absl::Time now);
    Outlook outlook(const Pending &entry, absl::Time now) const;
    /** Time until a token for @p entry is expected. */
    absl::Duration expectedWait(const Pending &entry, absl::Time now) const;
    bool mayTakeTurn(const Pending &entry, absl::Time now) const;
    /** Grants queued claims while there are tokens. */
    void grantReady(absl::Time now, std::vector<AddressedReply> &replies);
    /** Position in pending of the claim that gets the next token of @p server. */
    std::optional<std::size_t> nextClaim(ServerKey server, bool isTurn) const;
    void denyHopeless(absl::Time now, std::vector<AddressedReply> &replies);
    /** Makes room for a worthier claim. */
    void denyLeastWorthy(absl::Time now, std::vector<AddressedReply> &replies);

    double share = 0;
    absl::flat_hash_map<ServerKey, Bucket> buckets;
    /** In the order of arrival. */
    std::vector<Pending> pending;
    absl::flat_hash_map<ClaimId, Settled> settled;
};

} // namespace foxtailtally
