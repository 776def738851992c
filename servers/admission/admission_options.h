#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <absl/time/time.h>
#include <cstddef>

namespace foxtailtally {

/** Configuration of the admission of one group; see AdmissionOptionsBuilder. */
struct AdmissionOptions
{
    GroupId group;
    FailureDomainId domain;
    ModelId model;
    InstanceId owner;
    Incarnation ownerIncarnation = 0;
    /** Nothing is granted before this time, nor without a load report taken after it. */
    absl::Time readyAt = absl::InfinitePast();
    /** Maximum number of waiting reservations of each class. */
    std::size_t maxWaitingPerClass = 1024;
    /** Prefill rate of one server in tokens a second, until measurements replace it. */
    double initialPrefillRate = 20000;
    /** Time between two tokens of a request alone on a server until measurements replace it. */
    absl::Duration initialTokenTime = absl::Milliseconds(20);
};

class AdmissionOptionsBuilder
{
public:
    AdmissionOptionsBuilder &setGroup(GroupId group, FailureDomainId domain, ModelId model);
    AdmissionOptionsBuilder &setOwner(InstanceId owner, Incarnation incarnation);
    AdmissionOptionsBuilder &setReadyAt(absl::Time readyAt);
    AdmissionOptionsBuilder &setMaxWaitingPerClass(std::size_t count);
    AdmissionOptionsBuilder &setInitialRates(double prefillRate, absl::Duration tokenTime);

    /** Error::SettingsInvalid when the group is unnamed or a bound or rate is not positive. */
    Result<AdmissionOptions> build() const;

private:
    AdmissionOptions options;
};

} // namespace foxtailtally
