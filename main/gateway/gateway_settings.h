#pragma once

#include "core/ids.h"
#include "core/log.h"
#include "core/settings.h"
#include "servers/fleet/instance_record.h"
#include "servers/placement/admission_order.h"
#include "servers/quarantine/quarantine.h"
#include "servers/retry/hedge_policy.h"
#include "servers/retry/retry_budget.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

/** Settings of the calls that only one instance makes at a time. */
struct ControlSettings
{
    /** "ip:port" of the control API. */
    std::string address;
    /** Calls that the API accepts from all instances together. */
    double callsPerSecond = 50.0;
    bool reportsUsage = true;
    bool ordersServers = true;
    /** Time for which a confirmed lease is valid. */
    absl::Duration leaseTerm = absl::Seconds(3);
    absl::Duration usageWindow = absl::Seconds(5);
    /** Time after the end of a window by which its report is due. */
    absl::Duration usageDue = absl::Seconds(10);
    /** Fraction of a server's time that is used at the forecast peak. */
    double targetUtilisation = 0.6;
};

/** Typed values of the gateway's settings. */
struct GatewaySettings
{
    InstanceId id;
    FailureDomainId domain;
    /** "ip:port" each. */
    std::string callerAddress;
    std::string readyAddress;
    std::string metricsAddress;
    std::string peerAddress;
    std::string relayAddress;
    std::string storeAddress;
    double processorCores = 1.0;
    double linkMegabits = 1.0;
    /** Memory above which the platform ends this instance. */
    std::int64_t memoryBytes = std::int64_t {160} << 20;
    /** The whole system starts for the first time: no other instance is in the store yet. */
    bool isFirstStart = false;
    absl::Duration revocationBound;
    absl::Duration stopLimit;
    absl::Duration drainBound = absl::Seconds(2);
    RetryBudgetOptions retries;
    HedgeOptions hedging;
    QuarantineOptions quarantine;
    /** Limit of a cold server in requests per second: coldFactor times its own rate, plus
     * coldSlack. */
    double coldFactor = 1.0;
    double coldSlack = 0.0;
    /** Absent in a deployment without a control API. */
    std::optional<ControlSettings> control;
    AdmissionOrder order = AdmissionOrder::Arrival;
    LogLevel logLevel = LogLevel::Info;
};

const std::vector<SettingSpec> &gatewaySettingsSchema();

/** Record under which other instances find this one. */
InstanceRecord instanceRecord(const GatewaySettings &settings);

/** The settings of a file that was checked against gatewaySettingsSchema(). */
GatewaySettings gatewaySettings(const Settings &settings);

} // namespace foxtailtally
