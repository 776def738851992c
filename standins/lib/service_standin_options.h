#pragma once

#include "core/result.h"
#include "peers/platform/platform_client.h"
#include "standins/lib/standin.h"

#include <absl/time/time.h>

namespace foxtailtally {

/** What a service stand-in is. */
struct ServiceStandinOptions
{
    ListenOptions listen;
    /** Entry in the platform's list; the address is filled in at the start. */
    InstanceEntry entry;
    /** Empty URL: the service does not register. */
    PlatformAccess platform;
    /** Time between the effect of a call and its answer. */
    absl::Duration workTime = absl::Milliseconds(5);
};

/** Checks and builds ServiceStandinOptions. */
class ServiceStandinOptionsBuilder
{
public:
    ServiceStandinOptionsBuilder &setListen(ListenOptions listen);
    ServiceStandinOptionsBuilder &setEntry(InstanceEntry entry);
    ServiceStandinOptionsBuilder &setPlatform(PlatformAccess platform);
    ServiceStandinOptionsBuilder &setWorkTime(absl::Duration time);

    /** SettingsInvalid without an id or a service name. */
    Result<ServiceStandinOptions> build() const;

private:
    ServiceStandinOptions options;
};

} // namespace foxtailtally
