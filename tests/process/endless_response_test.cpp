#include "tests/process/endless_server.h"
#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace foxtailtally {
namespace {

constexpr int kEndlessServers = 3;

/** One gateway with three engines that send @p bytes without end. */
class EndlessEngines
{
public:
    explicit EndlessEngines(EndlessBytes bytes)
        : deployment(1)
    {
        this->deployment.configure(1, {"key-1"});
        for (int index = 0; index < kEndlessServers; ++index) {
            const std::string address = this->deployment.spareHost(index) + ":9000";
            this->servers.push_back(std::make_unique<EndlessServer>(address, bytes));
            this->deployment.platform().addServer(index, "engine", "d0", address);
        }
        this->deployment.start(0);
    }

    bool waitUntilReady() { return this->deployment.waitUntilReady(0); }
    /** Calls at the same time; the answers to them. */
    std::vector<CallerAnswer> call(int count)
    {
        std::vector<CallerAnswer> answers(static_cast<std::size_t>(count));
        std::vector<std::thread> callers;
        callers.reserve(answers.size());
        for (int index = 0; index < count; ++index)
            callers.emplace_back([this, index, &answers] {
                CallerRequest request;
                request.address = this->deployment.callerAddress(0);
                request.path = "/stream/a";
                request.body = absl::StrCat("body-", index);
                request.headers = {absl::StrCat("Attempt-Id: call-", index), "Key: key-1",
                                   "Deadline-Ms: 3000", "Token-Usage: 1000,100"};
                answers[static_cast<std::size_t>(index)] = callGateway(request);
            });
        for (std::thread &caller : callers)
            caller.join();
        return answers;
    }

private:
    GatewayDeployment deployment;
    std::vector<std::unique_ptr<EndlessServer>> servers;
};

// Guards against callers whose answer begins with the comments of a faulty server and never ends.
TEST(EndlessResponse, CommentsBeginNoAnswer)
{
    constexpr int kCalls = 12;
    EndlessEngines engines(EndlessBytes::Comments);
    ASSERT_TRUE(engines.waitUntilReady());
    for (const CallerAnswer &answer : engines.call(kCalls)) {
        EXPECT_TRUE(answer.status == 502 || answer.status == 503 || answer.status == 504)
            << answer.status;
        EXPECT_TRUE(answer.isComplete);
        EXPECT_EQ(answer.body.find(": ping"), std::string::npos);
    }
}

} // namespace
} // namespace foxtailtally
