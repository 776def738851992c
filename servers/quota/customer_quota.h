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

/** Time for which granted tokens can be spent, measured from the request for them. */
constexpr absl::Duration kQuotaGrantLifetime = absl::Seconds(5);
/**
 * Time after which a lender reclaims granted tokens: the grant lifetime plus a margin for two clock
 * errors and a pause.
 */
constexpr absl::Duration kQuotaReclaimDelay = absl::Seconds(6);
/** Interval between requests for unused tokens of other instances during a shortage. */
constexpr absl::Duration kQuotaRequestInterval = absl::Milliseconds(500);
/** Maximum number of peers that are asked in one interval. */
constexpr std::size_t kMaxQuotaPeers = 16;
/** Ratio of the refill rate to the nominal rate; compensates for a clock that is 1% fast. */
constexpr double kQuotaClockFactor = 0.99;

/** Rate limit of one customer over all instances. */
struct QuotaLimit
{
    /** Tokens a second. */
    double rate = 0;
    /** Tokens that can be spent at once after an idle period. */
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
 * Each process refills a bucket at its share of the rate, up to its share of the burst. A process
 * that runs short asks others for unused tokens. A lender takes granted tokens out of its bucket
 * and does not refill this part of the capacity until the borrower reports them spent or they have
 * expired. The tokens stored on all instances together therefore never exceed the burst, and the
 * tokens spent in any period never exceed rate x time + burst. A bucket starts empty, so a restart
 * creates no tokens.
 */
class CustomerQuota
{
public:
    CustomerQuota(const RosterMember &self, std::size_t domains, std::uint64_t seed);

    void setLimit(const CustomerId &customer, QuotaLimit limit, absl::Time now);
    void removeLimit(const CustomerId &customer);
    /**
     * Must be called together with ShareLedger::setRoster(), because a roster version that is
     * reported as settled is taken to be settled for both.
     */
    void setRoster(const Roster &roster, absl::Time now);
    /** For @p hasRelinquished see nextRoster(). */
    void updateShare(
        absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> hasRelinquished,
        absl::Time now);

    /**
     * Takes @p tokens, or returns a refusal with RefusalReason::QuotaExceeded or UnknownCustomer.
     * The result has RefusalReason::None when the tokens were taken.
     */
    Refusal tryTake(const CustomerId &customer, std::int64_t tokens, absl::Time now);
    /** Returns the tokens of a request that was not run to the bucket. */
    void refund(const CustomerId &customer, std::int64_t tokens, absl::Time now);

    QuotaActions onRequest(const QuotaRequest &request, absl::Time now);
    /** Error::MessageStaleIncarnation or Error::DocumentStale for a stale or repeated grant. */
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
        /** Largest shortage of a refused request since peers were last asked for tokens. */
        double shortage = 0;
        /** Time of the last take or refusal; a bucket in use lends at most half of its level. */
        absl::Time usedAt = absl::InfinitePast();
        std::vector<Lent> lent;
        /** Borrowed tokens by lender. */
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
