#include "main/gateway/gateway_settings.h"

#include "core/text.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace foxtailtally {

namespace {

constexpr double kMaxPort = 65535;

/** A server that misses this many heartbeats is removed from the store. */
constexpr int kMissedHeartbeats = 3;
/** Servers whose entries expired without reason register again within two seconds. */
constexpr absl::Duration kReregistrationTime = absl::Seconds(2);

/** Port of the StoreRelay, counted from the first internal port. */
constexpr int kRelayPortOffset = 2;

std::vector<SettingSpec> makeSchema()
{
    using Kind = SettingKind;
    return {
        {"instance", "id", Kind::Text, "", 0, 0, true, "Unique name of this instance."},
        {"instance", "failure_domain", Kind::Text, "", 0, 0, true,
         "Failure domain this instance runs in."},
        {"instance", "address", Kind::Text, "", 0, 0, true, "IP address of this instance."},
        {"instance", "caller_address", Kind::Text, "", 0, 0, true, "IP:port for callers."},
        {"instance", "ready_address", Kind::Text, "", 0, 0, true,
         "IP:port of the readiness endpoint."},
        {"instance", "internal_ports", Kind::List, "", 0, 0, true,
         "First and last port for use between instances: the first one for datagrams, the next "
         "one for metrics."},
        {"instance", "processor_cores", Kind::Ratio, "1", 0, 1024, false,
         "Processor cores that this instance may use."},
        {"instance", "memory", Kind::Bytes, "160 MiB", 64.0 * 1024 * 1024,
         1024.0 * 1024 * 1024 * 1024, false, "Memory above which the platform ends this instance."},
        {"instance", "link", Kind::Ratio, "1", 0, 1000000, false,
         "Bandwidth of this instance's link in megabits per second."},
        {"instance", "first_start", Kind::Flag, "false", 0, 0, false,
         "The whole system starts for the first time; instances then wait for each other."},
        {"store", "address", Kind::Text, "", 0, 0, true, "IP:port of the platform's store."},
        {"keys", "revocation_bound", Kind::Duration, "5 s", 1, 60, false,
         "Time after which a revoked key must not be accepted."},
        {"retries", "ratio", Kind::Ratio, "0.2", 0, 10, false,
         "Retries allowed for each request to a service, over all instances."},
        {"retries", "slack", Kind::Count, "100", 0, 100000, false,
         "Retries allowed in a window beyond the ratio, over all instances."},
        {"retries", "window", Kind::Duration, "10 s", 1, 600, false,
         "Time window of the two settings above."},
        {"hedging", "extra_share", Kind::Ratio, "0", 0, 1, false,
         "Share of a service's requests that may be sent to a second server because their response "
         "is late. 0: plain calls only, within the retry budget."},
        {"hedging", "quantile", Kind::Ratio, "0.95", 0.5, 0.999, false,
         "Quantile of recent response times after which a response is late."},
        {"quarantine", "deaths", Kind::Count, "3", 2, 100, false,
         "Backend servers that die while they run a request before no further one gets it."},
        {"servers", "heartbeat", Kind::Duration, "1200 ms", 0.1, 60, false,
         "Interval at which backend servers renew their entries in the store."},
        {"servers", "drain_bound", Kind::Duration, "2 s", 0, 600, false,
         "Time for which a backend server serves requests after it has left the store's list."},
        {"cold", "factor", Kind::Ratio, "1", 0, 100, false,
         "Multiple of its own rate that a cold server can take in a second."},
        {"cold", "slack", Kind::Count, "0", 0, 10000, false,
         "Requests that a cold server can take in a second beyond that."},
        {"engines", "order", Kind::Text, "arrival", 0, 0, false,
         "Order in which streams wait for engines: arrival, or objective for those first that can "
         "meet their objective."},
        {"stop", "limit", Kind::Duration, "8 s", 1, 3600, false,
         "Time between SIGTERM and SIGKILL."},
        {"control_api", "address", Kind::Text, "", 0, 0, false,
         "IP:port of the control API; without it, usage is not reported and servers are not "
         "ordered."},
        {"control_api", "calls_per_second", Kind::Ratio, "50", 0.1, 100000, false,
         "Calls that the control API accepts from all instances together."},
        {"control_api", "duties", Kind::List, "usage, autoscale", 0, 0, false,
         "What one instance at a time does: usage (reports of usage), autoscale (orders of "
         "servers)."},
        {"leader", "term", Kind::Duration, "3 s", 2, 60, false,
         "Time for which the lease of the instance that calls the control API is valid."},
        {"usage", "window", Kind::Duration, "5 s", 1, 600, false,
         "Length of the windows for which usage is reported."},
        {"usage", "due", Kind::Duration, "10 s", 1, 600, false,
         "Time after the end of a window by which its usage is to be reported."},
        {"scaling", "target_utilisation", Kind::Ratio, "0.6", 0.05, 2, false,
         "Fraction of a server's time that is used at the forecast peak: lower values order more "
         "servers. Above 1, requests queue at the peak."},
        {"log", "level", Kind::Text, "info", 0, 0, false, "debug, info, warning or error."},
        {"metrics", "port_offset", Kind::Count, "1", 0, kMaxPort, false,
         "Port for metrics, counted from the first internal port."},
    };
}

/** Nothing without the address of a control API. */
std::optional<ControlSettings> controlSettings(const Settings &settings)
{
    ControlSettings result;
    result.address = settings.text("control_api", "address");
    if (result.address.empty())
        return std::nullopt;
    result.callsPerSecond = settings.ratio("control_api", "calls_per_second");
    const std::vector<std::string> duties = settings.list("control_api", "duties");
    const auto has = [&duties](std::string_view name) {
        return std::any_of(duties.begin(), duties.end(), [name](const std::string &duty) {
            return absl::EqualsIgnoreCase(duty, asAbsl(name));
        });
    };
    result.reportsUsage = has("usage");
    result.ordersServers = has("autoscale");
    result.leaseTerm = settings.duration("leader", "term");
    result.usageWindow = settings.duration("usage", "window");
    result.usageDue = settings.duration("usage", "due");
    result.targetUtilisation = settings.ratio("scaling", "target_utilisation");
    return result;
}

} // namespace

const std::vector<SettingSpec> &gatewaySettingsSchema()
{
    static const std::vector<SettingSpec> schema = makeSchema();
    return schema;
}

InstanceRecord instanceRecord(const GatewaySettings &settings)
{
    return {settings.id, settings.domain, settings.peerAddress, settings.relayAddress,
            settings.processorCores * settings.linkMegabits};
}

GatewaySettings gatewaySettings(const Settings &settings)
{
    GatewaySettings result;
    result.id = InstanceId(settings.text("instance", "id"));
    result.domain = FailureDomainId(settings.text("instance", "failure_domain"));
    result.callerAddress = settings.text("instance", "caller_address");
    result.readyAddress = settings.text("instance", "ready_address");
    const std::string &address = settings.text("instance", "address");
    const std::vector<std::string> ports = settings.list("instance", "internal_ports");
    const int firstPort = ports.empty() ? 0 : std::atoi(ports.front().c_str());
    result.peerAddress = absl::StrCat(address, ":", firstPort);
    result.metricsAddress =
        absl::StrCat(address, ":", firstPort + settings.count("metrics", "port_offset"));
    result.relayAddress = absl::StrCat(address, ":", firstPort + kRelayPortOffset);
    result.storeAddress = settings.text("store", "address");
    result.processorCores = settings.ratio("instance", "processor_cores");
    result.memoryBytes = settings.bytes("instance", "memory");
    result.linkMegabits = settings.ratio("instance", "link");
    result.isFirstStart = settings.flag("instance", "first_start");
    result.revocationBound = settings.duration("keys", "revocation_bound");
    result.stopLimit = settings.duration("stop", "limit");
    result.drainBound = settings.duration("servers", "drain_bound");
    result.retries.ratio = settings.ratio("retries", "ratio");
    result.retries.slack = static_cast<double>(settings.count("retries", "slack"));
    result.retries.window = settings.duration("retries", "window");
    result.hedging.extraShare = settings.ratio("hedging", "extra_share");
    result.hedging.quantile = settings.ratio("hedging", "quantile");
    result.quarantine.deaths = static_cast<std::size_t>(settings.count("quarantine", "deaths"));
    result.quarantine.listRemovalDelay =
        settings.duration("servers", "heartbeat") * kMissedHeartbeats + kReregistrationTime;
    result.coldFactor = settings.ratio("cold", "factor");
    result.coldSlack = static_cast<double>(settings.count("cold", "slack"));
    result.control = controlSettings(settings);
    result.order = parseAdmissionOrder(settings.text("engines", "order"));
    result.logLevel = parseLogLevel(settings.text("log", "level"));
    return result;
}

} // namespace foxtailtally
