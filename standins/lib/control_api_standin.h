#pragma once

#include "core/lock.h"
#include "core/result.h"
#include "peers/http/http_server.h"

#include <absl/time/time.h>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** A call that the control API has received. */
struct ControlCallRecord
{
    absl::Time at;
    std::string path;
    std::string holder;
    std::int64_t token = 0;
    /** What the token protects: usage, or the servers of one service in one domain. */
    std::string duty;
    /** JSON text. */
    std::string body;
    /** 0 if there is no response. */
    int status = 0;
};

enum class ControlApiBehavior {
    Serve,
    /** Responds 429; nothing is done. */
    Refuse,
    /** Carries calls out and never responds. */
    LoseAnswer,
};

/**
 * Stand-in for the control API of the users' platform. It records all calls, also those that it
 * refuses, and finds those that break the rules of one active instance.
 */
class ControlApiStandin
{
public:
    /** Time within which calls must not come from an instance, another one and the first again. */
    static constexpr absl::Duration kLeaseTerm = absl::Seconds(3);

    static Result<std::unique_ptr<ControlApiStandin>> start(const std::string &address,
                                                            std::uint16_t port = 0);

    ~ControlApiStandin();
    ControlApiStandin(const ControlApiStandin &) = delete;
    ControlApiStandin &operator=(const ControlApiStandin &) = delete;

    std::string address() const;
    void setBehavior(ControlApiBehavior behavior);
    std::vector<ControlCallRecord> calls() const;
    /** Accepted reports: counts by customer, by window. */
    std::map<std::int64_t, std::map<std::string, std::int64_t>> reports() const;
    /** Descriptions of calls that break a rule: a token used by two instances or lower than an
     * earlier one for the same duty, calls from an instance, another one and the first again within
     * a term, two accepted reports for a window with different counts. */
    std::vector<std::string> violations() const;

private:
    explicit ControlApiStandin(std::string host)
        : host(std::move(host))
    { }

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    /** Returns the status of the response. */
    int accept(ControlCallRecord &call);
    void checkOrder(const ControlCallRecord &call);

    std::string host;
    mutable pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    ControlApiBehavior behavior = ControlApiBehavior::Serve;
    std::vector<ControlCallRecord> recorded;
    std::map<std::int64_t, std::map<std::string, std::int64_t>> accepted;
    std::vector<std::string> found;
    /** Calls that get no response. */
    std::vector<std::shared_ptr<HttpExchange>> unanswered;
    std::unique_ptr<HttpServer> server;
};

} // namespace foxtailtally
