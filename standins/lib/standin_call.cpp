#include "core/clock.h"
#include "standins/lib/standin.h"

#include <utility>

namespace foxtailtally {

StandinCall::StandinCall(std::shared_ptr<HttpExchange> exchange, FaultDecision faults,
                         Scheduler &scheduler)
    : exchange(std::move(exchange))
    , faults(faults)
    , scheduler(&scheduler)
{ }

JsonReader &StandinCall::body()
{
    if (this->reader == nullptr) {
        this->reader = std::make_unique<JsonReader>(this->exchange->takeBody());
    }
    return *this->reader;
}

std::string_view StandinCall::pathAfter(std::string_view prefix) const
{
    const std::string_view whole = this->path();
    return whole.substr(0, prefix.size()) == prefix ? whole.substr(prefix.size())
                                                    : std::string_view();
}

void StandinCall::respond(int status, const nlohmann::json &body, int retryAfterSeconds)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (retryAfterSeconds > 0) {
        response.headers.emplace_back("Retry-After", std::to_string(retryAfterSeconds));
    }
    this->send(std::move(response));
}

void StandinCall::fail(int status, std::string_view name, nlohmann::json more)
{
    more["error"] = name;
    this->respond(status, more, status == 429 || status == 503 ? 1 : 0);
}

void StandinCall::respondNoContent()
{
    HttpResponse response;
    response.status = 204;
    this->send(std::move(response));
}

void StandinCall::abort()
{
    this->exchange->startStream({})->abort();
}

std::shared_ptr<HttpBodyWriter> StandinCall::startStream()
{
    HttpResponse head;
    head.contentType = "text/event-stream";
    return this->exchange->startStream(std::move(head));
}

void StandinCall::setDisconnectHandler(std::function<void()> handler)
{
    this->exchange->setDisconnectHandler(std::move(handler));
}

void StandinCall::send(HttpResponse response)
{
    auto answer = [target = this->exchange, lost = this->faults.dropResponse,
                   ready = std::move(response)]() mutable {
        if (lost) {
            target->startStream({})->abort();
            return;
        }
        target->respond(std::move(ready));
    };
    if (this->faults.delay > absl::ZeroDuration()) {
        this->scheduler->postAt(Clock::now() + this->faults.delay, std::move(answer));
        return;
    }
    answer();
}

} // namespace foxtailtally
