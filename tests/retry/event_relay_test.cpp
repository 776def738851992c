#include "servers/retry/event_relay.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

std::string event(int number)
{
    return absl::StrCat("id: ", number, "\ndata: x\n\n");
}

// Guards against events that arrive together with a violation: they were not forwarded, but the
// next run was asked to resume behind them.
TEST(EventRelay, CountsNothingAsForwardedWhenItFails)
{
    EventRelay relay("");
    EXPECT_TRUE(relay.feed(event(4)).ok());
    EXPECT_FALSE(relay.feed(event(5) + event(7)).ok());
    EXPECT_EQ(relay.lastEventId(), "4");
    relay.beginRun();
    EXPECT_EQ(relay.feed(event(5)).value(), event(5));
}

} // namespace
} // namespace foxtailtally
