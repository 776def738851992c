#include "servers/claims/claim_settings.h"

namespace foxtailtally {

ClaimSettingsBuilder &ClaimSettingsBuilder::setShard(std::uint32_t shard)
{
    this->settings.shard = shard;
    return *this;
}

ClaimSettingsBuilder &ClaimSettingsBuilder::setSelf(InstanceId self, Incarnation incarnation)
{
    this->settings.self = std::move(self);
    this->settings.incarnation = incarnation;
    return *this;
}

ClaimSettingsBuilder &ClaimSettingsBuilder::setWindow(absl::Duration window)
{
    this->settings.window = window;
    return *this;
}

ClaimSettingsBuilder &ClaimSettingsBuilder::setMaxWaiting(std::size_t maxWaiting)
{
    this->settings.maxWaiting = maxWaiting;
    return *this;
}

ClaimSettingsBuilder &ClaimSettingsBuilder::setPollInterval(absl::Duration pollInterval)
{
    this->settings.pollInterval = pollInterval;
    return *this;
}

ClaimSettingsBuilder &ClaimSettingsBuilder::setDeadlineMargin(absl::Duration margin)
{
    this->settings.deadlineMargin = margin;
    return *this;
}

ClaimSettingsBuilder &ClaimSettingsBuilder::setBackoff(absl::Duration initial, absl::Duration max)
{
    this->settings.initialBackoff = initial;
    this->settings.maxBackoff = max;
    return *this;
}

Result<ClaimSettings> ClaimSettingsBuilder::build() const
{
    const ClaimSettings &built = this->settings;
    const absl::Duration zero = absl::ZeroDuration();
    const bool isValid = !built.self.isEmpty() && built.window >= zero && built.maxWaiting > 0
        && built.pollInterval > zero && built.deadlineMargin >= zero && built.initialBackoff > zero
        && built.maxBackoff >= built.initialBackoff;
    if (!isValid)
        return Error::SettingsInvalid;
    return built;
}

} // namespace foxtailtally
