#include "peers/platform/platform_json.h"

#include "peers/http/json_reader.h"

#include <utility>

namespace foxtailtally {

namespace {

const char *kindName(InstanceKind kind)
{
    switch (kind) {
    case InstanceKind::Entry:
        return "entry";
    case InstanceKind::Engine:
        return "engine";
    case InstanceKind::Service:
        return "service";
    }
    return "";
}

} // namespace

BackendServer InstanceEntry::backendServer() const
{
    BackendServer server;
    server.id = BackendServerId(this->id);
    server.group = this->group;
    server.domain = this->domain;
    server.model = this->model;
    server.address = this->address;
    server.memoryTokens = this->memoryTokens;
    server.coldLimit = this->coldLimit;
    server.warmLimit = this->warmLimit;
    server.leaving = this->isLeaving;
    return server;
}

nlohmann::json toJson(const InstanceEntry &entry)
{
    nlohmann::json value {
        {"id", entry.id},
        {"kind", kindName(entry.kind)},
        {"domain", entry.domain.str()},
        {"address", entry.address},
        {"state", entry.isLeaving ? "leaving" : "live"},
        {"incarnation", entry.incarnation},
    };
    if (entry.kind == InstanceKind::Engine) {
        value["group"] = entry.group.str();
        value["model"] = entry.model.str();
        value["memory_tokens"] = entry.memoryTokens;
        value["cold_limit"] = entry.coldLimit;
        value["warm_limit"] = entry.warmLimit;
    }
    if (entry.kind != InstanceKind::Entry) {
        value["checks_fence"] = entry.checksFence;
    }
    if (entry.kind == InstanceKind::Service) {
        value["service"] = entry.service;
    }
    return value;
}

Result<InstanceEntry> instanceFromJson(nlohmann::json value)
{
    JsonReader reader = JsonReader::fromValue(std::move(value));
    InstanceEntry entry;
    const std::string kind = reader.text("kind");
    const std::string state = reader.text("state");
    entry.id = reader.text("id");
    entry.domain = FailureDomainId(reader.text("domain"));
    entry.address = reader.text("address");
    entry.isLeaving = state == "leaving";
    entry.incarnation = reader.unsignedInteger("incarnation");
    if (kind == "engine") {
        entry.kind = InstanceKind::Engine;
        entry.group = GroupId(reader.text("group"));
        entry.model = ModelId(reader.text("model"));
        entry.memoryTokens = reader.integer("memory_tokens");
        entry.coldLimit = reader.integer("cold_limit");
        entry.warmLimit = reader.integer("warm_limit");
    } else if (kind == "service") {
        entry.kind = InstanceKind::Service;
        entry.service = reader.text("service");
    } else if (kind != "entry") {
        return Error::ProtocolViolation;
    }
    entry.checksFence = reader.optionalFlag("checks_fence", false);
    if (!reader.ok() || (state != "live" && state != "leaving")) {
        return Error::ProtocolViolation;
    }
    return entry;
}

Result<std::vector<InstanceEntry>> instanceListFromText(std::string_view text)
{
    JsonReader reader(text);
    std::vector<InstanceEntry> entries;
    for (nlohmann::json &element : reader.array("instances")) {
        Result<InstanceEntry> entry = instanceFromJson(std::move(element));
        if (!entry.ok())
            return entry.error();
        entries.push_back(std::move(*entry));
    }
    if (!reader.ok())
        return Error::ProtocolViolation;
    return entries;
}

nlohmann::json toJson(const StoredObject &object)
{
    return {{"key", object.key}, {"version", object.version}, {"value", object.value}};
}

Result<StoredObject> objectFromJson(nlohmann::json value)
{
    JsonReader reader = JsonReader::fromValue(std::move(value));
    StoredObject object {reader.text("key"), reader.unsignedInteger("version"),
                         reader.text("value")};
    if (!reader.ok()) {
        return Error::ProtocolViolation;
    }
    return object;
}

} // namespace foxtailtally
