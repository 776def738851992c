#include "main/gateway/limit_exchange.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/hash.h"
#include "core/log.h"
#include "peers/instance/limit_message.h"

#include <absl/container/btree_set.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Longest time until the limiter is asked for work again; share and followers may have changed. */
constexpr absl::Duration kMaxWorkInterval = absl::Milliseconds(50);

/** Rendezvous key that chooses the issuing domain of a server whose own domain has no instance. */
constexpr std::string_view kIssuerKey = "token-issuer";

/** First claim id of this process; another process of the same instance starts elsewhere. */
ClaimId firstClaimId(const InstanceRecord &self)
{
    return stableHash(self.id.str(),
                      static_cast<std::uint64_t>(absl::ToUnixMicros(Clock::wallNow())));
}

} // namespace

std::string_view rateLimitChangeName(RateLimitChange change)
{
    switch (change) {
    case RateLimitChange::None:
        break;
    case RateLimitChange::Named:
        return "named";
    case RateLimitChange::Changed:
        return "changed";
    case RateLimitChange::Ended:
        return "ended";
    }
    return "none";
}

LimitExchange::LimitExchange(event_base *base, const InstanceRecord &self,
                             InstanceExchange &exchange, const ServerDirectory &directory,
                             Metrics &metrics)
    : exchange(exchange)
    , directory(directory)
    , metrics(metrics)
    , domain(self.domain)
    , limiter(*this, self.exchangeAddress, firstClaimId(self), Clock::now())
    , workTimer(base, [this] { this->onWork(); })
{
    LimitDatagrams *receiver = this;
    this->exchange.setLimitReceiver(receiver);
}

LimitExchange::~LimitExchange()
{
    this->exchange.setLimitReceiver(nullptr);
}

RateLimitChange LimitExchange::onNamed(ServerKey server, double requestsPerSecond, absl::Time now)
{
    const RateLimitChange change = this->limiter.onNamed(server, requestsPerSecond, now);
    this->send(now);
    return change;
}

RateLimitChange LimitExchange::onNotNamed(ServerKey server, absl::Time requestSentAt,
                                          absl::Time now)
{
    // Most responses come from servers without a limit.
    if (!this->isLimited(server))
        return RateLimitChange::None;
    const RateLimitChange change = this->limiter.onNotNamed(server, requestSentAt, now);
    this->send(now);
    return change;
}

void LimitExchange::setColdLimits(std::span<const ServerLimit> limits, absl::Time now)
{
    this->limiter.setColdLimits(limits, now);
    this->send(now);
}

ClaimId LimitExchange::claim(TokenDemand demand, TokenListener &listener, absl::Time now)
{
    const ClaimId id = this->limiter.claim(std::move(demand), now);
    this->listeners[id] = &listener;
    this->metrics.counter("foxtailtally_token_claims_total").add();
    this->send(now);
    return id;
}

void LimitExchange::giveUp(ClaimId id, absl::Time now)
{
    if (this->listeners.erase(id) > 0)
        this->metrics.counter("foxtailtally_token_claims_ended_total", {{"end", "given_up"}}).add();
    else
        this->metrics.counter("foxtailtally_tokens_total", {{"use", "returned"}}).add();
    this->limiter.giveUp(id, now);
    this->send(now);
}

bool LimitExchange::spend(ClaimId id, absl::Time now)
{
    const bool isValid = this->limiter.spend(id, now);
    this->metrics.counter("foxtailtally_tokens_total", {{"use", isValid ? "spent" : "expired"}})
        .add();
    return isValid;
}

void LimitExchange::charge(ServerKey server, absl::Time now)
{
    if (!this->isLimited(server))
        return;
    this->metrics.counter("foxtailtally_tokens_total", {{"use", "charged"}}).add();
    this->limiter.charge(server, now);
    this->send(now);
}

void LimitExchange::onTick(absl::Time now)
{
    this->limiter.onTick(now);
    this->send(now);
}

void LimitExchange::onWork()
{
    const absl::Time now = Clock::now();
    this->limiter.onTick(now);
    this->send(now);
    for (const ClaimOutcome &outcome : this->limiter.takeOutcomes(now)) {
        const auto found = this->listeners.find(outcome.id);
        if (found == this->listeners.end())
            continue;
        TokenListener *listener = found->second;
        this->listeners.erase(found);
        const std::string_view end = outcome.isGranted ? "granted" : "denied";
        this->metrics.counter("foxtailtally_token_claims_ended_total", {{"end", end}}).add();
        if (outcome.isGranted)
            listener->onToken(outcome.id, outcome.server, now);
        else
            listener->onNoToken(outcome.id, now);
    }
    this->scheduleWork(now);
}

void LimitExchange::send(absl::Time now)
{
    for (const LimitEnvelope &envelope : this->limiter.takeMessages(now)) {
        if (envelope.address.empty())
            continue;
        for (const std::string &datagram : encodeLimitEnvelope(envelope, now))
            this->exchange.sendTo(envelope.address, datagram);
    }
    this->scheduleWork(now);
}

void LimitExchange::scheduleWork(absl::Time now)
{
    if (this->limiter.limitCount() == 0 && this->listeners.empty())
        return;
    const absl::Duration next = this->limiter.nextWorkAt(now) - now;
    this->workTimer.start(std::clamp(next, absl::ZeroDuration(), kMaxWorkInterval));
}

void LimitExchange::onLimitDatagram(std::span<const char> bytes, const std::string &source,
                                    absl::Time now)
{
    const Result<LimitEnvelope> decoded = decodeLimitEnvelope(bytes, now);
    if (!decoded.ok()) {
        this->metrics.counter(kMalformedDatagrams).add();
        logEvent(LogLevel::Warning, "peer_message_malformed",
                 {{"bytes", bytes.size()}, {"error", errorName(decoded.error())}});
        return;
    }
    for (const auto &[news, change] : this->limiter.onNews(decoded->news, now))
        this->logNews(news, change, source, now);
    this->limiter.onClaims(decoded->claims, now);
    this->limiter.onReplies(decoded->replies, source, now);
    this->send(now);
}

void LimitExchange::logNews(const LimitNews &news, RateLimitChange change,
                            const std::string &source, absl::Time now)
{
    this->metrics
        .counter("foxtailtally_server_limits_total", {{"news", rateLimitChangeName(change)}})
        .add();
    const ServerDirectory::Server *known = this->directory.findByKey(news.server);
    const absl::Time at = change == RateLimitChange::Ended ? news.endedAt : news.namedAt;
    logEvent(LogLevel::Info, "server_limit",
             {{"server", known ? known->entry.id.str() : std::string()},
              {"incarnation", known ? known->entry.incarnation : 0},
              {"news", rateLimitChangeName(change)},
              {"per_second", news.requestsPerSecond},
              {"from", source},
              {"age_ms", absl::ToInt64Milliseconds(now - at)}});
}

std::optional<TokenForecast> LimitExchange::forecast(const std::string &service,
                                                     absl::Time now) const
{
    TokenForecast forecast;
    forecast.firstAt = absl::InfiniteFuture();
    for (const ServerDirectory::Server *server : this->directory.usable(service, now)) {
        const std::optional<double> limit = this->limitOf(server->key);
        if (!limit)
            return std::nullopt;
        ++forecast.servers;
        forecast.perSecond += *limit;
        forecast.firstAt = std::min(forecast.firstAt, this->tokenExpectedAt(server->key));
    }
    if (forecast.firstAt == absl::InfiniteFuture())
        return std::nullopt;
    forecast.firstAt = std::max(forecast.firstAt, now);
    return forecast;
}

FailureDomainId LimitExchange::issuingDomain(ServerKey server) const
{
    const ServerDirectory::Server *known = this->directory.findByKey(server);
    if (!known)
        return {};
    const absl::btree_set<FailureDomainId> domains = this->exchange.view().domains();
    if (domains.contains(known->entry.domain))
        return known->entry.domain;
    return *std::max_element(
        domains.begin(), domains.end(), [](const FailureDomainId &a, const FailureDomainId &b) {
            return rendezvousWeight(kIssuerKey, a.str()) < rendezvousWeight(kIssuerKey, b.str());
        });
}

std::string LimitExchange::issuerGroup(ServerKey server) const
{
    return this->issuingDomain(server).str();
}

LimitTopology::IssuerRoute LimitExchange::issuerOf(ServerKey server) const
{
    using Kind = IssuerRoute::Kind;
    const FailureDomainId issuing = this->issuingDomain(server);
    if (issuing.isEmpty())
        return {Kind::None, {}};
    if (!this->isAggregator())
        return {Kind::Remote, this->aggregatorAddress()};
    if (issuing == this->domain)
        return {Kind::Self, {}};
    const InstanceRecord *other = this->exchange.view().aggregatorOf(issuing);
    if (!other)
        return {Kind::None, {}};
    return {Kind::Remote, other->exchangeAddress};
}

bool LimitExchange::isAggregator() const
{
    return this->exchange.view().aggregator() == nullptr;
}

std::string LimitExchange::aggregatorAddress() const
{
    const InstanceRecord *aggregator = this->exchange.view().aggregator();
    return aggregator ? aggregator->exchangeAddress : std::string();
}

std::vector<std::string> LimitExchange::followerAddresses() const
{
    std::vector<std::string> addresses;
    for (const FleetView::Subscriber *subscriber : this->exchange.view().subscribers(true))
        addresses.push_back(subscriber->exchangeAddress);
    return addresses;
}

std::vector<std::string> LimitExchange::otherAggregatorAddresses() const
{
    std::vector<std::string> addresses;
    for (const InstanceRecord *other : this->exchange.view().remoteAggregators())
        addresses.push_back(other->exchangeAddress);
    return addresses;
}

std::size_t LimitExchange::lenders(absl::Time now) const
{
    return this->exchange.lenders(now);
}

std::size_t LimitExchange::domainInstances() const
{
    return this->exchange.view().ownDomainInstances();
}

std::size_t LimitExchange::listedDomainInstances() const
{
    return this->exchange.view().ownDomainRecords();
}

} // namespace foxtailtally
