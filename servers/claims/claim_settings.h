#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/** Settings of one claim shard at one instance. */
struct ClaimSettings
{
    std::uint32_t shard = 0;
    InstanceId self;
    Incarnation incarnation = 0;
    /** Time for which claims are collected into one write. */
    absl::Duration window = absl::Milliseconds(20);
    /** Claims that may wait at once, in number. */
    std::size_t maxWaiting = 4096;
    /** Time between reads while a repeated key waits for another instance's attempt. */
    absl::Duration pollInterval = absl::Milliseconds(500);
    /**
     * Time after an attempt's deadline before it is taken as ended. Covers differences between the
     * instances' clocks; service calls are cut off at the deadline.
     */
    absl::Duration deadlineMargin = absl::Seconds(5);
    absl::Duration initialBackoff = absl::Milliseconds(250);
    absl::Duration maxBackoff = absl::Seconds(5);
};

/** Builds settings and checks their bounds. */
class ClaimSettingsBuilder
{
public:
    ClaimSettingsBuilder &setShard(std::uint32_t shard);
    ClaimSettingsBuilder &setSelf(InstanceId self, Incarnation incarnation);
    ClaimSettingsBuilder &setWindow(absl::Duration window);
    ClaimSettingsBuilder &setMaxWaiting(std::size_t maxWaiting);
    ClaimSettingsBuilder &setPollInterval(absl::Duration pollInterval);
    ClaimSettingsBuilder &setDeadlineMargin(absl::Duration margin);
    ClaimSettingsBuilder &setBackoff(absl::Duration first, absl::Duration longest);

    /** Error: SettingsInvalid. */
    Result<ClaimSettings> build() const;

private:
    ClaimSettings settings;
};

} // namespace foxtailtally
