#pragma once

#include "core/result.h"
#include "peers/platform/platform_client.h"
#include "standins/lib/engine_options.h"
#include "standins/lib/standin.h"

#include <absl/time/time.h>
#include <string>

namespace foxtailtally {

/** What an engine stand-in is, apart from the behaviour of its model. */
struct EngineStandinOptions
{
    ListenOptions listen;
    /** Entry in the platform's list; address and limits are filled in at the start. */
    InstanceEntry entry;
    EngineOptions engine;
    /** Empty URL: the engine does not register and finds no reservations elsewhere. */
    PlatformAccess platform;
    /** Time after a death until the engine listens again; infinite for never. */
    absl::Duration restartAfter = absl::Seconds(2);
    /** A prompt that contains this text kills the engine. */
    std::string poisonMarker = "<<poison>>";
};

/** Checks and builds EngineStandinOptions. */
class EngineStandinOptionsBuilder
{
public:
    EngineStandinOptionsBuilder &setListen(ListenOptions listen);
    EngineStandinOptionsBuilder &setEntry(InstanceEntry entry);
    EngineStandinOptionsBuilder &setEngine(const EngineOptions &engine);
    EngineStandinOptionsBuilder &setPlatform(PlatformAccess platform);
    EngineStandinOptionsBuilder &setRestartAfter(absl::Duration time);
    EngineStandinOptionsBuilder &setPoisonMarker(std::string marker);

    /** SettingsInvalid without an id or a model. */
    Result<EngineStandinOptions> build() const;

private:
    EngineStandinOptions options;
};

} // namespace foxtailtally
