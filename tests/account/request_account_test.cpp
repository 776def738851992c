#include "servers/account/request_account.h"

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <utility>
#include <vector>

namespace foxtailtally {
namespace {

// Guards against a request that is counted twice, for example as timed out when its response breaks
// and as given up when its connection closes for that.
TEST(RequestAccount, CountsTheFirstEndOnly)
{
    RequestAccount account;
    OpenRequest request = account.begin();
    EXPECT_TRUE(request.end(RequestEnd::Lost, "broken_off"));
    EXPECT_FALSE(request.end(RequestEnd::GivenUp, "caller_gone"));
    EXPECT_FALSE(request.isOpen());
    EXPECT_EQ(account.ended(RequestEnd::Lost, "broken_off"), 1U);
    EXPECT_EQ(account.ended(), 1U);
    EXPECT_TRUE(account.isBalanced(0));
}

// Guards against a request that is lost with the object that handles it and that no sum shows.
TEST(RequestAccount, CountsAnAbandonedRequestAsLost)
{
    RequestAccount account;
    auto request = std::make_unique<OpenRequest>(account.begin());
    EXPECT_EQ(account.inProgress(), 1U);
    request.reset();
    EXPECT_EQ(account.ended(RequestEnd::Lost, RequestAccount::kAbandoned), 1U);
    EXPECT_TRUE(account.isBalanced(0));
}

// Guards against a second end, or an early one, when a session hands its request to a run.
TEST(RequestAccount, FollowsARequestThatIsMoved)
{
    RequestAccount account;
    OpenRequest session = account.begin();
    OpenRequest run = std::move(session);
    EXPECT_TRUE(run.isOpen());
    EXPECT_EQ(account.inProgress(), 1U);
    run = account.begin();
    EXPECT_EQ(account.ended(RequestEnd::Lost, RequestAccount::kAbandoned), 1U);
    EXPECT_TRUE(run.end(RequestEnd::Answered, "served"));
    EXPECT_EQ(account.begun(), 2U);
    EXPECT_TRUE(account.isBalanced(0));
}

// Guards against a check that holds whatever the sessions have open.
TEST(RequestAccount, IsUnbalancedWhenSessionsHaveOtherRequests)
{
    RequestAccount account;
    const OpenRequest request = account.begin();
    EXPECT_TRUE(account.isBalanced(1));
    EXPECT_FALSE(account.isBalanced(0));
    EXPECT_FALSE(account.isBalanced(2));
}

TEST(RequestAccount, ShowsEachEndAndCause)
{
    RequestAccount account;
    const OpenRequest open = account.begin();
    account.begin().end(RequestEnd::Answered, "served");
    account.begin().end(RequestEnd::Refused, "no_route");
    account.begin().end(RequestEnd::Refused, "no_route");
    account.begin().end(RequestEnd::GivenUp, "caller_gone");
    EXPECT_EQ(account.exposition(),
              "foxtailtally_requests_begun_total 5\n"
              "foxtailtally_requests_in_progress 1\n"
              "foxtailtally_requests_total{end=\"answered\",cause=\"served\"} 1\n"
              "foxtailtally_requests_total{end=\"refused\",cause=\"no_route\"} 2\n"
              "foxtailtally_requests_total{end=\"given_up\",cause=\"caller_gone\"} 1\n");
}

// Guards against a sequence of begins, ends, moves and destructions that loses or repeats a
// request.
RC_GTEST_PROP(RequestAccount, StaysBalanced, (const std::vector<int> &steps))
{
    RequestAccount account;
    std::vector<OpenRequest> open;
    std::uint64_t begun = 0;
    for (const int step : steps) {
        const auto choice = static_cast<unsigned>(step) % 4;
        if (choice == 0 || open.empty()) {
            open.push_back(account.begin());
            ++begun;
        } else if (choice == 1) {
            open.back().end(static_cast<RequestEnd>(static_cast<unsigned>(step) / 4 % kRequestEnds),
                            "cause");
            open.pop_back();
        } else if (choice == 2) {
            open.pop_back();
        } else {
            std::swap(open.front(), open.back());
        }
        RC_ASSERT(account.begun() == begun);
        RC_ASSERT(account.isBalanced(open.size()));
    }
}

} // namespace
} // namespace foxtailtally
