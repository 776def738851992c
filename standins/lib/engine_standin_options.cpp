#include "standins/lib/engine_standin_options.h"

#include <utility>

namespace foxtailtally {

EngineStandinOptionsBuilder &EngineStandinOptionsBuilder::setListen(ListenOptions listen)
{
    this->options.listen = std::move(listen);
    return *this;
}

EngineStandinOptionsBuilder &EngineStandinOptionsBuilder::setEntry(InstanceEntry entry)
{
    this->options.entry = std::move(entry);
    return *this;
}

EngineStandinOptionsBuilder &EngineStandinOptionsBuilder::setEngine(const EngineOptions &engine)
{
    this->options.engine = engine;
    return *this;
}

EngineStandinOptionsBuilder &EngineStandinOptionsBuilder::setPlatform(PlatformAccess platform)
{
    this->options.platform = std::move(platform);
    return *this;
}

EngineStandinOptionsBuilder &EngineStandinOptionsBuilder::setRestartAfter(absl::Duration time)
{
    this->options.restartAfter = time;
    return *this;
}

EngineStandinOptionsBuilder &EngineStandinOptionsBuilder::setPoisonMarker(std::string marker)
{
    this->options.poisonMarker = std::move(marker);
    return *this;
}

Result<EngineStandinOptions> EngineStandinOptionsBuilder::build() const
{
    const InstanceEntry &entry = this->options.entry;
    if (entry.id.empty() || entry.model.isEmpty()
        || this->options.restartAfter < absl::ZeroDuration()) {
        return Error::SettingsInvalid;
    }
    return this->options;
}

} // namespace foxtailtally
