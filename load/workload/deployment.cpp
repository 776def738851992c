#include "load/workload/deployment.h"

#include <array>
#include <numeric>

namespace foxtailtally {

namespace {

constexpr std::array<std::string_view, 2> kNames = {"himrekha", "fotocheck"};

// In both mixes one model request in fifty has more than 100,000 prompt tokens. The weights of the
// model requests are percentages; those of the actions are added to these 100 percent.

Deployment makeHimrekha()
{
    Deployment deployment;
    deployment.name = kNames[0];
    deployment.model = "plough";
    deployment.interDomainLatency = absl::Microseconds(500);
    deployment.clientLatency = absl::Milliseconds(1);
    deployment.groupServers = {5, 5, 5};
    deployment.slowReaderRatio = 0.005;
    deployment.repeatedSendRatio = 0.02;
    deployment.kinds = {
        {"lookup", RequestClass::Urgent, 72, 1000, 4000, 1.5, 16, 64, absl::Seconds(10), 768, "",
         ""},
        {"assignment", RequestClass::Urgent, 10, 1000, 1000, 1, 1, 1, absl::Seconds(10), 0, "crews",
         "assign"},
        {"shift_summary", RequestClass::Normal, 14, 2000, 30000, 1.2, 64, 256, absl::Seconds(60),
         1024, "", ""},
        {"route_brief", RequestClass::Normal, 12, 4000, 90000, 1.2, 128, 384, absl::Seconds(90),
         2048, "", ""},
        {"season_audit", RequestClass::Batch, 2, 100001, 1000000, 1.5, 128, 512, absl::Seconds(300),
         4096, "", ""},
    };
    return deployment;
}

Deployment makeFotocheck()
{
    Deployment deployment;
    deployment.name = kNames[1];
    deployment.model = "permit";
    deployment.interDomainLatency = absl::Microseconds(1500);
    deployment.clientLatency = absl::Milliseconds(1);
    deployment.groupServers = {4, 4, 4, 4, 4, 5};
    deployment.slowReaderRatio = 0.03;
    deployment.repeatedSendRatio = 0.02;
    deployment.kinds = {
        {"quick_look", RequestClass::Urgent, 60, 1000, 3000, 1.5, 16, 48, absl::Seconds(10), 512,
         "", ""},
        {"approval", RequestClass::Urgent, 8, 1000, 1000, 1, 1, 1, absl::Seconds(10), 0, "permits",
         "approve"},
        {"dossier", RequestClass::Normal, 38, 4000, 100000, 1.1, 96, 384, absl::Seconds(90), 2048,
         "", ""},
        {"district_audit", RequestClass::Batch, 2, 100001, 1000000, 1.5, 128, 512,
         absl::Seconds(300), 4096, "", ""},
    };
    return deployment;
}

} // namespace

int Deployment::servers() const
{
    return std::accumulate(this->groupServers.begin(), this->groupServers.end(), 0);
}

const Deployment *findDeployment(std::string_view name)
{
    static const std::array<Deployment, 2> deployments = {makeHimrekha(), makeFotocheck()};
    for (const Deployment &deployment : deployments) {
        if (deployment.name == name)
            return &deployment;
    }
    return nullptr;
}

std::span<const std::string_view> deploymentNames()
{
    return kNames;
}

} // namespace foxtailtally
