#include "tests/process/endless_server.h"
#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <gtest/gtest.h>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

namespace foxtailtally {
namespace {

constexpr int kEndlessServers = 3;
constexpr std::int64_t kMebibyte = std::int64_t {1} << 20;
/** The smallest instances have 160 MiB, of which a tenth stays free. */
constexpr std::int64_t kMemoryLimit = 144 * kMebibyte;

/** One gateway with three servers of one service that send @p bytes without end, and a sound one of
 * another service. Calls of the first service are either streams or plain. */
class EndlessDeployment
{
public:
    EndlessDeployment(EndlessBytes bytes, bool isStream)
        : isStream(isStream)
        , deployment(1)
    {
        this->deployment.configure(1, {"key-1"});
        ServingStandin &platform = this->deployment.platform();
        for (int index = 0; index < kEndlessServers; ++index) {
            const std::string address = this->deployment.spareHost(index) + ":9000";
            this->servers.push_back(std::make_unique<EndlessServer>(address, bytes));
            platform.addServer(index, isStream ? "engine" : "desk", "d0", address);
        }
        platform.addServer(kEndlessServers, isStream ? "desk" : "engine", "d0",
                           platform.serverAddress(kEndlessServers));
        this->deployment.start(0);
    }

    bool waitUntilReady() { return this->deployment.waitUntilReady(0); }
    /** Calls the endless servers at the same time; the answers. */
    std::vector<CallerAnswer> callAll(int count)
    {
        std::vector<CallerAnswer> answers(static_cast<std::size_t>(count));
        std::vector<std::thread> callers;
        callers.reserve(answers.size());
        for (CallerAnswer &answer : answers)
            callers.emplace_back([this, &answer] { answer = this->call(this->isStream); });
        for (std::thread &caller : callers)
            caller.join();
        return answers;
    }
    CallerAnswer callSoundServer() { return this->call(!this->isStream); }
    int endlessRequests() const
    {
        int sum = 0;
        for (const std::unique_ptr<EndlessServer> &server : this->servers)
            sum += server->requests();
        return sum;
    }
    /** Largest resident memory of the gateway since its start. */
    std::int64_t peakMemory() { return this->deployment.process(0).peakMemory(); }

private:
    CallerAnswer call(bool isStream)
    {
        const int number = ++this->calls;
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = isStream ? "/stream/a" : "/look/a";
        request.body = absl::StrCat("body-", number);
        request.headers = {absl::StrCat("Attempt-Id: call-", number), "Key: key-1",
                           "Deadline-Ms: 3000"};
        if (isStream)
            request.headers.push_back("Token-Usage: 1000,100");
        return callGateway(request);
    }

    bool isStream;
    GatewayDeployment deployment;
    std::vector<std::unique_ptr<EndlessServer>> servers;
    std::atomic<int> calls = 0;
};

bool isRefusal(const CallerAnswer &answer)
{
    return answer.isComplete
        && (answer.status == 502 || answer.status == 503 || answer.status == 504);
}

// Guards against callers whose answer begins with the comments of a faulty server and never ends.
TEST(EndlessResponse, CommentsBeginNoAnswer)
{
    constexpr int kCalls = 12;
    EndlessDeployment deployment(EndlessBytes::Comments, true);
    ASSERT_TRUE(deployment.waitUntilReady());
    for (const CallerAnswer &answer : deployment.callAll(kCalls)) {
        EXPECT_TRUE(isRefusal(answer)) << answer.status;
        EXPECT_EQ(answer.body.find(": ping"), std::string::npos);
    }
}

struct EndlessCase
{
    EndlessBytes bytes;
    bool isStream;

    friend std::ostream &operator<<(std::ostream &out, const EndlessCase &entry)
    {
        return out << endlessBytesName(entry.bytes)
                   << (entry.isStream ? "OfStreams" : "OfPlainCalls");
    }
};

/** Name of a test with @p info. */
std::string nameOf(const testing::TestParamInfo<EndlessCase> &info)
{
    return testing::PrintToString(info.param);
}

class ManyEndlessResponses : public testing::TestWithParam<EndlessCase>
{ };

// Guards against an instance that keeps what servers send without end until it has no memory left,
// and against other calls that fail meanwhile.
TEST_P(ManyEndlessResponses, LeaveMemoryForOtherCalls)
{
    const char *const number = std::getenv("FOXTAILTALLY_ENDLESS_CALLS");
    int calls = 300;
    if (number && !absl::SimpleAtoi(number, &calls))
        FAIL() << "FOXTAILTALLY_ENDLESS_CALLS is no number";
    EndlessDeployment deployment(GetParam().bytes, GetParam().isStream);
    ASSERT_TRUE(deployment.waitUntilReady());
    std::atomic<bool> isOver = false;
    int soundCalls = 0;
    int servedCalls = 0;
    std::thread sound([&] {
        while (!isOver) {
            ++soundCalls;
            servedCalls += deployment.callSoundServer().status == 200 ? 1 : 0;
        }
    });
    const std::vector<CallerAnswer> answers = deployment.callAll(calls);
    isOver = true;
    sound.join();
    int withStatus = 0;
    int broken = 0;
    for (const CallerAnswer &answer : answers) {
        withStatus += isRefusal(answer) ? 1 : 0;
        broken += answer.status == 200 && !answer.isComplete && !answer.body.empty() ? 1 : 0;
    }
    EXPECT_EQ(withStatus + broken, calls);
    EXPECT_EQ(servedCalls, soundCalls);
    EXPECT_LT(deployment.peakMemory(), kMemoryLimit);
    this->RecordProperty("peak_kib", static_cast<int>(deployment.peakMemory() / 1024));
    this->RecordProperty("requests", deployment.endlessRequests());
    this->RecordProperty("refused", withStatus);
    this->RecordProperty("broken", broken);
    this->RecordProperty("sound_calls", soundCalls);
}

INSTANTIATE_TEST_SUITE_P(Servers, ManyEndlessResponses,
                         testing::Values(EndlessCase {EndlessBytes::HeaderLines, false},
                                         EndlessCase {EndlessBytes::HeaderLine, false},
                                         EndlessCase {EndlessBytes::BodyWithoutLength, false},
                                         EndlessCase {EndlessBytes::BodyWithoutLength, true},
                                         EndlessCase {EndlessBytes::Chunks, false},
                                         EndlessCase {EndlessBytes::Chunks, true},
                                         EndlessCase {EndlessBytes::DataLine, true},
                                         EndlessCase {EndlessBytes::Comments, true},
                                         EndlessCase {EndlessBytes::InterimResponses, false},
                                         EndlessCase {EndlessBytes::NoHttp, false},
                                         EndlessCase {EndlessBytes::EncodedBody, false}),
                         nameOf);

} // namespace
} // namespace foxtailtally
