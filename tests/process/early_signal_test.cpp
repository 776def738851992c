#include "tests/process/child_process.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <csignal>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

namespace foxtailtally {
namespace {

constexpr int kStarts = 20;
constexpr absl::Duration kStartLimit = absl::Seconds(5);
constexpr absl::Duration kEndLimit = absl::Milliseconds(100);

/** Opens the writing end of a pipe once another process reads it; negative if none does. */
int openForReader(const std::string &pipe)
{
    const absl::Time end = absl::Now() + kStartLimit;
    while (absl::Now() < end) {
        const int writer = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        if (writer >= 0)
            return writer;
        absl::SleepFor(absl::Milliseconds(1));
    }
    return -1;
}

// Guards against a process that SIGHUP ends while it starts: it was ignored only once the gateway
// ran. The settings file is a pipe, so that the process waits for its settings.
TEST(EarlySignal, DoesNotEndAProcessThatReadsItsSettings)
{
    const std::string pipe =
        absl::StrCat(FOXTAILTALLY_BINARY_DIR, "/early-signal-", ::getpid(), ".ini");
    ::unlink(pipe.c_str());
    ASSERT_EQ(::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR), 0);
    int ended = 0;
    for (int start = 0; start < kStarts; ++start) {
        ChildProcess process(
            {FOXTAILTALLY_BINARY_DIR "/foxtailtally", "gateway", "--settings", pipe}, "/dev/null");
        const int writer = openForReader(pipe);
        EXPECT_GE(writer, 0);
        process.signal(SIGHUP);
        ended += process.waitForEnd(kEndLimit) ? 1 : 0;
        ::close(writer);
    }
    ::unlink(pipe.c_str());
    EXPECT_EQ(ended, 0) << "of " << kStarts;
}

} // namespace
} // namespace foxtailtally
