#include "main/lib/customer_limits.h"

#include "core/lock.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

constexpr double kBurstSeconds = 10;
/** Prompt tokens and new tokens of the longest request. */
constexpr double kMaxRequestTokens = 1048576;
/** Longer than a roster change plus the delay after which lent tokens are reclaimed. */
constexpr absl::Duration kMaxShareWait = absl::Seconds(15);

} // namespace

double quotaBurst(std::uint64_t tokensPerSecond, std::size_t domains)
{
    return std::max(kBurstSeconds * static_cast<double>(tokensPerSecond),
                    2 * kMaxRequestTokens * static_cast<double>(domains));
}

CustomerLimits::CustomerLimits(const RosterMember &self, std::size_t domains, Send send)
    : domains(domains)
    , send(std::move(send))
    , quota(self, domains, self.incarnation)
{ }

CustomerLimits::~CustomerLimits()
{
    pthread_mutex_destroy(&this->mutex);
}

void CustomerLimits::setCustomers(std::span<const CustomerEntry> customers, absl::Time now)
{
    this->shareWaitDeadline = std::min(this->shareWaitDeadline, now + kMaxShareWait);
    std::vector<CustomerId> next;
    const Lock lock(this->mutex);
    for (const CustomerEntry &customer : customers) {
        this->quota.setLimit(customer.id,
                             {static_cast<double>(customer.tokensPerSecond),
                              quotaBurst(customer.tokensPerSecond, this->domains)},
                             now);
        next.push_back(customer.id);
    }
    std::sort(next.begin(), next.end());
    for (const CustomerId &customer : this->knownCustomers) {
        if (!std::binary_search(next.begin(), next.end(), customer))
            this->quota.removeLimit(customer);
    }
    this->knownCustomers = std::move(next);
}

void CustomerLimits::setRoster(const Roster &roster, absl::Time now)
{
    const Lock lock(this->mutex);
    this->quota.setRoster(roster, now);
}

void CustomerLimits::onMessage(const Envelope &message, absl::Time now)
{
    if (message.kind == MessageKind::QuotaRequest) {
        const auto request = unpackMessage<QuotaRequest>(message.payload);
        if (!request.ok() || request->sender.instance != message.sender)
            return;
        QuotaActions actions;
        {
            const Lock lock(this->mutex);
            actions = this->quota.onRequest(*request, now);
        }
        this->apply(actions);
    } else if (message.kind == MessageKind::QuotaGrant) {
        const auto grant = unpackMessage<QuotaGrant>(message.payload);
        if (!grant.ok() || grant->lender.instance != message.sender)
            return;
        const Lock lock(this->mutex);
        // onGrant() rejects a late or repeated grant with an error; the lender needs no reply.
        static_cast<void>(this->quota.onGrant(*grant, now));
    }
}

void CustomerLimits::onTick(
    absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> hasRelinquished,
    absl::Time now)
{
    QuotaActions actions;
    {
        const Lock lock(this->mutex);
        this->quota.updateShare(hasRelinquished, now);
        actions = this->quota.onTick(now);
        this->hadShare = this->hadShare || this->quota.fraction() > 0;
    }
    this->apply(actions);
}

bool CustomerLimits::isReady(absl::Time now) const
{
    return this->hadShare || now >= this->shareWaitDeadline;
}

Refusal CustomerLimits::tryTake(const CustomerId &customer, std::int64_t tokens, absl::Time now)
{
    const Lock lock(this->mutex);
    return this->quota.tryTake(customer, tokens, now);
}

void CustomerLimits::refund(const CustomerId &customer, std::int64_t tokens, absl::Time now)
{
    const Lock lock(this->mutex);
    this->quota.refund(customer, tokens, now);
}

void CustomerLimits::apply(const QuotaActions &actions)
{
    for (const QuotaAction &action : actions) {
        if (const auto *request = std::get_if<SendQuotaRequest>(&action))
            this->send(request->to, MessageKind::QuotaRequest, packMessage(request->request));
        else if (const auto *grant = std::get_if<SendQuotaGrant>(&action))
            this->send(grant->to, MessageKind::QuotaGrant, packMessage(grant->grant));
    }
}

} // namespace foxtailtally
