#include "core/random.h"
#include "core/socket_address.h"
#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {
namespace {

constexpr int kGateways = 4;
/** Time for which changes of the store are followed at the latest. */
constexpr absl::Duration kChangeLimit = absl::Seconds(5);

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** Specs of another writer. */
std::vector<std::string> oddSpecs()
{
    const std::string server = R"(,"Zone":"d0","Version":"v","Slots":8,"State":"ready"})";
    return {
        nested(100000),
        R"({"Slots":1e999})",
        R"({"Service":"desk","Address":"127.0.0.1:99999")" + server,
        R"({"Service":"desk","Address":":")" + server,
        R"({"Service":"desk","Address":"127.0.0.1:80","Zone":"d0","Slots":9223372036854775807,)"
        R"("State":"ready","born":18446744073709551615})",
        "\"\xff\xfe\"",
        "NaN",
        "[]",
        R"({"domain":"d0","address":":","relay":"127.0.0.1:99999","capacity":1e308})",
        R"({"fingerprint":7,"ended_at_ms":-1e300})",
    };
}

/** Gateways in three domains, one of which follows another one in its domain. */
class OddEntries : public testing::Test
{
protected:
    OddEntries()
        : deployment(kGateways)
    {
        this->deployment.configure(1, {"key-1"});
        ServingStandin &platform = this->deployment.platform();
        for (int index = 0; index < 2; ++index)
            platform.addServer(index, "desk", "d0", platform.serverAddress(index));
    }

    void startAll()
    {
        for (int gateway = 0; gateway < kGateways; ++gateway)
            this->deployment.start(gateway);
        for (int gateway = 0; gateway < kGateways; ++gateway)
            ASSERT_TRUE(this->deployment.waitUntilReady(gateway)) << gateway;
    }
    /** Writes or removes one odd entry of each sort among the objects of each kind. */
    void putOddEntries(int round)
    {
        for (const std::string kind :
             {"servers", "evacuations", "foxtailtally-instances", "foxtailtally-deaths"}) {
            int number = 0;
            for (const std::string &spec : oddSpecs())
                this->deployment.platform().putObject(
                    kind, absl::StrCat("odd ", number++, "&\"\r\n", round % 3), spec);
        }
        this->deployment.platform().putObject("config", "other", nested(100000));
    }
    void removeOddEntries(int round)
    {
        ServingStandin &platform = this->deployment.platform();
        for (const std::string kind : {"servers", "foxtailtally-instances"}) {
            for (const std::string &name : platform.objectNames(kind)) {
                if (name.ends_with(absl::StrCat("\n", round % 3)))
                    platform.removeObject(kind, name);
            }
        }
    }
    CallerAnswer call(int gateway, const std::string &key)
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(gateway);
        request.path = "/act/a";
        request.body = "b";
        request.headers = {absl::StrCat("Attempt-Id: call-", ++this->calls), "Key: " + key,
                           "Deadline-Ms: 3000"};
        return callGateway(request);
    }
    /** True when @p condition holds at every gateway within kChangeLimit. */
    template <typename Condition>
    bool allSoon(Condition condition)
    {
        const absl::Time end = absl::Now() + kChangeLimit;
        for (int gateway = 0; gateway < kGateways; ++gateway) {
            while (!condition(gateway)) {
                if (absl::Now() > end)
                    return false;
                absl::SleepFor(absl::Milliseconds(50));
            }
        }
        return true;
    }
    bool hasCounted(int gateway, const std::string &counter)
    {
        const std::string metrics = this->deployment.metrics(gateway);
        const std::size_t at = metrics.find("\n" + counter + " ");
        double value = 0;
        return at != std::string::npos
            && absl::SimpleAtod(
                   metrics.substr(at + counter.size() + 2,
                                  metrics.find('\n', at + 1) - at - counter.size() - 2),
                   &value)
            && value > 0;
    }

    /** Lines in the log of @p gateway that contain @p text. */
    std::size_t logged(int gateway, const std::string &text) const
    {
        std::ifstream log(this->deployment.logFile(gateway));
        std::string line;
        std::size_t lines = 0;
        while (std::getline(log, line))
            lines += line.find(text) != std::string::npos ? 1 : 0;
        return lines;
    }

    GatewayDeployment deployment;
    int calls = 0;
};

// One odd entry ended all gateways that read the list, or the list stood still.
TEST_F(OddEntries, DoNotStopGatewaysThatStartBesideThem)
{
    this->putOddEntries(0);
    this->startAll();
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        EXPECT_EQ(this->call(gateway, "key-1").status, 200) << gateway;
        EXPECT_TRUE(this->hasCounted(gateway, "foxtailtally_foreign_entries_total")) << gateway;
    }
}

// The same for entries that come and go while gateways serve; later changes must be followed.
TEST_F(OddEntries, DoNotKeepGatewaysFromFollowingChanges)
{
    this->startAll();
    ServingStandin &platform = this->deployment.platform();
    for (int round = 1; round <= 6; ++round) {
        this->putOddEntries(round);
        const std::string key = absl::StrCat("key-", round + 1);
        this->deployment.configure(round + 1, {key});
        EXPECT_TRUE(this->allSoon([&](int gateway) {
            return this->call(gateway, key).status == 200;
        })) << round;
        this->removeOddEntries(round - 1);
    }
    // A server that another writer replaces gets no calls; the other one gets all.
    platform.putObject("servers", ServingStandin::serverName(0), nested(100000));
    absl::SleepFor(absl::Seconds(2));
    const std::size_t before = platform.arrivals().size();
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        for (int i = 0; i < 5; ++i)
            EXPECT_EQ(this->call(gateway, "key-7").status, 200) << gateway;
    }
    const std::vector<ServerArrival> arrivals = platform.arrivals();
    for (std::size_t i = before; i < arrivals.size(); ++i)
        EXPECT_EQ(arrivals[i].server, ServingStandin::serverName(1));
    for (int gateway = 0; gateway < kGateways; ++gateway)
        EXPECT_FALSE(this->deployment.process(gateway).waitForEnd(absl::ZeroDuration())) << gateway;
}

TEST_F(OddEntries, MalformedDatagramsAreCounted)
{
    this->deployment.start(0);
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    std::string host = this->deployment.callerAddress(0);
    host.resize(host.find(':'));
    sockaddr_in gateway {};
    ASSERT_TRUE(parseAddress(host + ":7340", gateway));
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    Random random(1);
    for (int i = 0; i < 1000; ++i) {
        std::string bytes(random.below(1400), '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(random.next());
        // Formats of the two sorts of datagrams.
        if (!bytes.empty() && i % 3 > 0)
            bytes.front() = i % 3 == 1 ? 5 : 16;
        ::sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr *>(&gateway),
                 sizeof gateway);
    }
    ::close(socket);
    EXPECT_EQ(this->call(0, "key-1").status, 200);
    const absl::Time end = absl::Now() + kChangeLimit;
    while (!this->hasCounted(0, "foxtailtally_malformed_datagrams_total") && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(50));
    EXPECT_TRUE(this->hasCounted(0, "foxtailtally_malformed_datagrams_total"));
}

// The instance that reads the store relayed all content of other writers in one page, which was too
// long for an instance that follows it.
TEST_F(OddEntries, DoNotFillThePageOfFollowers)
{
    const std::string content = R"({"note":")" + std::string(15000, 'x') + "\"}";
    for (int number = 0; number < 500; ++number)
        this->deployment.platform().putObject("servers", absl::StrCat("note-", number), content);
    const int follower = kGateways - 1;
    for (int gateway = 0; gateway < follower; ++gateway)
        this->deployment.start(gateway);
    for (int gateway = 0; gateway < follower; ++gateway)
        ASSERT_TRUE(this->deployment.waitUntilReady(gateway)) << gateway;
    absl::SleepFor(absl::Seconds(2));
    this->deployment.start(follower);
    ASSERT_TRUE(this->deployment.waitUntilReady(follower));
    EXPECT_EQ(this->call(follower, "key-1").status, 200);
    EXPECT_TRUE(this->hasCounted(follower, "foxtailtally_foreign_entries_total"));
    EXPECT_EQ(this->logged(follower, "\"store_lost\""), 0U);
}

} // namespace
} // namespace foxtailtally
