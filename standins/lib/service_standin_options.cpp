#include "standins/lib/service_standin_options.h"

#include <utility>

namespace foxtailtally {

ServiceStandinOptionsBuilder &ServiceStandinOptionsBuilder::setListen(ListenOptions listen)
{
    this->options.listen = std::move(listen);
    return *this;
}

ServiceStandinOptionsBuilder &ServiceStandinOptionsBuilder::setEntry(InstanceEntry entry)
{
    this->options.entry = std::move(entry);
    return *this;
}

ServiceStandinOptionsBuilder &ServiceStandinOptionsBuilder::setPlatform(PlatformAccess platform)
{
    this->options.platform = std::move(platform);
    return *this;
}

ServiceStandinOptionsBuilder &ServiceStandinOptionsBuilder::setWorkTime(absl::Duration time)
{
    this->options.workTime = time;
    return *this;
}

Result<ServiceStandinOptions> ServiceStandinOptionsBuilder::build() const
{
    const InstanceEntry &entry = this->options.entry;
    if (entry.id.empty() || entry.service.empty()
        || this->options.workTime < absl::ZeroDuration()) {
        return Error::SettingsInvalid;
    }
    return this->options;
}

} // namespace foxtailtally
