#pragma once

#include "core/result.h"
#include "peers/platform/platform_client.h"
#include "standins/lib/engine_options.h"
#include "standins/lib/standin.h"

#include <absl/time/time.h>
#include <string>

namespace foxtailtally {

/** Options of an engine stand-in: its registration and faults, and the options of its model. */
struct EngineStandinOptions
{
    ListenOptions listen;
    /** Entry in the platform's instance list; address and limits are filled in on start. */
    InstanceEntry entry;
    EngineOptions engine;
    /** With an empty URL the engine does not register and finds no reservations on others. */
    PlatformAccess platform;
    /** Delay from a crash until the engine listens again; infinite for never. */
    absl::Duration restartAfter = absl::Seconds(2);
    /** A prompt that contains this text crashes the engine. */
    std::string poisonMarker = "<<poison>>";
};

/** Builds validated EngineStandinOptions. */
class EngineStandinOptionsBuilder
{
public:
    EngineStandinOptionsBuilder &setListen(ListenOptions listen);
    EngineStandinOptionsBuilder &setEntry(InstanceEntry entry);
    EngineStandinOptionsBuilder &setEngine(const EngineOptions &engine);
    EngineStandinOptionsBuilder &setPlatform(PlatformAccess platform);
    EngineStandinOptionsBuilder &setRestartAfter(absl::Duration time);
    EngineStandinOptionsBuilder &setPoisonMarker(std::string marker);

    /** SettingsInvalid if the id or model is empty or the restart delay is negative. */
    Result<EngineStandinOptions> build() const;

private:
    EngineStandinOptions options;
};

} // namespace foxtailtally
