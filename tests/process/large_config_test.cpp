#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <cstdint>
#include <gtest/gtest.h>
#include <string>

namespace foxtailtally {
namespace {

/** Routes that bring the configuration near the size limit of the store's objects, a megabyte: each
 * has its prefix in its name too. A few long ones are parsed quickly. */
constexpr int kRoutes = 10;
constexpr std::size_t kPrefixPadding = 52000;
/** Memory of the smallest instances, less a tenth for what a test cannot foresee. */
constexpr std::int64_t kMemoryBound = (std::int64_t {160} << 20) * 9 / 10;
constexpr absl::Duration kAdoptionLimit = absl::Seconds(5);

class LargeConfig : public testing::Test
{
protected:
    LargeConfig()
        : deployment(1)
    {
        for (int route = 0; route < kRoutes; ++route)
            this->deployment.addRoute(
                absl::StrCat("/r", route, "-", std::string(kPrefixPadding, 'x'), "/"));
    }

    bool waitForVersion(int version)
    {
        const absl::Time end = absl::Now() + kAdoptionLimit;
        const std::string line = absl::StrCat("foxtailtally_config_version ", version, "\n");
        while (this->deployment.metrics(0).find(line) == std::string::npos) {
            if (absl::Now() > end)
                return false;
            absl::SleepFor(absl::Milliseconds(10));
        }
        return true;
    }

    GatewayDeployment deployment;
};

// Each change added a megabyte to the memory of every instance, until the platform killed them all
// at once.
TEST_F(LargeConfig, ChangesDoNotAddToTheMemoryOfAnInstance)
{
    constexpr int kChanges = 130;
    constexpr int kChangesAhead = 3;
    this->deployment.configure(1, {"key-1"});
    this->deployment.start(0);
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    for (int version = 2; version <= kChanges; ++version) {
        this->deployment.configure(version, {"key-1"});
        if (version % kChangesAhead == 0) {
            ASSERT_TRUE(this->waitForVersion(version)) << version;
        }
    }
    const std::int64_t peak = this->deployment.process(0).peakMemoryBytes();
    EXPECT_GT(peak, 0);
    EXPECT_LT(peak, kMemoryBound);
    RecordProperty("peak_memory_bytes", absl::StrCat(peak));
}

} // namespace
} // namespace foxtailtally
