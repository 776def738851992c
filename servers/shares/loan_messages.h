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

/** Use of one server that a former user of a share declares. */
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
 * What the last user of a group's shares may still run on the group's servers: its own permits and
 * its bound on those of earlier users on all shares that it used when it made the statement.
 * Servers that it does not name have unknown use. No user: nothing is known.
 */
struct UseStatement
{
    RosterMember user;
    /** Tells the statements of one user apart. */
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
 * Borrower to lender. Asks for loans, acknowledges the last offer and returns what is not wanted.
 * A share lent by an offer up to acknowledgedOffer of a group that is not in @ref groups is free.
 */
struct LoanRequest
{
    RosterMember sender;
    std::uint64_t rosterVersion = 0;
    /** The sender holds and lends nothing by versions below this one. */
    std::uint64_t settledVersion = 0;
    /** The sender's clock in nanoseconds; rises strictly, and the offer echoes it. */
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
    /** Empty user: what earlier users still run is unknown. */
    UseStatement statement;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->group, this->index, this->holders, this->tenancy, this->statement);
    }
};

/** Lender to borrower: everything that the lender lends to this borrower from now on. */
struct LoanOffer
{
    RosterMember lender;
    RosterMember borrower;
    std::uint64_t rosterVersion = 0;
    std::uint64_t settledVersion = 0;
    /** Rises with each offer of one lender process. */
    std::uint64_t sequence = 0;
    /** LoanRequest::sentAt of the request that the offer answers. */
    std::int64_t requestSentAt = 0;
    /** Term in milliseconds, counted by the borrower from requestSentAt. */
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

/** Upper estimates of packed sizes in bytes with the envelope, as for gossip messages. */
std::size_t packedSize(const LoanRequest &request);
std::size_t packedSize(const LoanOffer &offer);

} // namespace foxtailtally
