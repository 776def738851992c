#include "standins/lib/control_api_standin.h"

#include "core/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusMalformed = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooManyRequests = 429;

/** Empty for a call that is not one of the API's. */
std::string dutyOf(const std::string &path, const Json &body)
{
    if (!body.is_object())
        return {};
    if (path == "/usage" && body.contains("WindowId") && body.contains("Counts"))
        return "usage";
    if (path == "/scaling" && body.contains("Service") && body.contains("Zone")
        && body.contains("Desired"))
        return absl::StrCat("servers of ", body.at("Service").get<std::string>(), " in ",
                            body.at("Zone").get<std::string>());
    return {};
}

} // namespace

Result<std::unique_ptr<ControlApiStandin>> ControlApiStandin::start(const std::string &address,
                                                                    std::uint16_t port)
{
    std::unique_ptr<ControlApiStandin> standin(new ControlApiStandin(address));
    HttpServerOptions options;
    options.address = address;
    options.port = port;
    ControlApiStandin *raw = standin.get();
    auto started = HttpServer::start(
        options, [raw](const std::shared_ptr<HttpExchange> &exchange) { raw->handle(exchange); });
    if (!started.ok())
        return started.error();
    standin->server = std::move(*started);
    return standin;
}

ControlApiStandin::~ControlApiStandin()
{
    std::vector<std::shared_ptr<HttpExchange>> open;
    {
        const Lock lock(this->mutex);
        open.swap(this->unanswered);
    }
    // The server waits for its exchanges.
    for (const std::shared_ptr<HttpExchange> &exchange : open)
        exchange->startStream(HttpResponse())->abort();
}

std::string ControlApiStandin::address() const
{
    return absl::StrCat(this->host, ":", this->server->port());
}

void ControlApiStandin::setBehavior(ControlApiBehavior newBehavior)
{
    const Lock lock(this->mutex);
    this->behavior = newBehavior;
}

std::vector<ControlCallRecord> ControlApiStandin::calls() const
{
    const Lock lock(this->mutex);
    return this->recorded;
}

std::map<std::int64_t, std::map<std::string, std::int64_t>> ControlApiStandin::reports() const
{
    const Lock lock(this->mutex);
    return this->accepted;
}

std::vector<std::string> ControlApiStandin::violations() const
{
    const Lock lock(this->mutex);
    return this->found;
}

void ControlApiStandin::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    HttpResponse response;
    {
        const Lock lock(this->mutex);
        ControlCallRecord call;
        call.at = absl::Now();
        call.path = request.path;
        call.body = request.body;
        call.holder = std::string(request.header("duty-holder"));
        const bool hasToken =
            absl::SimpleAtoi(asAbsl(request.header("fencing-token")), &call.token);
        response.status = kStatusMalformed;
        if (request.method != "POST")
            response.status = kStatusNotFound;
        else if (hasToken && !call.holder.empty())
            response.status = this->accept(call);
        call.status = this->behavior == ControlApiBehavior::LoseAnswer ? 0 : response.status;
        if (response.status == kStatusMalformed || response.status == kStatusNotFound)
            this->found.push_back(absl::StrCat("malformed call to ", call.path, ": ", call.body));
        this->recorded.push_back(std::move(call));
        if (this->behavior == ControlApiBehavior::LoseAnswer) {
            this->unanswered.push_back(exchange);
            return;
        }
    }
    response.body = "{}";
    exchange->respond(std::move(response));
}

int ControlApiStandin::accept(ControlCallRecord &call)
{
    const Json body = Json::parse(call.body, nullptr, false);
    call.duty = dutyOf(call.path, body);
    if (call.duty.empty())
        return kStatusMalformed;
    this->checkOrder(call);
    if (this->behavior == ControlApiBehavior::Refuse)
        return kStatusTooManyRequests;
    if (call.duty != "usage")
        return kStatusOk;
    const auto window = body.at("WindowId").get<std::int64_t>();
    const auto counts = body.at("Counts").get<std::map<std::string, std::int64_t>>();
    const auto [entry, isNew] = this->accepted.try_emplace(window, counts);
    if (!isNew && entry->second != counts)
        this->found.push_back(absl::StrCat("window ", window, " was reported with other counts"));
    return kStatusOk;
}

void ControlApiStandin::checkOrder(const ControlCallRecord &call)
{
    const ControlCallRecord *otherHolder = nullptr;
    for (const ControlCallRecord &earlier : this->recorded) {
        if (earlier.duty != call.duty)
            continue;
        if (earlier.token > call.token)
            this->found.push_back(absl::StrCat(call.holder, " used token ", call.token, " after ",
                                               earlier.token, " for ", call.duty));
        if (earlier.token == call.token && earlier.holder != call.holder)
            this->found.push_back(absl::StrCat(call.holder, " and ", earlier.holder, " used token ",
                                               call.token, " for ", call.duty));
    }
    // The duties have one holder, so calls of all duties count here.
    for (auto earlier = this->recorded.rbegin(); earlier != this->recorded.rend(); ++earlier) {
        if (call.at - earlier->at > kLeaseTerm)
            break;
        if (earlier->holder != call.holder)
            otherHolder = &*earlier;
        else if (otherHolder)
            this->found.push_back(absl::StrCat(call.holder, ", ", otherHolder->holder, " and ",
                                               call.holder, " called within ",
                                               absl::FormatDuration(call.at - earlier->at)));
    }
}

} // namespace foxtailtally
