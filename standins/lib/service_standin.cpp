#include "standins/lib/service_standin.h"

#include "core/clock.h"
#include "core/log.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kRegisterRetryInterval = absl::Milliseconds(500);

} // namespace

ServiceStandin::ServiceStandin(ServiceStandinOptions given)
    : Standin("service", given.listen)
    , options(std::move(given))
    , outbound("service-out")
{
    this->options.entry.kind = InstanceKind::Service;
    this->options.entry.incarnation =
        static_cast<Incarnation>(absl::ToUnixMillis(Clock::wallNow()));
    if (!this->options.platform.url.empty()) {
        this->platform.emplace(std::make_shared<HttpClient>(1), this->options.platform);
    }
}

Result<std::unique_ptr<ServiceStandin>> ServiceStandin::start(ServiceStandinOptions options)
{
    std::unique_ptr<ServiceStandin> service(new ServiceStandin(std::move(options)));
    if (const std::error_code error = service->openServer()) {
        return error;
    }
    service->options.entry.address = service->address();
    service->registerAtPlatform();
    return service;
}

ServiceStandin::~ServiceStandin()
{
    this->outbound.stop();
    this->shutdown();
}

void ServiceStandin::registerAtPlatform()
{
    if (!this->platform.has_value()) {
        return;
    }
    this->outbound.post([this] {
        const std::error_code error = this->platform->registerInstance(this->options.entry);
        if (error) {
            logEvent(LogLevel::Warning, "register_failed", {{"error", errorName(error)}});
            this->outbound.postAt(Clock::now() + kRegisterRetryInterval,
                                  [this] { this->registerAtPlatform(); });
        }
    });
}

void ServiceStandin::handle(const std::shared_ptr<StandinCall> &call)
{
    const std::string action(call->pathAfter("/v1/actions/"));
    const std::string name(call->pathAfter("/v1/calls/"));
    if (call->method() != "POST" || (action.empty() && name.empty())) {
        call->fail(404, "not_found");
        return;
    }
    if (!action.empty()) {
        this->handleAction(call, action);
        return;
    }
    const std::string body = call->body().text("body");
    if (!call->body().ok()) {
        call->fail(400, "malformed");
        return;
    }
    ++this->calls;
    this->respondLater(call, absl::StrCat(name, ":", body));
}

void ServiceStandin::handleAction(const std::shared_ptr<StandinCall> &call, const std::string &name)
{
    const std::string key = call->body().text("key");
    const std::string body = call->body().text("body");
    if (!call->body().ok()) {
        call->fail(400, "malformed");
        return;
    }
    Action &action = this->actions[key];
    if (this->options.entry.checksFence) {
        std::uint64_t fence = 0;
        const bool hasFence =
            absl::SimpleAtoi(std::string(call->request().header("x-fence")), &fence);
        if (!hasFence || fence <= action.fence) {
            ++this->staleFences;
            call->fail(409, "stale_fence", {{"current", action.fence}});
            return;
        }
        action.fence = fence;
    }
    ++action.runs;
    this->respondLater(call, absl::StrCat(name, ":", key, ":", body));
}

void ServiceStandin::respondLater(const std::shared_ptr<StandinCall> &call, std::string result)
{
    this->scheduler().postAt(Clock::now() + this->options.workTime,
                             [call, result = std::move(result)] {
                                 call->respond(200, {{"result", result}});
                             });
}

bool ServiceStandin::applyFault(const std::string & /*kind*/, JsonReader & /*parameters*/)
{
    return false;
}

nlohmann::json ServiceStandin::stats()
{
    nlohmann::json runs = nlohmann::json::object();
    std::uint64_t repeated = 0;
    for (const auto &[key, action] : this->actions) {
        runs[key] = action.runs;
        repeated += action.runs > 1 ? 1 : 0;
    }
    return {{"runs", runs},
            {"repeated_keys", repeated},
            {"calls", this->calls},
            {"stale_fences", this->staleFences}};
}

} // namespace foxtailtally
