#pragma once

#include "core/ids.h"
#include "servers/shares/roster.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace foxtailtally {

/** Part of a backend server's capacity in use. */
struct ServerUse
{
    std::int64_t requests = 0;
    std::int64_t memoryTokens = 0;

    bool operator==(const ServerUse &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->requests, this->memoryTokens);
    }
};

/** Use of one server as declared by a former user of a share. */
struct DeclaredUse
{
    BackendServerId server;
    ServerUse use;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->server, this->use);
    }
};

/**
 * What the last user of a group's shares may still run on the group's servers: its own permits,
 * plus its upper bound on permits of earlier users, on all shares that it used when it made the
 * statement. The use of servers that are not listed is unknown. An empty user means that nothing is
 * known.
 */
struct UseStatement
{
    RosterMember user;
    /** Distinguishes the statements of one user. */
    std::uint64_t number = 0;
    std::vector<DeclaredUse> uses;

    bool isKnown() const { return !this->user.instance.isEmpty(); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->user, this->number, this->uses);
    }
};

/** Return of all shares of one group that the sender has borrowed from the receiver. */
struct LoanReturn
{
    GroupId group;
    UseStatement statement;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->group, this->statement);
    }
};

/**
 * Borrower to lender: requests loans, acknowledges the last offer and returns loans that are no
 * longer needed. The lender may reuse a share that it lent in an offer up to acknowledgedOffer when
 * the share's group is not in @ref groups.
 */
struct LoanRequest
{
    RosterMember sender;
    std::uint64_t rosterVersion = 0;
    /** The sender holds and lends nothing by versions below this one. */
    std::uint64_t settledVersion = 0;
    /** The sender's clock in nanoseconds, strictly increasing; echoed in the offer. */
    std::int64_t sentAt = 0;
    bool isLeaving = false;
    Incarnation acknowledgedIncarnation = 0;
    std::uint64_t acknowledgedOffer = 0;
    std::vector<GroupId> groups;
    std::vector<LoanReturn> returns;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->sender, this->rosterVersion, this->settledVersion, this->sentAt,
                this->isLeaving, this->acknowledgedIncarnation, this->acknowledgedOffer,
                this->groups, this->returns);
    }
};

/** Loan of one holder's share of one group. */
struct Loan
{
    GroupId group;
    std::uint32_t index = 0;
    std::uint32_t holders = 0;
    /** Changes when the share passes from one user to another. */
    std::uint64_t tenancy = 0;
    /** With an empty user, what earlier users still run is unknown. */
    UseStatement statement;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->group, this->index, this->holders, this->tenancy, this->statement);
    }
};

/** Lender to borrower: all loans to this borrower; replaces the lender's earlier offers. */
struct LoanOffer
{
    RosterMember lender;
    RosterMember borrower;
    std::uint64_t rosterVersion = 0;
    std::uint64_t settledVersion = 0;
    /** Increases with each offer of one lender process. */
    std::uint64_t sequence = 0;
    /** LoanRequest::sentAt of the request that the offer answers. */
    std::int64_t requestSentAt = 0;
    /** Term of the loans, counted by the borrower from requestSentAt. */
    std::int64_t termMs = 0;
    bool isLeaving = false;
    std::vector<Loan> loans;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->lender, this->borrower, this->rosterVersion, this->settledVersion,
                this->sequence, this->requestSentAt, this->termMs, this->isLeaving, this->loans);
    }
};

/** Upper bounds of the packed sizes in bytes, including the envelope, as for gossip messages. */
std::size_t packedSize(const LoanRequest &request);
std::size_t packedSize(const LoanOffer &offer);

} // namespace foxtailtally
