#include "main/lib/settings_schema.h"

namespace foxtailtally {

namespace {

constexpr bool kRequired = true;
constexpr bool kOptional = false;
constexpr double kMaxPort = 65535;
constexpr double kMebibyte = 1024.0 * 1024.0;

std::vector<SettingSpec> makeSchema()
{
    using Kind = SettingKind;
    return {
        {"instance", "id", Kind::Text, "", 0, 0, kRequired, "Unique name of this instance."},
        {"instance", "failure_domain", Kind::Text, "", 0, 0, kRequired,
         "Failure domain this instance runs in."},
        {"instance", "address", Kind::Text, "127.0.0.1", 0, 0, kOptional,
         "IP address that the instance binds and is reached at."},
        {"instance", "caller_port", Kind::Count, "0", 0, kMaxPort, kOptional,
         "TCP port for callers; 0 lets the system choose."},
        {"instance", "admin_port", Kind::Count, "0", 0, kMaxPort, kOptional,
         "TCP port for operators, health and metrics; 0 lets the system choose."},
        {"instance", "peer_port", Kind::Count, "0", 0, kMaxPort, kRequired,
         "TCP and UDP port for other instances."},
        {"peers", "seeds", Kind::List, "", 0, 0, kOptional,
         "Other instances as id@failure_domain@ip:port."},
        {"peers", "key", Kind::Text, "", 0, 0, kRequired,
         "Secret shared by all instances; authenticates messages between them."},
        {"platform", "url", Kind::Text, "", 0, 0, kRequired, "Base URL of the platform's API."},
        {"platform", "token", Kind::Text, "", 0, 0, kRequired, "Bearer token for the platform."},
        {"platform", "poll", Kind::Duration, "1 s", 0.1, 30, kOptional,
         "Time between reads of the instance list by the instances that watch it."},
        {"engine", "token", Kind::Text, "", 0, 0, kRequired, "Bearer token for model engines."},
        {"engine", "poll", Kind::Duration, "500 ms", 0.05, 10, kOptional,
         "Time between load reports read from each owned engine."},
        {"engine", "report_lag", Kind::Duration, "3 s", 0, 60, kOptional,
         "Upper bound of the age of a load report."},
        {"service", "token", Kind::Text, "", 0, 0, kRequired, "Bearer token for plain services."},
        {"operator", "token", Kind::Text, "", 0, 0, kRequired,
         "Bearer token for the administration API."},
        {"limits", "body", Kind::Bytes, "8 MiB", 65536, 64 * kMebibyte, kOptional,
         "Largest request body."},
        {"limits", "bodies_in_flight", Kind::Bytes, "64 MiB", kMebibyte, 4096 * kMebibyte,
         kOptional, "Sum of request bodies held; further requests get 503."},
        {"limits", "body_time", Kind::Duration, "20 s", 1, 300, kOptional,
         "Time for a body to arrive; slower ones get 408."},
        {"limits", "connections", Kind::Count, "4096", 16, 65536, kOptional,
         "Connections from callers at once."},
        {"limits", "stream_buffer", Kind::Bytes, "48 KiB", 4096, 16 * kMebibyte, kOptional,
         "Bytes held for one slow reader before the engine stream is paused."},
        {"limits", "stream_buffers", Kind::Bytes, "48 MiB", kMebibyte, 4096 * kMebibyte, kOptional,
         "Sum of bytes held for slow readers."},
        {"limits", "pause", Kind::Duration, "10 s", 1, 300, kOptional,
         "Time after which a paused engine stream is cancelled, to be resumed later."},
        {"deadlines", "urgent", Kind::Duration, "10 s", 0.1, 300, kOptional,
         "Deadline of urgent requests that name none."},
        {"deadlines", "normal", Kind::Duration, "60 s", 0.1, 300, kOptional,
         "Deadline of normal requests that name none."},
        {"deadlines", "batch", Kind::Duration, "300 s", 0.1, 300, kOptional,
         "Deadline of batch requests that name none."},
        {"routing", "policy", Kind::Text, "deadline_aware", 0, 0, kOptional,
         "Routing policy: deadline_aware, random, round_robin, least_requests, least_tokens or "
         "power_of_two."},
        {"admission", "policy", Kind::Text, "predictive", 0, 0, kOptional,
         "Admission policy of owners: predictive or first_in_first_out."},
        {"claims", "shards", Kind::Count, "64", 1, 1024, kOptional,
         "Claim shards; the same at all instances of a deployment."},
        {"stop", "balancer_lag", Kind::Duration, "5 s", 0, 60, kOptional,
         "Time for which a stopping instance still accepts connections."},
        {"stop", "limit", Kind::Duration, "310 s", 1, 3600, kOptional,
         "Time after which a stopping instance ends even with requests running."},
        {"log", "level", Kind::Text, "info", 0, 0, kOptional, "debug, info, warning or error."},
        {"log", "file", Kind::Text, "", 0, 0, kOptional,
         "File for JSON lines; standard output when empty."},
    };
}

std::string kindName(SettingKind kind)
{
    switch (kind) {
    case SettingKind::Text:
        return "text";
    case SettingKind::List:
        return "list";
    case SettingKind::Duration:
        return "duration (ms, s, min, h)";
    case SettingKind::Bytes:
        return "bytes (B, KiB, MiB)";
    case SettingKind::Count:
        return "whole number";
    case SettingKind::Ratio:
        return "number";
    case SettingKind::Flag:
        return "true or false";
    }
    return "";
}

} // namespace

const std::vector<SettingSpec> &serveSettingsSchema()
{
    static const std::vector<SettingSpec> schema = makeSchema();
    return schema;
}

std::string describeSettings(const std::vector<SettingSpec> &schema)
{
    std::string text =
        "| section | key | kind | default | allowed | meaning |\n|---|---|---|---|---|---|\n";
    for (const SettingSpec &spec : schema) {
        const std::string defaultText =
            spec.isRequired ? "required" : std::string(spec.defaultText);
        for (const std::string &cell :
             {std::string(spec.section), std::string(spec.key), kindName(spec.kind), defaultText,
              allowedValues(spec), std::string(spec.help)})
            text += "| " + cell + " ";
        text += "|\n";
    }
    return text;
}

} // namespace foxtailtally
