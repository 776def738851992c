#include "load/generator/load_generator.h"

#include "core/clock.h"
#include "core/lock.h"
#include "core/text.h"
#include "load/generator/answer_check.h"
#include "peers/http/http_client.h"
#include "standins/lib/token_text.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <pthread.h>
#include <utility>

namespace foxtailtally {

namespace {

/** The HTTP time-out of a request is its deadline plus this time. */
constexpr absl::Duration kResponseGrace = absl::Seconds(15);
/** Interval at which the reads of slow readers are paused or resumed. */
constexpr absl::Duration kThrottleInterval = absl::Milliseconds(100);
constexpr std::size_t kMaxReplyBytes = std::size_t {1} << 20;
constexpr int kStatusOk = 200;

} // namespace

/** Records of the requests sent; shared by the sending thread and the client's threads. */
class LoadGenerator::Calls
{
public:
    Calls() = default;
    Calls(const Calls &) = delete;
    Calls &operator=(const Calls &) = delete;
    ~Calls() { pthread_mutex_destroy(&this->mutex); }

    void add()
    {
        const Lock lock(this->mutex);
        ++this->openCount;
    }
    void end(LoadRecord record)
    {
        const Lock lock(this->mutex);
        this->records.push_back(std::move(record));
        --this->openCount;
    }
    bool isEmpty() const
    {
        const Lock lock(this->mutex);
        return this->openCount == 0;
    }
    std::vector<LoadRecord> takeRecords()
    {
        const Lock lock(this->mutex);
        return std::move(this->records);
    }

private:
    mutable pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    std::size_t openCount = 0;
    std::vector<LoadRecord> records;
};

/** One request; its listener methods all run on the same thread of the client. */
class LoadGenerator::Call final : public HttpStreamListener
{
public:
    Call(LoadRecord record, absl::Time intendedAt, absl::Duration deadline, AnswerCheck check,
         bool isAction, bool isSlowReader, Calls &calls)
        : record(std::move(record))
        , intendedAt(intendedAt)
        , sentAt(Clock::now())
        , deadline(deadline)
        , check(std::move(check))
        , isAction(isAction)
        , isSlowReader(isSlowReader)
        , calls(calls)
    { }

    void onStatus(int status) override { this->record.status = status; }

    void onData(std::string_view data) override
    {
        if (this->record.status != kStatusOk || this->isAction) {
            if (this->body.size() + data.size() <= kMaxReplyBytes)
                this->body.append(data);
            return;
        }
        this->check.feed(data);
        if (this->check.received() > 0 && this->record.timeToFirstToken == absl::ZeroDuration())
            this->record.timeToFirstToken = Clock::now() - this->intendedAt;
        this->receivedBytes.fetch_add(static_cast<std::int64_t>(data.size()));
    }

    void onDone(std::error_code error) override
    {
        const absl::Time now = Clock::now();
        this->record.total = now - this->intendedAt;
        this->record.tokens = this->check.received();
        this->record.isMixUp = this->check.hasMixUp();
        this->record.hasGap = this->check.hasGap();
        this->classify(error, now - this->sentAt);
        this->isEnded.store(true);
        this->calls.end(std::move(this->record));
    }

    bool needsThrottling() const { return this->isSlowReader && !this->isEnded.load(); }
    /** Bytes read since the last call. */
    std::int64_t takeReceivedBytes() { return this->receivedBytes.exchange(0); }

private:
    void classify(std::error_code error, absl::Duration elapsed)
    {
        CallerRefusal refusal = this->check.refusal();
        bool isRefused = this->check.isRefused();
        if (this->record.status != kStatusOk && this->record.status != 0)
            isRefused = parseRefusal(this->body, refusal);
        if (isRefused) {
            this->record.outcome = LoadOutcome::Refused;
            this->record.reason = refusal.type;
            this->record.notRun = refusal.notRun;
            this->record.isUntrueRefusal = refusal.notRun && this->check.received() > 0;
        } else if (this->record.status == 0) {
            this->record.outcome = error == Error::ConnectionFailed ? LoadOutcome::Unreachable
                                                                    : LoadOutcome::Truncated;
            this->record.reason = std::string(errorName(error));
        } else if (this->record.isMixUp || this->record.hasGap || this->check.isMalformed()
                   || this->record.status != kStatusOk) {
            this->record.outcome = LoadOutcome::Wrong;
        } else if (this->isSlowReader && (error == Error::Timeout || elapsed > this->deadline)) {
            // The slow reader needed longer than the deadline; the system itself is not late.
            this->record.outcome = LoadOutcome::SlowReader;
        } else if (error || !(this->isAction || this->check.isComplete())) {
            this->record.outcome = LoadOutcome::Truncated;
            this->record.reason = error ? std::string(errorName(error)) : "incomplete";
        } else {
            this->record.outcome = elapsed <= this->deadline ? LoadOutcome::Ok : LoadOutcome::Late;
        }
    }

    LoadRecord record;
    absl::Time intendedAt;
    absl::Time sentAt;
    absl::Duration deadline;
    AnswerCheck check;
    bool isAction;
    bool isSlowReader;
    Calls &calls;
    std::string body;
    std::atomic<std::int64_t> receivedBytes {0};
    std::atomic<bool> isEnded {false};
};

LoadGenerator::LoadGenerator(GeneratorOptions options)
    : options(std::move(options))
    , calls(std::make_unique<Calls>())
{ }

LoadGenerator::~LoadGenerator() = default;

namespace {

std::string requestBody(const TracedRequest &request, const std::string &model,
                        const std::string &prompt)
{
    return nlohmann::json {{"model", model},
                           {"stream", true},
                           {"max_tokens", request.profile.maxNewTokens},
                           {"messages", {{{"role", "user"}, {"content", prompt}}}}}
        .dump();
}

HttpCall makeCall(const GeneratorOptions &options, const TracedRequest &request,
                  const RequestKind &kind, std::size_t index, const std::string &key)
{
    const auto token = options.customerTokens.find(request.profile.customer.str());
    HttpCall call;
    call.method = "POST";
    call.url = options.entries[index % options.entries.size()];
    call.headers = {
        absl::StrCat("Authorization: Bearer ",
                     token == options.customerTokens.end() ? options.token : token->second),
        "Content-Type: application/json",
        absl::StrCat("X-Request-Class: ", asAbsl(requestClassName(request.profile.requestClass))),
        absl::StrCat("X-Deadline-Ms: ", absl::ToInt64Milliseconds(request.deadline)),
        absl::StrCat("Idempotency-Key: ", key),
    };
    if (kind.service.empty())
        call.url += "/v1/chat/completions";
    else
        absl::StrAppend(&call.url, "/v1/services/", asAbsl(kind.service), "/", asAbsl(kind.action));
    call.timeout = request.deadline + kResponseGrace;
    return call;
}

/** Read-rate limit of one slow reader. */
struct ReadThrottle
{
    HttpCallId id = 0;
    /** Bytes that the reader may still read; negative after a read larger than its rate. */
    std::int64_t allowance = 0;
    bool isPaused = false;
};

} // namespace

std::vector<LoadRecord> LoadGenerator::run()
{
    const std::vector<TracedRequest> trace = generateTrace(this->options.trace);
    const Deployment &deployment = *this->options.trace.deployment;
    const std::string model =
        this->options.model.empty() ? std::string(deployment.model) : this->options.model;
    // The client's threads use this->calls until the client's destructor has returned.
    HttpClient client(this->options.threads);
    std::vector<std::pair<std::shared_ptr<Call>, ReadThrottle>> slowReaders;
    const absl::Time start = Clock::now();
    const std::int64_t keyDate = absl::ToUnixSeconds(Clock::wallNow());
    absl::Time lastThrottledAt = start;
    const auto throttleSlowReaders = [&]() {
        const absl::Time now = Clock::now();
        if (now - lastThrottledAt < kThrottleInterval)
            return;
        const auto refill =
            static_cast<std::int64_t>(static_cast<double>(this->options.slowReaderBytes)
                                      * absl::ToDoubleSeconds(now - lastThrottledAt));
        lastThrottledAt = now;
        std::erase_if(slowReaders, [](const auto &item) { return !item.first->needsThrottling(); });
        for (auto &[call, throttle] : slowReaders) {
            throttle.allowance += refill - call->takeReceivedBytes();
            throttle.allowance = std::min(throttle.allowance, this->options.slowReaderBytes);
            if (throttle.allowance < 0 && !throttle.isPaused)
                client.pause(throttle.id);
            else if (throttle.allowance >= 0 && throttle.isPaused)
                client.resume(throttle.id);
            throttle.isPaused = throttle.allowance < 0;
        }
    };
    const auto waitUntil = [&](absl::Time time) {
        while (Clock::now() < time) {
            throttleSlowReaders();
            absl::SleepFor(
                std::clamp(time - Clock::now(), absl::ZeroDuration(), kThrottleInterval));
        }
    };
    for (std::size_t i = 0; i < trace.size(); ++i) {
        const TracedRequest &request = trace[i];
        const RequestKind &kind = deployment.kinds[request.kind];
        const std::string prompt = promptText(request);
        const std::string key =
            absl::StrCat(keyDate + absl::ToInt64Seconds(trace[request.original].sendAt), "-",
                         keyDate, "-", this->options.trace.seed, "-", request.original);
        HttpCall call = makeCall(this->options, request, kind, i, key);
        call.body = kind.service.empty()
            ? requestBody(request, model, prompt)
            : nlohmann::json {{"body", absl::StrCat("entry ", request.original)}}.dump();
        const absl::Time intendedAt = start + request.sendAt;
        waitUntil(intendedAt);
        LoadRecord record;
        record.id = request.profile.id.str();
        record.kind = std::string(kind.name);
        record.requestClass = request.profile.requestClass;
        record.promptTokens = request.profile.promptTokens;
        record.sendAt = request.sendAt;
        record.sendDelay = Clock::now() - intendedAt;
        const AnswerCheck check(answerKeyOf(prompt), request.profile.maxNewTokens);
        const auto listener =
            std::make_shared<Call>(std::move(record), intendedAt, request.deadline, check,
                                   !kind.service.empty(), request.isSlowReader, *this->calls);
        this->calls->add();
        const HttpCallId id = client.start(call, listener);
        if (request.isSlowReader)
            slowReaders.push_back({listener, {id, this->options.slowReaderBytes, false}});
    }
    while (!this->calls->isEmpty()) {
        throttleSlowReaders();
        absl::SleepFor(kThrottleInterval / 10);
    }
    return this->calls->takeRecords();
}

} // namespace foxtailtally
