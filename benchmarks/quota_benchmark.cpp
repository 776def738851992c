#include "servers/quota/customer_quota.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

namespace {

constexpr std::size_t kCustomers = 740;
constexpr std::size_t kMembers = 95;
constexpr std::size_t kDomains = 4;

struct QuotaFixture
{
    absl::Time now = absl::FromUnixSeconds(1000000);
    std::vector<CustomerId> customers;
    std::unique_ptr<CustomerQuota> quota;
    std::vector<RosterMember> members;

    QuotaFixture()
    {
        Roster roster;
        roster.current.version = 1;
        for (std::size_t i = 0; i < kMembers; ++i)
            roster.current.members.push_back({InstanceId("entry-" + std::to_string(1000 + i)), 1});
        this->members = roster.current.members;
        for (std::size_t i = 0; i < kCustomers; ++i)
            this->customers.emplace_back("customer-" + std::to_string(1000 + i));
        this->quota = std::make_unique<CustomerQuota>(this->members[0], kDomains, 1);
        for (const CustomerId &customer : this->customers)
            this->quota->setLimit(customer, {1e6, 1e7}, this->now);
        this->quota->setRoster(roster, this->now);
        this->quota->updateShare([](const auto &, std::uint64_t) { return true; }, this->now);
    }
};

/** Memory of all buckets, each with tokens borrowed from and lent to 16 peers. */
void quotaMemory(benchmark::State &state)
{
    double used = 0;
    for (auto step : state) {
        const std::size_t before = mallinfo2().uordblks;
        QuotaFixture fixture;
        fixture.now += absl::Seconds(100);
        for (std::size_t peer = 1; peer <= kMaxQuotaPeers; ++peer) {
            QuotaRequest request;
            request.sender = fixture.members[peer];
            request.sentAt = absl::ToUnixNanos(fixture.now);
            QuotaGrant grant {fixture.members[peer], fixture.members[0], 1, request.sentAt, {}};
            for (const CustomerId &customer : fixture.customers) {
                request.wanted.push_back({customer, 1});
                grant.granted.push_back({customer, 1});
            }
            benchmark::DoNotOptimize(fixture.quota->onRequest(request, fixture.now));
            benchmark::DoNotOptimize(fixture.quota->onGrant(grant, fixture.now));
        }
        used = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes"] = used;
    state.counters["bytes_per_customer"] = used / static_cast<double>(kCustomers);
}

void quotaTryTake(benchmark::State &state)
{
    QuotaFixture fixture;
    std::size_t next = 0;
    for (auto step : state) {
        fixture.now += absl::Milliseconds(1);
        benchmark::DoNotOptimize(
            fixture.quota->tryTake(fixture.customers[next++ % kCustomers], 100, fixture.now));
    }
}

/** One 100 ms tick: updates the share and refills all buckets. */
void quotaTick(benchmark::State &state)
{
    QuotaFixture fixture;
    for (auto step : state) {
        fixture.now += absl::Milliseconds(100);
        fixture.quota->updateShare([](const auto &, std::uint64_t) { return true; }, fixture.now);
        benchmark::DoNotOptimize(fixture.quota->onTick(fixture.now));
    }
}

BENCHMARK(quotaMemory)->Iterations(3)->Unit(benchmark::kMillisecond);
BENCHMARK(quotaTryTake);
BENCHMARK(quotaTick)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace foxtailtally
