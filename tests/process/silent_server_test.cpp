#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <thread>

namespace foxtailtally {
namespace {

constexpr int kEngines = 6;
constexpr double kReadTokensPerSecond = 30000.0;
/** Time that the engines take together for the prompt of callWithLongPrompt(). */
constexpr absl::Duration kReadTime = absl::Seconds(4);
/** The users' bound: memory must be free this long after the request that used it has ended. */
constexpr absl::Duration kMemoryReleaseLimit = absl::Seconds(4);
constexpr absl::Duration kWaitLimit = absl::Seconds(10);

/** One gateway before engines that read a long prompt for several seconds. */
class SilentServer : public testing::Test
{
protected:
    SilentServer()
        : deployment(1)
    {
        ServingStandin &platform = this->deployment.platform();
        this->deployment.configure(1, {"key-1"}, kReadTokensPerSecond);
        for (int index = 0; index < kEngines; ++index)
            platform.addServer(index, "engine", "d0", platform.serverAddress(index));
        platform.setPrefillTime(kReadTime);
        this->deployment.start(0);
    }

    /** A call whose prompt no single engine holds. */
    CallerAnswer callWithLongPrompt()
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = "/long/a";
        request.body = "b";
        request.headers = {"Attempt-Id: long", "Key: key-1", "Deadline-Ms: 14000",
                           "Token-Usage: 700000,100"};
        request.limit = absl::Seconds(20);
        return callGateway(request);
    }
    /** Server of the first arrival; -1 when none comes. */
    int waitForFirstArrival()
    {
        const absl::Time end = absl::Now() + kWaitLimit;
        while (absl::Now() < end) {
            const std::vector<ServerArrival> seen = this->deployment.platform().arrivals();
            for (int index = 0; index < kEngines && !seen.empty(); ++index) {
                if (seen.front().server == ServingStandin::serverName(index))
                    return index;
            }
            absl::SleepFor(absl::Milliseconds(10));
        }
        return -1;
    }
    /** When the last memory of the first placement is free again. */
    absl::Time memoryFreedAt()
    {
        const std::vector<ReservationRequest> orders =
            this->deployment.platform().reservationRequests();
        std::map<std::string, absl::Time> heldUntil;
        for (const ReservationRequest &order : orders) {
            if (order.reservation == orders.front().reservation)
                heldUntil[order.server] = order.isRelease ? order.at : order.at + order.hold;
        }
        absl::Time last = absl::InfinitePast();
        for (const auto &[server, until] : heldUntil)
            last = std::max(last, until);
        return last;
    }

    GatewayDeployment deployment;
};

// Found by a hunt: an engine fell silent before its first event; the caller waited ten seconds for
// nothing, and memory at the engines that helped it stayed set aside all that time.
TEST_F(SilentServer, ReleasesMemoryAndResumesTheCall)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    CallerAnswer answer;
    std::thread caller([&] { answer = this->callWithLongPrompt(); });
    const int first = this->waitForFirstArrival();
    if (first >= 0)
        this->deployment.platform().goSilent(first);
    const absl::Time darkAt = absl::Now();
    caller.join();
    ASSERT_GE(first, 0);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, ServingStandin::streamBody("long"));
    // Read twice, and the time after which the silence is noticed.
    EXPECT_LT(answer.took, 2 * kReadTime + kMemoryReleaseLimit);
    ASSERT_FALSE(this->deployment.platform().reservationRequests().empty());
    EXPECT_LE(this->memoryFreedAt() - darkAt, kMemoryReleaseLimit);
}

// An engine that reads a long prompt is silent as well, and must not be taken for lost.
TEST_F(SilentServer, KeepsAnEngineThatPrefills)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    const CallerAnswer answer = this->callWithLongPrompt();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, ServingStandin::streamBody("long"));
    EXPECT_EQ(this->deployment.platform().arrivals().size(), 1U);
}

} // namespace
} // namespace foxtailtally
