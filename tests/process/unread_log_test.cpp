#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <array>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

namespace foxtailtally {
namespace {

/** Requests of each size; together they fill a pipe several times. */
constexpr int kRequestsPerSize = 20;

/** A gateway whose standard output is a pipe that is read only when the test does so. */
class UnreadLog : public testing::Test
{
protected:
    UnreadLog()
        : deployment(1)
    {
        const std::string file = this->deployment.logFile(0);
        ::unlink(file.c_str());
        EXPECT_EQ(::mkfifo(file.c_str(), S_IRUSR | S_IWUSR), 0);
        this->pipe = ::open(file.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
        this->deployment.configure(1, {"key-1"});
        this->deployment.start(0);
    }
    void TearDown() override { ::close(this->pipe); }

    /** Status of the response to a request for an unknown route, whose path is logged. */
    int callUnknownRoute(std::size_t pathSize)
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = "/" + std::string(pathSize, 'x');
        request.headers = {"Attempt-Id: a", "Key: key-1"};
        request.limit = absl::Seconds(1);
        return callGateway(request).status;
    }
    void readLog()
    {
        std::array<char, 65536> buffer {};
        for (ssize_t size = 0; (size = ::read(this->pipe, buffer.data(), buffer.size())) > 0;)
            this->log.append(buffer.data(), static_cast<std::size_t>(size));
    }

    GatewayDeployment deployment;
    int pipe = -1;
    std::string log;
};

// Guards against a process that hangs because nobody reads its log: a line that was longer than the
// free space of the pipe blocked the event loop.
TEST_F(UnreadLog, DoesNotHangTheProcess)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    for (const std::size_t size : {4300, 5000, 6000, 7000}) {
        for (int i = 0; i < kRequestsPerSize; ++i)
            ASSERT_EQ(this->callUnknownRoute(size), 404) << size << " bytes, request " << i;
    }
    EXPECT_TRUE(this->deployment.isReady(0));
    EXPECT_EQ(this->deployment.metrics(0).find("foxtailtally_log_lines_dropped_total 0"),
              std::string::npos);
    // The rest of the last line is written before the next one.
    this->readLog();
    EXPECT_EQ(this->callUnknownRoute(1), 404);
    this->readLog();
    std::vector<std::string> lines = absl::StrSplit(this->log, '\n', absl::SkipEmpty());
    EXPECT_GT(lines.size(), static_cast<std::size_t>(2));
    for (const std::string &line : lines)
        EXPECT_TRUE(nlohmann::json::accept(line)) << line.substr(0, 200);
}

// Guards against a lost request that leaves no line since its end fell into a time in which the log
// was full.
TEST_F(UnreadLog, KeepsTheLineOfALostRequest)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    ServingStandin &platform = this->deployment.platform();
    platform.addServer(0, "engine", "d0", platform.serverAddress(0));
    platform.setServerBehavior(0, ServerBehavior::DisconnectMidStream);
    CallerRequest request;
    request.address = this->deployment.callerAddress(0);
    request.path = "/stream/a";
    request.headers = {"Attempt-Id: before", "Key: key-1", "Deadline-Ms: 2000",
                       "Token-Usage: 1000,100"};
    while (callGateway(request).status != 200)
        this->readLog();
    this->readLog();
    this->log.clear();
    while (this->deployment.metrics(0).find("foxtailtally_log_lines_dropped_total 0\n")
           != std::string::npos)
        ASSERT_EQ(this->callUnknownRoute(4300), 404);
    request.headers.front() = "Attempt-Id: while-full";
    EXPECT_FALSE(callGateway(request).isComplete);
    this->readLog();
    // What waits is written with the next line.
    EXPECT_EQ(this->callUnknownRoute(1), 404);
    this->readLog();
    int lost = 0;
    for (const std::string &text :
         std::vector<std::string>(absl::StrSplit(this->log, '\n', absl::SkipEmpty()))) {
        const nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
        ASSERT_FALSE(line.is_discarded()) << text.substr(0, 200);
        if (line["event"] == "request_lost") {
            ++lost;
            EXPECT_EQ(line["request"], "while-full");
        }
    }
    EXPECT_EQ(lost, 1);
}

} // namespace
} // namespace foxtailtally
