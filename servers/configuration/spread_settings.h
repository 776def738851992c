#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <absl/time/time.h>
#include <vector>

namespace foxtailtally {

/** Settings for how one instance obtains documents and confirms them. */
struct SpreadSettings
{
    InstanceId self;
    FailureDomainId domain;
    /** The other instances of the domain in the settings' seed list. */
    std::vector<InstanceId> seedPeers;
    /** Maximum number of concurrent pulls; bounds the memory for bodies of up to 1 MB. */
    int maxPulls = 2;
    /** Time after which a pull without an answer counts as failed. */
    absl::Duration pullTimeout = absl::Seconds(1);
    /** Delay after the first failure; doubles up to @ref maxBackoff. */
    absl::Duration firstBackoff = absl::Milliseconds(200);
    absl::Duration maxBackoff = absl::Seconds(5);
    /**
     * Maximum time for which the platform may keep a watch open. Each open watch counts as one
     * call.
     */
    absl::Duration watchTime = absl::Seconds(30);
};

/** Builds settings and checks their bounds. */
class SpreadSettingsBuilder
{
public:
    SpreadSettingsBuilder &setSelf(InstanceId self);
    SpreadSettingsBuilder &setDomain(FailureDomainId domain);
    /** The own id in @p seeds is left out. */
    SpreadSettingsBuilder &setSeedPeers(std::vector<InstanceId> seeds);
    SpreadSettingsBuilder &setMaxPulls(int maxPulls);
    SpreadSettingsBuilder &setPullTimeout(absl::Duration timeout);
    SpreadSettingsBuilder &setBackoff(absl::Duration first, absl::Duration max);
    SpreadSettingsBuilder &setWatchTime(absl::Duration time);

    /** Error: SettingsInvalid. */
    Result<SpreadSettings> build() const;

private:
    SpreadSettings settings;
};

} // namespace foxtailtally
