#include "servers/shares/loan_messages.h"

namespace foxtailtally {

namespace {

constexpr std::size_t kLengthBytes = 4;
/** Format version, message type, sender check and a 32-byte authentication tag. */
constexpr std::size_t kEnvelopeBytes = 48;

template <typename Id>
std::size_t idSize(const Id &id)
{
    return kLengthBytes + id.str().size();
}

std::size_t sizeOf(const RosterMember &member)
{
    return idSize(member.instance) + sizeof(member.incarnation);
}

std::size_t sizeOf(const UseStatement &statement)
{
    std::size_t size = sizeOf(statement.user) + sizeof(statement.number) + kLengthBytes;
    for (const DeclaredUse &declared : statement.uses)
        size += idSize(declared.server) + sizeof(ServerUse);
    return size;
}

} // namespace

std::size_t packedSize(const LoanRequest &request)
{
    std::size_t size =
        kEnvelopeBytes + sizeOf(request.sender) + 5 * sizeof(std::uint64_t) + 1 + 2 * kLengthBytes;
    for (const GroupId &group : request.groups)
        size += idSize(group);
    for (const LoanReturn &back : request.returns)
        size += idSize(back.group) + sizeOf(back.statement);
    return size;
}

std::size_t packedSize(const LoanOffer &offer)
{
    std::size_t size = kEnvelopeBytes + sizeOf(offer.lender) + sizeOf(offer.borrower)
        + 5 * sizeof(std::uint64_t) + 1 + kLengthBytes;
    for (const Loan &loan : offer.loans)
        size += idSize(loan.group) + 2 * sizeof(loan.index) + sizeof(loan.tenancy)
            + sizeOf(loan.statement);
    return size;
}

} // namespace foxtailtally
