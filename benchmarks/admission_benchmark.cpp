#include "core/hash.h"
#include "core/random.h"
#include "servers/admission/fifo_admission.h"
#include "servers/admission/group_admission.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>
#include <deque>

namespace foxtailtally {

namespace {

constexpr int kServerCount = 8;
constexpr std::int64_t kMemoryTokens = 500000;

template <typename Policy>
class BusyGroup
{
public:
    BusyGroup()
        : policy(AdmissionOptionsBuilder()
                     .setGroup(GroupId("g"), FailureDomainId("d"), ModelId("m"))
                     .setOwner(InstanceId("owner"), 1)
                     // A high prefill rate, so that each release lets a waiting request start.
                     .setInitialRates(1e9, absl::Milliseconds(1))
                     .build()
                     .value())
    {
        std::vector<BackendServer> servers;
        std::vector<UsableUnits> limits;
        for (int i = 0; i < kServerCount; ++i) {
            BackendServer server;
            server.id = BackendServerId(absl::StrCat("s", i));
            server.model = ModelId("m");
            server.memoryTokens = kMemoryTokens;
            server.coldLimit = server.warmLimit = 32;
            servers.push_back(server);
            limits.push_back({server.id, 32, kMemoryTokens});
        }
        this->policy.setServers(servers, this->now);
        this->policy.setLimits(limits, this->now);
        for (const BackendServer &server : servers) {
            LoadReport report;
            report.server = server.id;
            report.incarnation = report.sequence = 1;
            this->policy.onLoadReport(report, this->now);
        }
    }

    void reserve()
    {
        ReserveRequest request;
        request.profile.id = RequestId(absl::StrCat("request-", ++this->sent));
        request.profile.model = ModelId("m");
        request.profile.requestClass = static_cast<RequestClass>(this->random.below(3));
        request.profile.promptTokens = 500 + static_cast<std::int64_t>(this->random.below(20000));
        request.profile.maxNewTokens = 200;
        request.profile.deadline = this->now + absl::Minutes(5);
        request.profile.fingerprint = fingerprintOf(request.profile.id.str());
        request.from = InstanceId("entry");
        this->collectPermits(this->policy.reserve(request, this->now));
    }

    /** Releases the oldest permit. */
    void release()
    {
        this->now += absl::Microseconds(100);
        if (this->permits.empty())
            return;
        const PermitRelease release {this->permits.front(), PermitOutcome::Finished,
                                     absl::Microseconds(10), 200};
        this->permits.pop_front();
        this->collectPermits(this->policy.release(release, this->now));
    }

    std::int32_t waiting() { return this->policy.summary(this->now).queued; }

private:
    void collectPermits(const AdmissionActions &actions)
    {
        for (const AdmissionAction &action : actions) {
            if (const auto *granted = std::get_if<GrantAction>(&action))
                this->permits.push_back(granted->grant.permit);
        }
    }

    Random random {1};
    absl::Time now = absl::FromUnixSeconds(1000);
    Policy policy;
    std::deque<PermitId> permits;
    std::uint64_t sent = 0;
};

/** One reservation and one release while range(0) requests are waiting. */
template <typename Policy>
void reserveAndRelease(benchmark::State &state)
{
    BusyGroup<Policy> group;
    for (int i = 0; i < 20000 && group.waiting() < state.range(0); ++i)
        group.reserve();
    for (auto step : state) {
        group.reserve();
        group.release();
    }
    state.counters["waiting"] = group.waiting();
}

BENCHMARK(reserveAndRelease<GroupAdmission>)->Arg(0)->Arg(100)->Arg(1000);
BENCHMARK(reserveAndRelease<FifoAdmission>)->Arg(0)->Arg(100)->Arg(1000);

} // namespace

} // namespace foxtailtally
