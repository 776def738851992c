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
/** The smallest and the usual instances. */
constexpr int kSmallMebibytes = 160;
constexpr int kUsualMebibytes = 260;
/** Calls whose incomplete events would exceed the memory of a small instance: 256 KiB each. */
constexpr int kManyCalls = 800;
/** Part of the memory of an instance that stays free. */
constexpr double kFreeShare = 0.1;

/** Calls of the servers that send without end. */
enum class EndlessCalls {
    Plain,
    /** Streams of engines, whose slots bound the streams that are open at a time. */
    Streams,
    /** Streams of a service without engines; all of them are open at a time. */
    UnplacedStreams,
};

/** One gateway with three servers of one service that send @p bytes without end, and a sound one of
 * another service. */
class EndlessDeployment
{
public:
    EndlessDeployment(EndlessBytes bytes, EndlessCalls kind, int memoryMebibytes = kSmallMebibytes)
        : kind(kind)
        , deployment(1)
    {
        this->deployment.setMemory(memoryMebibytes);
        this->deployment.addRoute("/feed", "streaming");
        this->deployment.configure(1, {"key-1"});
        const bool usesEngines = kind == EndlessCalls::Streams;
        ServingStandin &platform = this->deployment.platform();
        for (int index = 0; index < kEndlessServers; ++index) {
            const std::string address = this->deployment.spareHost(index) + ":9000";
            this->servers.push_back(std::make_unique<EndlessServer>(address, bytes));
            platform.addServer(index, usesEngines ? "engine" : "desk", "d0", address);
        }
        platform.addServer(kEndlessServers, usesEngines ? "desk" : "engine", "d0",
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
            callers.emplace_back([this, &answer] { answer = this->call(endlessPath(this->kind)); });
        for (std::thread &caller : callers)
            caller.join();
        return answers;
    }
    CallerAnswer callSoundServer()
    {
        return this->call(this->kind == EndlessCalls::Streams ? "/look/a" : "/stream/a");
    }
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
    static std::string endlessPath(EndlessCalls kind)
    {
        switch (kind) {
        case EndlessCalls::Plain:
            return "/look/a";
        case EndlessCalls::Streams:
            return "/stream/a";
        case EndlessCalls::UnplacedStreams:
            return "/feed/a";
        }
        return "";
    }

    CallerAnswer call(const std::string &path)
    {
        const int number = ++this->calls;
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = path;
        request.body = absl::StrCat("body-", number);
        request.headers = {absl::StrCat("Attempt-Id: call-", number), "Key: key-1",
                           "Deadline-Ms: 3000"};
        if (path == "/stream/a")
            request.headers.push_back("Token-Usage: 1000,100");
        return callGateway(request);
    }

    EndlessCalls kind;
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
    EndlessDeployment deployment(EndlessBytes::Comments, EndlessCalls::Streams);
    ASSERT_TRUE(deployment.waitUntilReady());
    for (const CallerAnswer &answer : deployment.callAll(kCalls)) {
        EXPECT_TRUE(isRefusal(answer)) << answer.status;
        EXPECT_EQ(answer.body.find(": ping"), std::string::npos);
    }
}

struct EndlessCase
{
    EndlessBytes bytes;
    EndlessCalls calls;
    int memoryMebibytes = kSmallMebibytes;
    int count = 300;

    friend std::ostream &operator<<(std::ostream &out, const EndlessCase &entry)
    {
        out << endlessBytesName(entry.bytes);
        switch (entry.calls) {
        case EndlessCalls::Plain:
            return out << "OfPlainCalls";
        case EndlessCalls::Streams:
            return out << "OfStreams";
        case EndlessCalls::UnplacedStreams:
            return out << "OfUnplacedStreams";
        }
        return out;
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
    int calls = GetParam().count;
    if (number && !absl::SimpleAtoi(number, &calls))
        FAIL() << "FOXTAILTALLY_ENDLESS_CALLS is no number";
    EndlessDeployment deployment(GetParam().bytes, GetParam().calls, GetParam().memoryMebibytes);
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
    const double limit = static_cast<double>(GetParam().memoryMebibytes * kMebibyte);
    EXPECT_LT(static_cast<double>(deployment.peakMemory()), limit * (1.0 - kFreeShare));
    this->RecordProperty("peak_kib", static_cast<int>(deployment.peakMemory() / 1024));
    this->RecordProperty("requests", deployment.endlessRequests());
    this->RecordProperty("refused", withStatus);
    this->RecordProperty("broken", broken);
    this->RecordProperty("sound_calls", soundCalls);
    this->RecordProperty("sound_calls_served", servedCalls);
}

INSTANTIATE_TEST_SUITE_P(
    Servers, ManyEndlessResponses,
    testing::Values(EndlessCase {EndlessBytes::HeaderLines, EndlessCalls::Plain},
                    EndlessCase {EndlessBytes::HeaderLine, EndlessCalls::Plain},
                    EndlessCase {EndlessBytes::BodyWithoutLength, EndlessCalls::Plain},
                    EndlessCase {EndlessBytes::BodyWithoutLength, EndlessCalls::Streams},
                    EndlessCase {EndlessBytes::BodyWithoutLength, EndlessCalls::UnplacedStreams},
                    EndlessCase {EndlessBytes::Chunks, EndlessCalls::Plain},
                    EndlessCase {EndlessBytes::Chunks, EndlessCalls::Streams},
                    EndlessCase {EndlessBytes::DataLine, EndlessCalls::Streams},
                    EndlessCase {EndlessBytes::DataLine, EndlessCalls::UnplacedStreams},
                    EndlessCase {EndlessBytes::SlowDataLine, EndlessCalls::UnplacedStreams,
                                 kSmallMebibytes, kManyCalls},
                    EndlessCase {EndlessBytes::Comments, EndlessCalls::Streams},
                    EndlessCase {EndlessBytes::InterimResponses, EndlessCalls::Plain},
                    EndlessCase {EndlessBytes::NoHttp, EndlessCalls::Plain},
                    EndlessCase {EndlessBytes::EncodedBody, EndlessCalls::Plain}),
    nameOf);

// The kinds of which calls keep a part: what they may keep follows the memory of the instance.
INSTANTIATE_TEST_SUITE_P(
    ServersOfUsualInstances, ManyEndlessResponses,
    testing::Values(
        EndlessCase {EndlessBytes::BodyWithoutLength, EndlessCalls::Plain, kUsualMebibytes},
        EndlessCase {EndlessBytes::BodyWithoutLength, EndlessCalls::UnplacedStreams,
                     kUsualMebibytes},
        EndlessCase {EndlessBytes::Chunks, EndlessCalls::Streams, kUsualMebibytes},
        EndlessCase {EndlessBytes::SlowDataLine, EndlessCalls::UnplacedStreams, kUsualMebibytes}),
    nameOf);

} // namespace
} // namespace foxtailtally
