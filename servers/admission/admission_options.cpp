#include "servers/admission/admission_options.h"

#include <utility>

namespace foxtailtally {

AdmissionOptionsBuilder &AdmissionOptionsBuilder::setGroup(GroupId group, FailureDomainId domain,
                                                           ModelId model)
{
    this->options.group = std::move(group);
    this->options.domain = std::move(domain);
    this->options.model = std::move(model);
    return *this;
}

AdmissionOptionsBuilder &AdmissionOptionsBuilder::setOwner(InstanceId owner,
                                                           Incarnation incarnation)
{
    this->options.owner = std::move(owner);
    this->options.ownerIncarnation = incarnation;
    return *this;
}

AdmissionOptionsBuilder &AdmissionOptionsBuilder::setReadyAt(absl::Time readyAt)
{
    this->options.readyAt = readyAt;
    return *this;
}

AdmissionOptionsBuilder &AdmissionOptionsBuilder::setMaxWaitingPerClass(std::size_t count)
{
    this->options.maxWaitingPerClass = count;
    return *this;
}

AdmissionOptionsBuilder &AdmissionOptionsBuilder::setInitialRates(double prefillRate,
                                                                  absl::Duration tokenTime)
{
    this->options.initialPrefillRate = prefillRate;
    this->options.initialTokenTime = tokenTime;
    return *this;
}

Result<AdmissionOptions> AdmissionOptionsBuilder::build() const
{
    const AdmissionOptions &built = this->options;
    if (built.group.isEmpty() || built.maxWaitingPerClass == 0 || built.initialPrefillRate <= 0
        || built.initialTokenTime <= absl::ZeroDuration())
        return Error::SettingsInvalid;
    return built;
}

} // namespace foxtailtally
