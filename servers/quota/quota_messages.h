#pragma once

#include "core/ids.h"
#include "servers/shares/roster.h"

#include <cstdint>
#include <vector>

namespace foxtailtally {

/** Tokens of one customer in a request or a grant. */
struct QuotaAmount
{
    CustomerId customer;
    std::int64_t tokens = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->customer, this->tokens);
    }
};

/** Asks another instance for tokens that it does not use. */
struct QuotaRequest
{
    RosterMember sender;
    /** The sender's clock in nanoseconds; strictly increasing, echoed in the grant. */
    std::int64_t sentAt = 0;
    Incarnation acknowledgedIncarnation = 0;
    std::uint64_t acknowledgedGrant = 0;
    std::vector<QuotaAmount> wanted;
    /**
     * Tokens of the receiver's grants up to acknowledgedGrant that the sender may still spend;
     * zero for customers that are not listed.
     */
    std::vector<QuotaAmount> unspent;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->sender, this->sentAt, this->acknowledgedIncarnation, this->acknowledgedGrant,
                this->wanted, this->unspent);
    }
};

/** Tokens that the lender has taken from its own buckets for the borrower. */
struct QuotaGrant
{
    RosterMember lender;
    RosterMember borrower;
    /** Increases with each grant of one lender process. */
    std::uint64_t sequence = 0;
    /** QuotaRequest::sentAt; the lifetime of the grant starts at this time. */
    std::int64_t requestSentAt = 0;
    std::vector<QuotaAmount> granted;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->lender, this->borrower, this->sequence, this->requestSentAt, this->granted);
    }
};

} // namespace foxtailtally
