#include "standins/lib/platform_standin.h"

#include "core/clock.h"
#include "peers/platform/platform_json.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <optional>
#include <utility>

namespace foxtailtally {

namespace {

constexpr std::size_t kPageBytes = std::size_t {1} << 20;
constexpr std::int64_t kMaxWatchMs = 60'000;

/** Version required by If-Match or If-None-Match; empty if there is no valid condition. */
std::optional<std::uint64_t> conditionOf(const HttpRequest &request)
{
    const std::string match(request.header("if-match"));
    if (match.empty()) {
        return request.header("if-none-match") == "*" ? std::optional(kAbsentVersion)
                                                      : std::nullopt;
    }
    std::uint64_t version = 0;
    if (!absl::SimpleAtoi(match, &version) || version == kAbsentVersion) {
        return std::nullopt;
    }
    return version;
}

template <typename T>
T numberOf(std::string_view text, T fallback)
{
    T value = 0;
    return absl::SimpleAtoi(std::string(text), &value) ? value : fallback;
}

} // namespace

PlatformStandin::PlatformStandin(PlatformStandinOptions options)
    : Standin("platform", std::move(options.listen))
    , reads(options.limits.reads, options.limits.reads)
    , writes(options.limits.writes, options.limits.writes)
    , weights(options.limits.weights, options.limits.weights)
    , instances(options.listLag)
{ }

Result<std::unique_ptr<PlatformStandin>> PlatformStandin::start(PlatformStandinOptions options)
{
    std::unique_ptr<PlatformStandin> platform(new PlatformStandin(std::move(options)));
    if (const std::error_code error = platform->openServer()) {
        return error;
    }
    return platform;
}

PlatformStandin::~PlatformStandin()
{
    this->shutdown();
}

bool PlatformStandin::admit(TokenBucket &bucket, StandinCall &call)
{
    if (bucket.tryTake(Clock::now())) {
        return true;
    }
    ++this->counters.limited;
    call.fail(429, "rate_limited");
    return false;
}

void PlatformStandin::handle(const std::shared_ptr<StandinCall> &call)
{
    const bool isRead = call->method() == "GET";
    const std::string model(call->pathAfter("/v1/weights/"));
    if (isRead && !model.empty()) {
        if (this->admit(this->weights, *call)) {
            call->respond(200, {{"model", model}});
        }
        return;
    }
    if (!this->admit(isRead ? this->reads : this->writes, *call)) {
        return;
    }
    ++(isRead ? this->counters.reads : this->counters.writes);
    const std::string key(call->pathAfter("/v1/objects/"));
    const std::string watched(call->pathAfter("/v1/watch/"));
    const std::string instance(call->pathAfter("/v1/instances/"));
    if (!key.empty()) {
        this->handleObject(*call, key);
    } else if (isRead && call->path() == "/v1/objects") {
        this->handleList(*call);
    } else if (isRead && !watched.empty()) {
        this->handleWatch(call, watched);
    } else if (!instance.empty() || call->path() == "/v1/instances") {
        this->handleInstance(*call, instance);
    } else {
        call->fail(404, "not_found");
    }
}

void PlatformStandin::handleObject(StandinCall &call, const std::string &key)
{
    if (call.method() != "GET") {
        this->handleWrite(call, key);
        return;
    }
    const Result<StoredObject> object = this->store.get(key);
    if (!object.ok()) {
        call.fail(404, "not_found");
        return;
    }
    call.respond(200, toJson(*object));
}

void PlatformStandin::handleWrite(StandinCall &call, const std::string &key)
{
    const std::optional<std::uint64_t> expected = conditionOf(call.request());
    const bool isPut = call.method() == "PUT";
    std::string value;
    if (isPut) {
        value = call.body().text("value");
    }
    if (!expected.has_value() || (isPut && !call.body().ok())
        || (!isPut && call.method() != "DELETE")) {
        call.fail(400, "malformed");
        return;
    }
    const Result<std::uint64_t> written = isPut ? this->store.put(key, std::move(value), *expected)
                                                : this->store.remove(key, *expected);
    if (written.ok()) {
        this->completeWatches(key);
        call.respond(200, {{"version", *written}});
    } else if (written.error() == Error::StoreValueTooLarge) {
        call.fail(413, "value_too_large");
    } else {
        ++this->counters.conflicts;
        call.fail(412, "conflict", {{"version", this->store.version(key)}});
    }
}

void PlatformStandin::handleList(StandinCall &call)
{
    const ObjectPage page = this->store.list(call.request().argument("prefix"),
                                             call.request().argument("after"), kPageBytes);
    nlohmann::json items = nlohmann::json::array();
    for (const StoredObject &object : page.items) {
        items.push_back(toJson(object));
    }
    call.respond(200, {{"items", items}, {"more", page.more}});
}

void PlatformStandin::handleWatch(const std::shared_ptr<StandinCall> &call, const std::string &key)
{
    const HttpRequest &request = call->request();
    const auto version = numberOf<std::uint64_t>(request.argument("version"), 0);
    const auto timeout = std::clamp<std::int64_t>(
        numberOf<std::int64_t>(request.argument("timeout_ms"), 0), 0, kMaxWatchMs);
    const std::uint64_t number = ++this->watchCount;
    ++this->counters.watches;
    this->watches[number] = {key, version, call};
    this->completeWatches(key);
    if (!this->watches.contains(number)) {
        return;
    }
    auto end = [this, number] {
        const auto watch = this->watches.find(number);
        if (watch != this->watches.end()) {
            watch->second.call->respondNoContent();
            this->watches.erase(watch);
        }
    };
    call->setDisconnectHandler([this, end] { this->scheduler().post(end); });
    this->scheduler().postAt(Clock::now() + absl::Milliseconds(timeout), end);
}

void PlatformStandin::completeWatches(const std::string &key)
{
    const Result<StoredObject> object = this->store.get(key);
    if (!object.ok()) {
        return;
    }
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        if (watch->second.key != key || watch->second.version >= object->version) {
            ++watch;
            continue;
        }
        watch->second.call->respond(200, toJson(*object));
        watch = this->watches.erase(watch);
    }
}

void PlatformStandin::handleInstance(StandinCall &call, const std::string &id)
{
    const absl::Time now = Clock::now();
    if (call.method() == "GET" && id.empty()) {
        nlohmann::json list = nlohmann::json::array();
        for (const InstanceEntry &entry : this->instances.visible(now)) {
            list.push_back(toJson(entry));
        }
        call.respond(200, {{"instances", list}});
        return;
    }
    if (call.method() == "DELETE" && !id.empty()) {
        this->instances.remove(id, now);
        call.respond(200, nlohmann::json::object());
        return;
    }
    if (call.method() == "PUT" && !id.empty()) {
        const Result<InstanceEntry> entry = instanceFromJson(call.body().json());
        if (entry.ok() && entry->id == id) {
            this->instances.put(*entry, now);
            call.respond(200, nlohmann::json::object());
            return;
        }
    }
    call.fail(400, "malformed");
}

bool PlatformStandin::applyFault(const std::string &kind, JsonReader &parameters)
{
    const absl::Time now = Clock::now();
    if (kind == "drop_instance") {
        const std::string id = parameters.text("id");
        return parameters.ok() && this->instances.remove(id, now);
    }
    if (kind == "set_leaving") {
        const std::string id = parameters.text("id");
        const bool leaving = parameters.optionalFlag("leaving", true);
        return parameters.ok() && this->instances.setLeaving(id, leaving, now);
    }
    if (kind == "list_lag") {
        const std::int64_t lag = parameters.integer("lag_ms");
        if (parameters.ok()) {
            this->instances.setLag(absl::Milliseconds(lag));
        }
        return parameters.ok();
    }
    return false;
}

void PlatformStandin::onFaultsChanged()
{
    // A platform that becomes unavailable also fails the pending watches.
    if (!this->faults().isActive("outage")) {
        return;
    }
    for (const auto &[number, watch] : std::exchange(this->watches, {})) {
        watch.call->fail(503, "unavailable");
    }
}

nlohmann::json PlatformStandin::stats()
{
    return {
        {"reads", this->counters.reads},         {"writes", this->counters.writes},
        {"watches", this->counters.watches},     {"pending_watches", this->watches.size()},
        {"conflicts", this->counters.conflicts}, {"limited", this->counters.limited},
        {"objects", this->store.size()},         {"revision", this->store.revision()},
    };
}

} // namespace foxtailtally
