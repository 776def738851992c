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
    /** Time for which claims are batched into one write. */
    absl::Duration window = absl::Milliseconds(20);
    /** Limit on the number of waiting claims. */
    std::size_t maxWaiting = 4096;
    /** Interval between reads while a repeated key waits for another instance's attempt. */
    absl::Duration pollInterval = absl::Milliseconds(500);
    /**
     * Time after an attempt's deadline before the attempt counts as ended. Covers differences
     * between the instances' clocks; service calls are aborted at the deadline.
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
    ClaimSettingsBuilder &setBackoff(absl::Duration initial, absl::Duration max);

    /** Error: SettingsInvalid. */
    Result<ClaimSettings> build() const;

private:
    ClaimSettings settings;
};

} // namespace foxtailtally
