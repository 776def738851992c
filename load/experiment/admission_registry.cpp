#include "load/experiment/admission_registry.h"

#include "servers/admission/admission_options.h"
#include "servers/admission/fifo_admission.h"
#include "servers/admission/group_admission.h"

#include <array>

namespace foxtailtally {

std::span<const std::string_view> admissionNames()
{
    static constexpr std::array<std::string_view, 2> kNames = {kGroupAdmission, kFifoAdmission};
    return kNames;
}

std::unique_ptr<AdmissionPolicy> makeAdmission(std::string_view name,
                                               std::span<const BackendServer> servers,
                                               Incarnation incarnation, absl::Time readyAt,
                                               absl::Time now)
{
    const BackendServer &first = servers.front();
    const auto options = AdmissionOptionsBuilder()
                             .setGroup(first.group, first.domain, first.model)
                             .setOwner(InstanceId("owner-" + first.group.str()), incarnation)
                             .setReadyAt(readyAt)
                             .build();
    std::unique_ptr<AdmissionPolicy> policy;
    if (options && name == kGroupAdmission)
        policy = std::make_unique<GroupAdmission>(*options);
    else if (options && name == kFifoAdmission)
        policy = std::make_unique<FifoAdmission>(*options);
    if (policy == nullptr)
        return nullptr;
    policy->setServers(servers, now);
    std::vector<UsableUnits> limits;
    for (const BackendServer &server : servers)
        limits.push_back({server.id, server.coldLimit, server.memoryTokens});
    policy->setLimits(limits, now);
    return policy;
}

} // namespace foxtailtally
