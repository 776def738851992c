#include "servers/retry/event_relay.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

std::string event(int number)
{
    return absl::StrCat("id: ", number, "\ndata: x\n\n");
}

/** Feeds @p text one byte at a time; the forwarded bytes, or "violation". */
std::string feedBytes(EventRelay &relay, const std::string &text)
{
    std::string forwarded;
    for (const char byte : text) {
        const Result<std::string> events = relay.feed(std::string(1, byte));
        if (!events.ok())
            return "violation";
        forwarded += *events;
    }
    return forwarded;
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

TEST(EventRelay, AcceptsAllLineEnds)
{
    for (const char *end : {"\n", "\r\n", "\r"}) {
        const std::string first = absl::StrCat("id: 1", end, "data: a", end, end);
        const std::string second = absl::StrCat("data: b", end, ": note", end, "id: 2", end, end);
        EventRelay bytes("");
        EXPECT_EQ(feedBytes(bytes, first + second), first + second);
        EXPECT_EQ(bytes.lastEventId(), "2");
        EXPECT_TRUE(bytes.isBetweenEvents());
        EventRelay whole("");
        EXPECT_EQ(whole.feed(first + second).value(), first + second);
        EXPECT_EQ(whole.lastEventId(), "2");
    }
    const std::string mixed = "id: 1\r\ndata: a\n\r\nid: 2\rdata: b\r\n\rid: 3\ndata: c\r\r";
    EventRelay relay("");
    EXPECT_EQ(feedBytes(relay, mixed), mixed);
    EXPECT_EQ(relay.lastEventId(), "3");
    EXPECT_TRUE(relay.isBetweenEvents());
}

// Guards against a blank line behind the last event that is taken for the start of another one.
TEST(EventRelay, ForwardsBlankLinesBetweenEvents)
{
    EventRelay relay("");
    const std::string text = "\n" + event(1) + "\n\r\n" + event(2) + "\n";
    EXPECT_EQ(relay.feed(text).value(), text);
    EXPECT_TRUE(relay.isBetweenEvents());
}

} // namespace
} // namespace foxtailtally
