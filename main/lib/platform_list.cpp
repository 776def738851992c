#include "main/lib/platform_list.h"

#include "core/clock.h"
#include "core/hash.h"
#include "core/log.h"
#include "peers/platform/platform_json.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

Result<InstanceListSnapshot> parseInstanceList(std::string text, absl::Time requestedAt)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_array())
        return Error::ProtocolViolation;
    InstanceListSnapshot list;
    for (const nlohmann::json &item : document) {
        const Result<InstanceEntry> entry = instanceFromJson(item);
        if (!entry.ok())
            return entry.error();
        list.entries.push_back(*entry);
    }
    list.digest = stableHash(text);
    list.text = std::move(text);
    list.requestedAt = requestedAt;
    return list;
}

PlatformList::PlatformList(const PlatformClient &platform, absl::Duration period, Changed changed)
    : platform(platform)
    , reportChanged(std::move(changed))
    , loop("instance-list")
{
    this->loop.post([this] { this->read(); });
    this->loop.every(period, [this] { this->read(); });
}

void PlatformList::read()
{
    if (!this->watching.load())
        return;
    const absl::Time requestedAt = Clock::now();
    Result<std::vector<InstanceEntry>> entries = this->platform.instances();
    if (!entries.ok()) {
        logEvent(LogLevel::Warning, "instance_list_unreadable",
                 {{"error", errorName(entries.error())}});
        return;
    }
    nlohmann::json document = nlohmann::json::array();
    for (const InstanceEntry &entry : *entries)
        document.push_back(toJson(entry));
    InstanceListSnapshot list;
    list.text = document.dump();
    list.digest = stableHash(list.text);
    list.entries = std::move(*entries);
    list.requestedAt = requestedAt;
    this->reportChanged(list);
}

} // namespace foxtailtally
