#pragma once

#include "core/ids.h"
#include "core/random.h"
#include "core/refusal.h"
#include "core/result.h"
#include "servers/quota/quota_messages.h"
#include "servers/quota/quota_share.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <variant>
#include <vector>

namespace foxtailtally {

/** Time for which granted tokens can be spent, counted from the request. */
constexpr absl::Duration kQuotaGrantLifetime = absl::Seconds(5);
/** Time after which a lender refills what it has granted: the term, two clock errors, a pause. */
constexpr absl::Duration kQuotaReclaimDelay = absl::Seconds(6);
/** Interval between requests for idle shares while tokens are short. */
constexpr absl::Duration kQuotaRequestInterval = absl::Milliseconds(500);
/** Most peers asked in one interval. */
constexpr std::size_t kMaxQuotaPeers = 16;
/** Refill in relation to the nominal rate; makes up for a clock that is 1% fast. */
constexpr double kQuotaClockFactor = 0.99;

/** Limit of one customer over all instances. */
struct QuotaLimit
{
    /** Tokens a second. */
    double rate = 0;
    /** Tokens that can be spent at once after a pause. */
    double burst = 0;
};

struct SendQuotaRequest
{
    InstanceId to;
    QuotaRequest request;
};

struct SendQuotaGrant
{
    InstanceId to;
    QuotaGrant grant;
};

using QuotaAction = std::variant<SendQuotaRequest, SendQuotaGrant>;
using QuotaActions = std::vector<QuotaAction>;

/**
 * Token buckets of the customers, divided among the instances.
 *
 * Each process fills a bucket with its share of the rate, up to its share of the burst. A process
 * that runs short asks others for tokens that they do not need. A lender takes granted tokens out
 * of its bucket and leaves their room unfilled until the borrower reports them spent or they have
 * expired. So the tokens stored anywhere never exceed the burst, and the tokens spent in any time
 * never exceed rate x time + burst. A bucket starts empty, so a restart gives no tokens.
 */
class CustomerQuota
{
public:
    CustomerQuota(const RosterMember &self, std::size_t domains, std::uint64_t seed);

    void setLimit(const CustomerId &customer, QuotaLimit limit, absl::Time now);
    void removeLimit(const CustomerId &customer);
    /** Call when ShareLedger::setRoster() is called, since settled versions speak for both. */
    void setRoster(const Roster &roster, absl::Time now);
    /** @p isPast as for nextRoster(). */
    void
    updateShare(absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> isPast,
                absl::Time now);

    /**
     * Takes @p tokens, or returns a refusal with RefusalReason::QuotaExceeded or UnknownCustomer.
     * The result has RefusalReason::None when the tokens were taken.
     */
    Refusal tryTake(const CustomerId &customer, std::int64_t tokens, absl::Time now);
    /** Returns tokens of a request that was not run. */
    void refund(const CustomerId &customer, std::int64_t tokens, absl::Time now);

    QuotaActions onRequest(const QuotaRequest &request, absl::Time now);
    /** Error::MessageStaleIncarnation or Error::DocumentStale for a grant that is not usable. */
    std::error_code onGrant(const QuotaGrant &grant, absl::Time now);
    /** Call every 100 ms. */
    QuotaActions onTick(absl::Time now);

    double fraction() const { return this->share.fraction(); }

private:
    struct Borrowed
    {
        double tokens = 0;
        absl::Time validUntil;
    };
    struct Lent
    {
        RosterMember borrower;
        std::uint64_t grant = 0;
        double tokens = 0;
        absl::Time reclaimAt;
    };
    struct Bucket
    {
        QuotaLimit limit;
        double level = 0;
        absl::Time filledAt;
        /** Tokens that refused requests lacked since the last round of requests. */
        double shortage = 0;
        /** Time of the last take or refusal; a bucket in use lends at most half of its level. */
        absl::Time usedAt = absl::InfinitePast();
        std::vector<Lent> lent;
        /** Tokens of others' shares, by lender. */
        absl::flat_hash_map<InstanceId, Borrowed> borrowed;
    };
    struct LenderState
    {
        Incarnation incarnation = 0;
        std::uint64_t lastGrant = 0;
    };
    struct BorrowerState
    {
        Incarnation incarnation = 0;
        std::int64_t lastSentAt = 0;
    };

    double capacity(const Bucket &bucket) const;
    void refill(Bucket &bucket, absl::Time now) const;
    void reconcileLent(const QuotaRequest &request);
    std::vector<InstanceId> choosePeers(std::size_t count);

    RosterMember self;
    QuotaShare share;
    Random random;
    absl::flat_hash_map<CustomerId, Bucket> buckets;
    absl::flat_hash_map<InstanceId, LenderState> lenders;
    absl::flat_hash_map<InstanceId, BorrowerState> borrowers;
    std::uint64_t grants = 0;
    std::int64_t lastSentAt = 0;
    absl::Time nextRequestAt = absl::InfinitePast();
};

} // namespace foxtailtally
