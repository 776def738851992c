#pragma once

#include "core/result.h"
#include "peers/platform/platform_client.h"
#include "standins/lib/standin.h"

#include <absl/time/time.h>

namespace foxtailtally {

/** Options of a service stand-in. */
struct ServiceStandinOptions
{
    ListenOptions listen;
    /** Entry in the platform's instance list; the address is filled in on start. */
    InstanceEntry entry;
    /** With an empty URL the service does not register. */
    PlatformAccess platform;
    /** Delay between the effect of a call and its response. */
    absl::Duration workTime = absl::Milliseconds(5);
};

/** Builds validated ServiceStandinOptions. */
class ServiceStandinOptionsBuilder
{
public:
    ServiceStandinOptionsBuilder &setListen(ListenOptions listen);
    ServiceStandinOptionsBuilder &setEntry(InstanceEntry entry);
    ServiceStandinOptionsBuilder &setPlatform(PlatformAccess platform);
    ServiceStandinOptionsBuilder &setWorkTime(absl::Duration time);

    /** SettingsInvalid if the id or service name is empty or the work time is negative. */
    Result<ServiceStandinOptions> build() const;

private:
    ServiceStandinOptions options;
};

} // namespace foxtailtally
