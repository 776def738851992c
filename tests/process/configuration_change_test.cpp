#include "core/socket_address.h"
#include "platform/store_objects.h"
#include "tests/process/gateway_deployment.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {
namespace {

using Json = nlohmann::json;

/** Longest time until a request must have ended; routes have a timeout of 4 s. */
constexpr absl::Duration kAnswerLimit = absl::Seconds(10);
constexpr absl::Duration kAdoptionLimit = absl::Seconds(20);
/** Prefill time of streams, so that a version comes into force before their first event. */
constexpr absl::Duration kPrefillTime = absl::Milliseconds(500);

/** How far a request has come when the configuration changes. */
enum class Step {
    HeadHalfSent,
    BodyHalfSent,
    ChunkedBodyHalfSent,
    StreamWithoutEvent,
    StreamRunning,
    PipelinedBehindAStream,
    ConnectionIdle,
};

constexpr std::array kSteps = {Step::HeadHalfSent,        Step::BodyHalfSent,
                               Step::ChunkedBodyHalfSent, Step::StreamWithoutEvent,
                               Step::StreamRunning,       Step::PipelinedBehindAStream,
                               Step::ConnectionIdle};

/** One change of the configuration, and what else than success may end a request that is admitted
 * after it. */
struct Change
{
    std::string name;
    std::function<void(Json &config)> apply;
    std::vector<int> refusals;
};

Json &routeOf(Json &config, const std::string &prefix)
{
    for (Json &route : config["Routes"]) {
        if (route["PathPrefix"] == prefix)
            return route;
    }
    return config["Routes"].front();
}

std::vector<Change> changes()
{
    const auto limit = [](const std::string &name, int value) {
        return [name, value](Json &config) { config["Limits"][name] = value; };
    };
    const auto eachRoute = [](const std::string &name, const Json &value) {
        return [name, value](Json &config) {
            for (Json &route : config["Routes"])
                route[name] = value;
        };
    };
    return {
        {"header_limit_shrinks", limit("MaxHeaderBytes", 100), {431}},
        {"header_limit_grows", limit("MaxHeaderBytes", 100000), {}},
        {"body_limit_shrinks", limit("MaxBodyBytes", 10), {413}},
        {"body_limit_grows", limit("MaxBodyBytes", 1000000), {}},
        {"header_timeout_shrinks", limit("HeaderTimeoutMs", 20), {408}},
        {"header_timeout_grows", limit("HeaderTimeoutMs", 60000), {}},
        {"idle_timeout_shrinks", limit("IdleTimeoutMs", 50), {}},
        {"idle_timeout_grows", limit("IdleTimeoutMs", 60000), {}},
        {"timeout_shrinks", eachRoute("TimeoutMs", 30), {503, 504}},
        {"timeout_grows", eachRoute("TimeoutMs", 60000), {}},
        {"attempts_shrink", eachRoute("MaxAttempts", 1), {}},
        {"routes_dropped", [](Json &config) { config["Routes"] = Json::array(); }, {404}},
        {"routes_moved",
         [](Json &config) {
             routeOf(config, "/act/")["Service"] = "other-desk";
             routeOf(config, "/stream/")["Service"] = "other-engine";
         },
         {503}},
        {"services_removed",
         [](Json &config) {
             config["Services"] = Json::array();
             config["Routes"] = Json::array();
         },
         {404}},
        {"key_revoked", [](Json &config) { config["Tenants"][0]["ApiKeys"] = {"key-2"}; }, {401}},
        {"customers_removed", [](Json &config) { config["Tenants"] = Json::array(); }, {401}},
    };
}

/** A caller's connection on which a test sends parts of requests. */
class SlowCaller
{
public:
    explicit SlowCaller(const std::string &address)
    {
        sockaddr_in peer {};
        parseAddress(address, peer);
        this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::connect(this->socket, reinterpret_cast<sockaddr *>(&peer), sizeof peer);
    }
    ~SlowCaller() { ::close(this->socket); }
    SlowCaller(const SlowCaller &) = delete;
    SlowCaller &operator=(const SlowCaller &) = delete;

    void send(const std::string &text)
    {
        ::send(this->socket, text.data(), text.size(), MSG_NOSIGNAL);
    }
    /** Reads until @p text has arrived; false if the connection ends or kAnswerLimit passes. */
    bool readUntil(const std::string &text)
    {
        const absl::Time end = absl::Now() + kAnswerLimit;
        while (this->received.find(text) == std::string::npos) {
            if (absl::Now() > end || !this->read())
                return false;
        }
        return true;
    }
    /** Reads the next complete response; 0 if the connection ends before it or it is late. */
    int readStatus()
    {
        if (!this->readUntil("\r\n\r\n"))
            return 0;
        const std::size_t headEnd = this->received.find("\r\n\r\n") + 4;
        const std::string head = this->received.substr(0, headEnd);
        int status = 0;
        if (!absl::SimpleAtoi(head.substr(9, 3), &status))
            return 0;
        std::size_t end = std::string::npos;
        if (absl::StrContains(head, "chunked")) {
            if (!this->readUntil("\r\n0\r\n\r\n"))
                return 0;
            end = this->received.find("\r\n0\r\n\r\n") + 7;
        } else {
            const std::size_t at = head.find("Content-Length: ");
            std::size_t length = 0;
            if (at == std::string::npos
                || !absl::SimpleAtoi(head.substr(at + 16, head.find('\r', at) - at - 16), &length))
                return 0;
            end = headEnd + length;
            const absl::Time limit = absl::Now() + kAnswerLimit;
            while (this->received.size() < end) {
                if (absl::Now() > limit || !this->read())
                    return 0;
            }
        }
        this->received.erase(0, end);
        return status;
    }

private:
    bool read()
    {
        pollfd readable {this->socket, POLLIN, 0};
        if (::poll(&readable, 1, 50) <= 0)
            return true;
        std::array<char, 4096> buffer {};
        const ssize_t size = ::recv(this->socket, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return false;
        this->received.append(buffer.data(), static_cast<std::size_t>(size));
        return true;
    }

    int socket = -1;
    std::string received;
};

/** One gateway with two engines and two plain servers. */
class ConfigurationChange : public testing::Test
{
protected:
    ConfigurationChange()
        : deployment(1)
    { }

    void startAll()
    {
        this->configure([](Json &) {});
        ServingStandin &platform = this->deployment.platform();
        for (int i = 0; i < 4; ++i)
            platform.addServer(i, i < 2 ? "engine" : "desk", "d0", platform.serverAddress(i));
        platform.setPrefillTime(kPrefillTime);
        this->deployment.start(0);
        ASSERT_TRUE(this->deployment.waitUntilReady(0));
        ASSERT_TRUE(this->isApplied());
    }
    void configure(const std::function<void(Json &config)> &change)
    {
        const auto route = [](const std::string &name, const std::string &prefix,
                              const std::string &kind, const std::string &service) -> Json {
            return {{"Name", name},
                    {"Host", "desk.example"},
                    {"PathPrefix", prefix},
                    {"Kind", kind},
                    {"Service", service},
                    {"TimeoutMs", 4000},
                    {"TargetLatencyMs", 2000},
                    {"GapAimMs", 1000},
                    {"MaxAttempts", 3},
                    {"Resumable", kind == "streaming"}};
        };
        const Json engine = {{"Slots", 16},     {"KvCapacity", 405000}, {"Stride", 34},
                             {"step_ms", 1.31}, {"read_per_s", 154000}, {"chunk", 2048}};
        Json config = {{"Version", ++this->version},
                       {"Routes",
                        {route("s", "/stream/", "streaming", "engine"),
                         route("n", "/act/", "non_idempotent", "desk")}},
                       {"Services",
                        {{{"Name", "engine"}, {"Engine", engine}},
                         {{"Name", "desk"}},
                         {{"Name", "other-engine"}, {"Engine", engine}},
                         {{"Name", "other-desk"}}}},
                       {"Limits",
                        {{"MaxBodyBytes", 65536},
                         {"MaxHeaderBytes", 8192},
                         {"HeaderTimeoutMs", 30000},
                         {"IdleTimeoutMs", 15000}}},
                       {"Tenants", {{{"Name", "customer-1"}, {"ApiKeys", {"key-1"}}}}}};
        change(config);
        this->deployment.platform().putObject(std::string(platform::kConfigKind),
                                              std::string(platform::kConfigName), config.dump());
    }
    /** Waits until open connections have the limits of the latest configuration. */
    bool isApplied()
    {
        const absl::Time end = absl::Now() + kAdoptionLimit;
        while (absl::Now() < end) {
            std::ifstream log(this->deployment.logFile(0));
            const std::string text((std::istreambuf_iterator<char>(log)),
                                   std::istreambuf_iterator<char>());
            for (std::size_t at = text.find("\"limits_applied\""); at != std::string::npos;
                 at = text.find("\"limits_applied\"", at + 1)) {
                const std::string line = text.substr(at, text.find('\n', at) - at);
                if (absl::StrContains(line, absl::StrCat("\"version\":", this->version, "}"))
                    || absl::StrContains(line, absl::StrCat("\"version\":", this->version, ",")))
                    return true;
            }
            absl::SleepFor(absl::Milliseconds(20));
        }
        return false;
    }
    std::string head(const std::string &path, const std::string &bodyHeader)
    {
        return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: call-",
                            ++this->calls,
                            "\r\nKey: key-1\r\nDeadline-Ms: 8000\r\nToken-Usage: 1000,100\r\n",
                            bodyHeader, "\r\n\r\n");
    }

    GatewayDeployment deployment;
    int version = 0;
    int calls = 0;
};

/** A request that has come as far as one of the steps. */
class RequestInProgress
{
public:
    RequestInProgress(Step step, const std::string &address)
        : step(step)
        , caller(address)
    { }

    void begin(const std::function<std::string(const std::string &, const std::string &)> &head)
    {
        const std::string body(20, 'b');
        const std::string stream = head("/stream/a", "Content-Length: 20") + body;
        const std::string act = head("/act/a", "Content-Length: 20") + body;
        switch (this->step) {
        case Step::HeadHalfSent:
            this->caller.send(act.substr(0, 90));
            this->rest = act.substr(90);
            return;
        case Step::BodyHalfSent:
            this->caller.send(act.substr(0, act.size() - 10));
            this->rest = act.substr(act.size() - 10);
            return;
        case Step::ChunkedBodyHalfSent:
            this->caller.send(head("/act/b", "Transfer-Encoding: chunked") + "14\r\nbbbbbbbb");
            this->rest = std::string(12, 'b') + "\r\n0\r\n\r\n";
            return;
        case Step::StreamWithoutEvent:
        case Step::StreamRunning:
            this->caller.send(stream);
            return;
        case Step::PipelinedBehindAStream:
            this->caller.send(stream + act);
            return;
        case Step::ConnectionIdle:
            this->caller.send(act);
            EXPECT_EQ(this->caller.readStatus(), 200);
            this->rest = head("/act/c", "Content-Length: 20") + body;
            return;
        }
    }
    /** Waits for the first event where the step is one of a running stream. */
    void reach()
    {
        if (this->step == Step::StreamRunning) {
            EXPECT_TRUE(this->caller.readUntil("data:"));
        }
    }
    void end(const std::vector<int> &refusals)
    {
        this->caller.send(this->rest);
        const bool isAdmittedLater =
            this->step == Step::HeadHalfSent || this->step == Step::ConnectionIdle;
        int status = this->caller.readStatus();
        this->check(status, isAdmittedLater, refusals);
        if (this->step != Step::PipelinedBehindAStream)
            return;
        status = this->caller.readStatus();
        this->check(status, true, refusals);
    }

private:
    void check(int status, bool isAdmittedLater, const std::vector<int> &refusals) const
    {
        const bool isRefused = isAdmittedLater
            && std::find(refusals.begin(), refusals.end(), status) != refusals.end();
        // The limits under which a head began hold for it.
        const bool isLimit = status == 431 || status == 413 || status == 408;
        const bool isAllowed =
            status == 200 || (isRefused && !(isLimit && this->step == Step::HeadHalfSent));
        EXPECT_TRUE(isAllowed) << "status " << status << " at step "
                               << static_cast<int>(this->step);
    }

    Step step;
    SlowCaller caller;
    std::string rest;
};

// Guards against a request that ends without an answer, or is refused although the version under
// which it began allows it, because the configuration changes while it is in progress.
TEST_F(ConfigurationChange, EndsNoRequestInProgress)
{
    this->startAll();
    for (const Change &change : changes()) {
        SCOPED_TRACE(change.name);
        // The change meets streams before their first event, and then while they run.
        for (const bool isStreamRunning : {false, true}) {
            std::vector<std::unique_ptr<RequestInProgress>> requests;
            for (const Step step : kSteps) {
                if ((step == Step::StreamRunning) != isStreamRunning)
                    continue;
                requests.push_back(
                    std::make_unique<RequestInProgress>(step, this->deployment.callerAddress(0)));
                requests.back()->begin([this](const std::string &path, const std::string &header) {
                    return this->head(path, header);
                });
            }
            absl::SleepFor(absl::Milliseconds(50));
            for (const auto &request : requests)
                request->reach();
            this->configure(change.apply);
            ASSERT_TRUE(this->isApplied());
            for (const auto &request : requests)
                request->end(change.refusals);
            this->configure([](Json &) {});
            ASSERT_TRUE(this->isApplied());
        }
    }
}

} // namespace
} // namespace foxtailtally
