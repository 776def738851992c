#include "servers/retry/event_relay.h"

#include "servers/memory/response_memory.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailtally {
namespace {

/** An EventRelay whose runs follow one another. */
class SequentialRelay
{
public:
    explicit SequentialRelay(std::string_view lastEventId)
        : relay(lastEventId)
        , run(this->relay.beginRun(false))
    { }

    void beginRun() { this->run = this->relay.beginRun(false); }
    Result<std::string> feed(std::string_view data) { return this->relay.feed(this->run, data); }
    bool hasAdvanced() const { return this->relay.hasAdvanced(); }
    bool hasForwardedEvent() const { return this->relay.hasForwardedEvent(); }
    bool isBetweenEvents() const { return this->run.isBetweenEvents(); }
    bool isComplete(bool isFramed) const { return this->relay.isComplete(this->run, isFramed); }
    std::string lastEventId() const { return this->relay.lastEventId(); }

private:
    EventRelay relay;
    EventRelay::Run run;
};

std::string event(int number)
{
    return absl::StrCat("id: ", number, "\ndata: x\n\n");
}

/** Feeds @p text one byte at a time; the forwarded bytes, or "violation". */
std::string feedBytes(SequentialRelay &relay, const std::string &text)
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

// Guards against the head or the text of another response in a stream without length.
TEST(EventRelay, ForwardsNothingThatIsNoEvent)
{
    for (const char *text :
         {"HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: x\r\n\r\n", "worker failed\n\n",
          "{\"error\": \"failed\"}\n\n", "error\n\n", "<html>\n\n", "\1\2\3\n\n", "Data: x\n\n",
          " data: x\n\n", "id: 2\ndata: xHTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n\r\n"}) {
        SequentialRelay relay("");
        EXPECT_EQ(relay.feed(event(1)).value(), event(1));
        EXPECT_EQ(feedBytes(relay, text), "violation") << text;
        EXPECT_EQ(relay.lastEventId(), "1") << text;
    }
}

// Guards against events that arrive together with a violation: they were not forwarded, but the
// next run was asked to resume behind them.
TEST(EventRelay, CountsNothingAsForwardedWhenItFails)
{
    for (const std::string &bad : {event(7), std::string("worker failed\n\n")}) {
        SequentialRelay relay("");
        EXPECT_TRUE(relay.feed(event(4)).ok());
        EXPECT_FALSE(relay.feed(event(5) + bad).ok());
        EXPECT_EQ(relay.lastEventId(), "4");
        relay.beginRun();
        EXPECT_EQ(relay.feed(event(5)).value(), event(5));
    }
}

// Guards against incomplete events that are bounded singly and exceed the memory in sum, and
// against memory that is kept between events.
TEST(EventRelay, TakesTheMemoryOfIncompleteEventsFromTheShare)
{
    constexpr std::int64_t kMemoryLimit = std::int64_t {160} << 20;
    MemoryBudget budget(kMemoryLimit);
    ResponseMemory memory(budget);
    EventRelay first("");
    EventRelay::Run run = first.beginRun(false, ResponseBuffer(memory, 1));
    EXPECT_TRUE(first.feed(run, event(1)).ok());
    EXPECT_EQ(budget.used(MemoryOwner::ResponseBodies), 0);
    EXPECT_TRUE(first.feed(run, "id: 2\ndata: ").ok());
    EXPECT_GT(budget.used(MemoryOwner::ResponseBodies), 0);
    EXPECT_EQ(first.feed(run, "x\n\n").value(), event(2));
    EXPECT_EQ(budget.used(MemoryOwner::ResponseBodies), 0);
    EXPECT_TRUE(run.isBetweenEvents());

    MemoryBudget none(0);
    ResponseMemory nothing(none);
    EventRelay::Run poor = first.beginRun(false, ResponseBuffer(nothing, 1));
    EXPECT_EQ(first.feed(poor, event(3) + "id: 4\ndata: ").error(),
              make_error_code(Error::MemoryShareUsedUp));
    EXPECT_EQ(first.lastEventId(), "2");
}

TEST(EventRelay, AcceptsAllLineEnds)
{
    for (const char *end : {"\n", "\r\n", "\r"}) {
        const std::string first = absl::StrCat("id: 1", end, "data: a", end, end);
        const std::string second = absl::StrCat("data: b", end, ": note", end, "id: 2", end, end);
        SequentialRelay bytes("");
        EXPECT_EQ(feedBytes(bytes, first + second), first + second);
        EXPECT_EQ(bytes.lastEventId(), "2");
        EXPECT_TRUE(bytes.isComplete(false));
        SequentialRelay whole("");
        EXPECT_EQ(whole.feed(first + second).value(), first + second);
        EXPECT_EQ(whole.lastEventId(), "2");
    }
    const std::string mixed = "id: 1\r\ndata: a\n\r\nid: 2\rdata: b\r\n\rid: 3\ndata: c\r\r";
    SequentialRelay relay("");
    EXPECT_EQ(feedBytes(relay, mixed), mixed);
    EXPECT_EQ(relay.lastEventId(), "3");
    EXPECT_TRUE(relay.isComplete(true));
}

// Guards against a blank line behind the last event that is taken for the start of another one.
TEST(EventRelay, ForwardsBlankLinesBetweenEvents)
{
    SequentialRelay relay("");
    const std::string text = "\n" + event(1) + "\n\r\n" + event(2) + "\n";
    EXPECT_EQ(relay.feed(text).value(), text);
    EXPECT_TRUE(relay.isComplete(true));
}

TEST(EventRelay, ReadsTheLastIdOfAnEvent)
{
    struct Case
    {
        const char *text;
        const char *lastId;
    };
    for (const Case &entry :
         {Case {"id:2\ndata: x\n\n", "2"}, Case {"id: 9\nid: 2\n\n", "2"},
          Case {"data: x\nid:  2 \n\n", "2"}, Case {"weight-versions: 3\nid: 2\ndata: x\n\n", "2"},
          Case {"id: 2\nid: x\ndata: x\n\n", "1"}, Case {"id\ndata: x\n\n", "1"},
          Case {"id:\ndata: x\n\n", "1"}, Case {"id: -2\ndata: x\n\n", "1"},
          Case {"id: 99999999999999999999\ndata: x\n\n", "1"}}) {
        SequentialRelay relay("");
        EXPECT_TRUE(relay.feed(event(1)).ok());
        EXPECT_EQ(relay.feed(entry.text).value(), entry.text);
        EXPECT_EQ(relay.lastEventId(), entry.lastId) << entry.text;
    }
    SequentialRelay relay("");
    EXPECT_TRUE(relay.feed(event(1)).ok());
    EXPECT_FALSE(relay.feed("id: 2\nid: 3\ndata: x\n\n").ok());
}

// Guards against events without a number that come twice, since no run can resume behind them.
TEST(EventRelay, DoesNotResumeAStreamWithUnnumberedEvents)
{
    for (const std::string &first : {std::string("data: a\n\n"), event(1) + "data: a\n\n"}) {
        SequentialRelay relay("");
        EXPECT_EQ(relay.feed(first).value(), first);
        relay.beginRun();
        EXPECT_FALSE(relay.feed("data: a\n\n").ok());
        relay.beginRun();
        EXPECT_FALSE(relay.feed(event(2)).ok());
    }
    SequentialRelay relay("");
    relay.beginRun();
    EXPECT_EQ(relay.feed("data: a\n\ndata: b\n\n").value(), "data: a\n\ndata: b\n\n");
    EXPECT_TRUE(relay.isComplete(false));
}

TEST(EventRelay, RepeatsNoPreambleWhenResumed)
{
    const std::string preamble = ": hello\n\nretry: 100\n\n";
    SequentialRelay relay("");
    EXPECT_EQ(relay.feed(preamble + event(1)).value(), preamble + event(1));
    relay.beginRun();
    EXPECT_EQ(relay.feed(preamble + event(1) + preamble + event(2) + ": ping\n\n").value(),
              event(2) + ": ping\n\n");
}

// Guards against comments without end, which are no answer and kept their call open.
TEST(EventRelay, ForwardsNoEventWithComments)
{
    SequentialRelay relay("7");
    const std::string comment = ": ping\n\n";
    EXPECT_EQ(relay.feed("\n" + comment).value(), "\n" + comment);
    EXPECT_FALSE(relay.hasForwardedEvent());
    std::size_t sent = 0;
    while (sent <= std::size_t {256} << 10 && relay.feed(comment).ok())
        sent += comment.size();
    EXPECT_LE(sent, std::size_t {256} << 10);
    for (const char *first : {"id: 8\ndata: x\n\n", "data: x\n\n"}) {
        SequentialRelay other("7");
        EXPECT_TRUE(other.feed(comment + first).ok());
        EXPECT_TRUE(other.hasForwardedEvent());
    }
}

// Guards against a run that ends early and is taken for the rest of the stream.
TEST(EventRelay, IsCompleteOnlyAtTheEndOfARunThatContinuesTheStream)
{
    SequentialRelay relay("");
    EXPECT_TRUE(relay.isComplete(true));
    EXPECT_FALSE(relay.isComplete(false));
    EXPECT_TRUE(relay.feed(event(1) + event(2)).ok());
    EXPECT_TRUE(relay.isComplete(true));
    EXPECT_TRUE(relay.isComplete(false));
    relay.beginRun();
    // A run that was asked for what follows the last event may have nothing to send.
    EXPECT_TRUE(relay.isComplete(true));
    EXPECT_FALSE(relay.isComplete(false));
    EXPECT_TRUE(relay.feed(event(1)).ok());
    EXPECT_FALSE(relay.isComplete(true));
    EXPECT_TRUE(relay.feed(event(2)).ok());
    EXPECT_TRUE(relay.isComplete(true));
    EXPECT_TRUE(relay.feed("id: 3\n").ok());
    EXPECT_FALSE(relay.isComplete(true));
}

// The caller may number its events in a way that only the server understands.
TEST(EventRelay, PassesOnAnIdOfTheCallerThatIsNoNumber)
{
    SequentialRelay relay("a-12");
    EXPECT_EQ(relay.lastEventId(), "a-12");
    EXPECT_EQ(relay.feed(event(13)).value(), event(13));
    EXPECT_EQ(relay.lastEventId(), "13");
}

// Any runs, broken off anywhere and followed by any bytes: the caller has a prefix of the stream.
RC_GTEST_PROP(EventRelay, ForwardsAPrefixOfTheStreamWhateverRunsSend, ())
{
    const int count = *rc::gen::inRange(1, 12);
    std::string whole;
    for (int number = 1; number <= count; ++number)
        whole += event(number);
    SequentialRelay relay("");
    std::string forwarded;
    const int runs = *rc::gen::inRange(1, 5);
    for (int run = 0; run < runs; ++run) {
        relay.beginRun();
        const std::string lastId = relay.lastEventId();
        const int resumedAt = lastId.empty() ? 1 : std::stoi(lastId) + 1;
        std::string bytes;
        for (int number = *rc::gen::inRange(1, resumedAt + 1); number <= count; ++number) {
            // A server may skip or repeat an event.
            const int copies = *rc::gen::weightedElement<int>({{1, 0}, {20, 1}, {1, 2}});
            for (int copy = 0; copy < copies && !(forwarded.empty() && bytes.empty() && number > 1);
                 ++copy)
                bytes += event(number);
        }
        const bool isBroken = *rc::gen::arbitrary<bool>();
        if (isBroken)
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        const bool hasOtherBytes = isBroken && *rc::gen::arbitrary<bool>();
        if (hasOtherBytes)
            bytes += "HTTP/1.1 500 Failed\r\nContent-Length: 7\r\n\r\nfailed\n";
        for (std::size_t at = 0; at < bytes.size();) {
            const std::size_t size =
                std::min(bytes.size() - at, *rc::gen::inRange<std::size_t>(1, 40));
            const Result<std::string> events = relay.feed(bytes.substr(at, size));
            if (!events.ok())
                break;
            forwarded += *events;
            at += size;
        }
        RC_ASSERT(whole.starts_with(forwarded));
        RC_ASSERT(forwarded.empty() || forwarded.ends_with("\n\n"));
    }
}

} // namespace
} // namespace foxtailtally
