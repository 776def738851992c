#pragma once

#include "servers/limits/server_rate_limits.h"
#include "servers/limits/token_claims.h"
#include "servers/limits/token_issuer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace foxtailtally {

/** Where the tokens of a server are issued, and who must know of limits. */
class LimitTopology
{
public:
    struct IssuerRoute
    {
        enum class Kind {
            /** This instance issues them. */
            Self,
            /** Claims go to address: the issuer, or this instance's aggregator that forwards them.
             */
            Remote,
            /** No issuer is known. */
            None,
        };
        Kind kind = Kind::None;
        std::string address;
    };

    virtual ~LimitTopology() = default;
    virtual IssuerRoute issuerOf(ServerKey server) const = 0;
    virtual bool isAggregator() const = 0;
    /** Exchange address of the followed aggregator; empty if this instance aggregates. */
    virtual std::string aggregatorAddress() const = 0;
    /** Exchange addresses of the followers in the own domain, and of the aggregators of other
     * domains; both are empty unless this instance aggregates. */
    virtual std::vector<std::string> followerAddresses() const = 0;
    virtual std::vector<std::string> otherAggregatorAddresses() const = 0;
    /** Instances of the own failure domain that lend their share to this one, itself included. */
    virtual std::size_t lenders(absl::Time now) const = 0;
    /** Instances of the own failure domain that are known now. */
    virtual std::size_t domainInstances() const = 0;
    /** Instances of the own failure domain that the store lists, this one included. */
    virtual std::size_t listedDomainInstances() const = 0;
};

/** Message from one instance to others about limits. */
struct NewsMessage
{
    bool isFromAggregator = false;
    /** Instances of the sender's failure domain, if the sender aggregates. */
    std::uint16_t domainInstances = 0;
    std::vector<LimitNews> news;
};

/** Messages of one step, for one receiver. */
struct LimitEnvelope
{
    std::string address;
    NewsMessage news;
    std::vector<TokenClaim> claims;
    std::vector<TokenReply> replies;
};

/**
 * Keeps the requests of all instances to servers with a rate limit within that limit. Limits are
 * told to all instances. The aggregator of a server's failure domain issues tokens for requests to
 * the server, and a request is sent only with a token. Does no I/O.
 */
class RateLimiter
{
public:
    RateLimiter(LimitTopology &topology, std::string ownAddress, ClaimId firstClaimId,
                absl::Time startedAt);
    RateLimiter(const RateLimiter &) = delete;
    RateLimiter &operator=(const RateLimiter &) = delete;

    RateLimitChange onNamed(ServerKey server, double requestsPerSecond, absl::Time now);
    RateLimitChange onNotNamed(ServerKey server, absl::Time requestSentAt, absl::Time now);
    /** Replaces the limits of cold servers, which every instance knows by itself. They hold in
     * addition to those that servers name. */
    void setColdLimits(std::span<const ServerLimit> cold, absl::Time now);
    std::optional<double> limitOf(ServerKey server) const;
    bool isLimited(ServerKey server) const { return this->limitOf(server).has_value(); }
    std::size_t limitCount() const { return this->limits.size() + this->coldLimits.size(); }

    /** Claims a token; takeOutcomes() tells how the claim ends. */
    ClaimId claim(TokenDemand demand, absl::Time now);
    /** Gives up a claim, or a token that was granted and not spent. */
    void giveUp(ClaimId id, absl::Time now);
    /** Uses up a granted token; false if it has expired and no request may be sent. */
    bool spend(ClaimId id, absl::Time now) { return this->claims.spend(id, now); }
    /** Counts a request to @p server that must be sent although there is no token. */
    void charge(ServerKey server, absl::Time now);
    /** When a token of @p server is expected; InfinitePast if nothing speaks against one now. */
    absl::Time tokenExpectedAt(ServerKey server) const { return this->claims.expectedAt(server); }
    std::vector<ClaimOutcome> takeOutcomes(absl::Time now)
    {
        return this->claims.takeOutcomes(now);
    }

    /** @p news: times by this instance's clock. Returns the changes that are worth a log line. */
    std::vector<std::pair<LimitNews, RateLimitChange>> onNews(const NewsMessage &message,
                                                              absl::Time now);
    void onClaims(std::span<const TokenClaim> received, absl::Time now);
    /** @p source: exchange address of the sender. */
    void onReplies(std::span<const TokenReply> replies, const std::string &source, absl::Time now);
    /** Periodic work; may be called at any time. */
    void onTick(absl::Time now);
    /** When onTick() next has work. */
    absl::Time nextWorkAt(absl::Time now) const;
    /** Messages to send. */
    std::vector<LimitEnvelope> takeMessages(absl::Time now);

private:
    struct Count
    {
        absl::Time at;
        std::size_t instances = 0;
    };
    /** News that are sent several times, since datagrams may be lost. */
    struct Repeat
    {
        LimitNews news;
        /** Other aggregators are told too, not only followers. */
        bool isForAllDomains = true;
        int left = 0;
        absl::Time dueAt;
    };

    LimitEnvelope &envelopeTo(const std::string &address);
    /** Handles @p claim here, or sends it on its way to the issuer. */
    void route(TokenClaim claim, absl::Time now);
    void answerUnissued(const TokenClaim &claim, ClaimAnswer answer, absl::Time now);
    void updateHints(const TokenReply &reply, const std::string &source, absl::Time now);
    /** Address of the instance that lately answered claims for @p server; empty if none did. */
    std::string hintFor(ServerKey server, absl::Time now) const;
    void deliver(std::span<const AddressedReply> replies, absl::Time now);
    void handleReply(const TokenReply &reply, absl::Time now);
    void updateIssuer(absl::Time now);
    void recordDomainCount(std::size_t instances, absl::Time now);
    std::size_t rememberedInstances() const;
    /** Instances of the domain over which limits are divided. */
    std::size_t sharingInstances(absl::Time now) const;
    std::vector<ServerLimit> limitsInForce() const;
    std::vector<std::string> newsReceivers(bool isForAllDomains) const;
    void queueNews(absl::Time now);
    /** Sends everything to instances that were not receivers before. */
    void queueFullNews();

    LimitTopology &topology;
    std::string ownAddress;
    absl::Time startedAt;
    ServerRateLimits limits;
    absl::flat_hash_map<ServerKey, double> coldLimits;
    TokenIssuer issuer;
    TokenClaims claims;
    bool isIssuing = false;
    std::vector<Count> domainCounts;
    std::vector<LimitEnvelope> outgoing;
    std::vector<Repeat> repeats;
    struct Hint
    {
        std::string address;
        absl::Time answeredAt;
    };
    /** Issuers by server, so that claims need not pass through the own aggregator. */
    absl::flat_hash_map<ServerKey, Hint> hints;
    /** Instances that were sent all news since they became receivers. */
    absl::flat_hash_set<std::string> informed;
};

} // namespace foxtailtally
