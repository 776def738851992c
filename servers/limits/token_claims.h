#pragma once

#include "core/random.h"
#include "servers/limits/limit_messages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** Most servers that one claim may list. */
inline constexpr std::size_t kMaxServersInClaim = 4;

/** Servers to list in a claim: @p preferred and others drawn at random, so that the claims of many
 * instances spread over all servers. */
std::vector<ServerKey> serversToClaim(ServerKey preferred, std::vector<ServerKey> others,
                                      Random &random);

/** What a call needs before it may be sent to a server with a rate limit. */
struct TokenDemand
{
    /** Any one of these will do, at most kMaxServersInClaim; all have the same issuer. */
    std::vector<ServerKey> servers;
    /** Value of the request, relative to others. */
    float worth = 0;
    /** Longest time to wait for the token. */
    absl::Duration patience = absl::ZeroDuration();
};

/** The end of a claim. */
struct ClaimOutcome
{
    ClaimId id = 0;
    bool isGranted = false;
    /** The server that the token is for. */
    ServerKey server = 0;
};

/**
 * The claims of one instance, and the tokens that it was granted. A token expires kTokenTerm after
 * the answered claim for it was sent, so a process that was paused meanwhile does not use it.
 */
class TokenClaims
{
public:
    static constexpr absl::Duration kTokenTerm = absl::Milliseconds(400);
    /** Interval at which a claim is sent again until it is granted or denied, and then until its
     * token is spent or was held for kMaxHold: a call with helpers needs several tokens, which are
     * not granted at the same time. */
    static constexpr absl::Duration kRenewInterval = absl::Milliseconds(200);
    /** Shorter than the issuer remembers a grant. */
    static constexpr absl::Duration kMaxHold = absl::Seconds(2);
    /** Time without any answer after which a claim fails. */
    static constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(300);
    /** Time for which no claim is made for the servers of a claim that got no answer. */
    static constexpr absl::Duration kNoAnswerPause = absl::Milliseconds(500);

    /** @p replyAddress: of this instance. @p firstId: differs between processes, so that the ids of
     * their claims differ. */
    TokenClaims(std::string replyAddress, ClaimId firstId, absl::Time startedAt)
        : replyAddress(std::move(replyAddress))
        , nextId(firstId)
        , startedAt(startedAt)
    { }

    /** Begins a claim, which takeDue() returns for sending. */
    ClaimId claim(TokenDemand demand, absl::Time now);
    /** Message that takes a token of @p server for a request that is sent in any case. */
    TokenClaim charge(ServerKey server);
    /** Message that gives up the claim or returns its token. */
    TokenClaim giveUp(ClaimId id);
    /** Uses up the token; false if it has expired. */
    bool spend(ClaimId id, absl::Time now);

    /** Returns messages that return tokens which were granted to claims that were given up. */
    std::vector<TokenClaim> onReply(const TokenReply &reply, absl::Time now);
    /** Claims to be sent now, for the first time or again. */
    std::vector<TokenClaim> takeDue(absl::Time now);
    /** Claims that were granted or have failed since the last call. */
    std::vector<ClaimOutcome> takeOutcomes(absl::Time now);
    /** When takeDue() or takeOutcomes() next have something to return. */
    absl::Time nextDueAt(absl::Time now) const;

    /** When a token of @p server is expected, as far as is known; InfinitePast if nothing speaks
     * against one now. */
    absl::Time expectedAt(ServerKey server) const;
    std::size_t openCount() const { return this->claims.size(); }
    /** Servers that an open claim lists; empty if there is no such claim. */
    std::vector<ServerKey> serversOf(ClaimId id) const;
    void onTick(absl::Time now);

private:
    struct Claim
    {
        TokenDemand demand;
        absl::Time expiresAt;
        absl::Time sentAt = absl::InfinitePast();
        /** When the claim was made or last answered. */
        absl::Time answeredAt;
        /** Time in which the issuer expected tokens when it last answered. */
        absl::Duration wait = absl::ZeroDuration();
        bool isGranted = false;
        ServerKey server = 0;
        absl::Time grantedAt;
        absl::Time validUntil = absl::InfinitePast();
    };

    TokenClaim message(ClaimId id, ClaimKind kind) const;
    std::uint32_t stampAt(absl::Time now) const;
    void expectAt(std::span<const ServerKey> servers, absl::Time at);

    std::string replyAddress;
    ClaimId nextId;
    absl::Time startedAt;
    absl::flat_hash_map<ClaimId, Claim> claims;
    std::vector<ClaimOutcome> outcomes;
    absl::flat_hash_map<ServerKey, absl::Time> expected;
    /** Claims whose tokens were used up, and when; further copies of the grant mean nothing. */
    absl::flat_hash_map<ClaimId, absl::Time> spent;
};

} // namespace foxtailtally
