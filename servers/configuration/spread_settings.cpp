#include "servers/configuration/spread_settings.h"

namespace foxtailtally {

SpreadSettingsBuilder &SpreadSettingsBuilder::setSelf(InstanceId self)
{
    this->settings.self = std::move(self);
    return *this;
}

SpreadSettingsBuilder &SpreadSettingsBuilder::setDomain(FailureDomainId domain)
{
    this->settings.domain = std::move(domain);
    return *this;
}

SpreadSettingsBuilder &SpreadSettingsBuilder::setSeedPeers(std::vector<InstanceId> seeds)
{
    this->settings.seedPeers = std::move(seeds);
    return *this;
}

SpreadSettingsBuilder &SpreadSettingsBuilder::setMaxPulls(int maxPulls)
{
    this->settings.maxPulls = maxPulls;
    return *this;
}

SpreadSettingsBuilder &SpreadSettingsBuilder::setPullTimeout(absl::Duration timeout)
{
    this->settings.pullTimeout = timeout;
    return *this;
}

SpreadSettingsBuilder &SpreadSettingsBuilder::setBackoff(absl::Duration first, absl::Duration max)
{
    this->settings.firstBackoff = first;
    this->settings.maxBackoff = max;
    return *this;
}

SpreadSettingsBuilder &SpreadSettingsBuilder::setWatchTime(absl::Duration time)
{
    this->settings.watchTime = time;
    return *this;
}

Result<SpreadSettings> SpreadSettingsBuilder::build() const
{
    SpreadSettings result = this->settings;
    std::erase(result.seedPeers, result.self);
    const bool isValid = !result.self.isEmpty() && !result.domain.isEmpty() && result.maxPulls >= 1
        && result.pullTimeout > absl::ZeroDuration() && result.firstBackoff > absl::ZeroDuration()
        && result.maxBackoff >= result.firstBackoff && result.watchTime > absl::ZeroDuration();
    if (!isValid)
        return Error::SettingsInvalid;
    return result;
}

} // namespace foxtailtally
