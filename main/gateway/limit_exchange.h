#pragma once

#include "core/metrics.h"
#include "main/gateway/instance_exchange.h"
#include "peers/http/loop_timer.h"
#include "servers/catalog/server_directory.h"
#include "servers/limits/rate_limiter.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

struct event_base;

namespace foxtailtally {

/** Receives the end of a claim for a token. */
class TokenListener
{
public:
    virtual ~TokenListener() = default;
    /** A request may be sent to @p server, if LimitExchange::spend() confirms it when the request
     * is written. */
    virtual void onToken(ClaimId claim, ServerKey server, absl::Time now) = 0;
    virtual void onNoToken(ClaimId claim, absl::Time now) = 0;
};

/** When tokens can be expected at a service whose servers all have a rate limit. */
struct TokenForecast
{
    absl::Time firstAt;
    std::size_t servers = 0;
    /** Sum of the limits. */
    double perSecond = 0;
};

/** Runs the RateLimiter of this instance on the event loop and exchanges its messages. */
class LimitExchange final : private LimitTopology, private LimitDatagrams
{
public:
    LimitExchange(event_base *base, const InstanceRecord &self, InstanceExchange &exchange,
                  const ServerDirectory &directory, Metrics &metrics);
    ~LimitExchange() override;
    LimitExchange(const LimitExchange &) = delete;
    LimitExchange &operator=(const LimitExchange &) = delete;

    RateLimitChange onNamed(ServerKey server, double requestsPerSecond, absl::Time now);
    RateLimitChange onNotNamed(ServerKey server, absl::Time requestSentAt, absl::Time now);
    std::optional<double> limitOf(ServerKey server) const { return this->limiter.limitOf(server); }
    bool isLimited(ServerKey server) const { return this->limiter.isLimited(server); }
    /** Replaces the limits of cold servers. */
    void setColdLimits(std::span<const ServerLimit> limits, absl::Time now);
    /** When a token of @p server is expected; InfinitePast if nothing speaks against one now. */
    absl::Time tokenExpectedAt(ServerKey server) const
    {
        return this->limiter.tokenExpectedAt(server);
    }
    /** Equal for servers that a claim may list together. */
    std::string issuerGroup(ServerKey server) const;
    /** nullopt if @p service has a server that may get calls without a token, or none at all. */
    std::optional<TokenForecast> forecast(const std::string &service, absl::Time now) const;

    /** Claims a token; @p listener is called later, unless the claim is given up. */
    ClaimId claim(TokenDemand demand, TokenListener &listener, absl::Time now);
    void giveUp(ClaimId id, absl::Time now);
    /** Uses up a granted token; false if it has expired. */
    bool spend(ClaimId id, absl::Time now);
    /** Counts a request to @p server that must be sent although there is no token. */
    void charge(ServerKey server, absl::Time now);

    void onTick(absl::Time now);

private:
    IssuerRoute issuerOf(ServerKey server) const override;
    bool isAggregator() const override;
    std::string aggregatorAddress() const override;
    std::vector<std::string> followerAddresses() const override;
    std::vector<std::string> otherAggregatorAddresses() const override;
    std::size_t lenders(absl::Time now) const override;
    std::size_t domainInstances() const override;
    std::size_t listedDomainInstances() const override;
    void onLimitDatagram(std::span<const char> bytes, const std::string &source,
                         absl::Time now) override;

    /** Domain whose aggregator issues the tokens of @p server; empty if the server is unknown. */
    FailureDomainId issuingDomain(ServerKey server) const;
    void onWork();
    void send(absl::Time now);
    void scheduleWork(absl::Time now);
    void logNews(const LimitNews &news, RateLimitChange change, const std::string &source,
                 absl::Time now);

    InstanceExchange &exchange;
    const ServerDirectory &directory;
    Metrics &metrics;
    FailureDomainId domain;
    RateLimiter limiter;
    LoopTimer workTimer;
    absl::flat_hash_map<ClaimId, TokenListener *> listeners;
};

/** Stable name for logs and metrics. */
std::string_view rateLimitChangeName(RateLimitChange change);

} // namespace foxtailtally
