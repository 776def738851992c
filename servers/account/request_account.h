#pragma once

#include <absl/container/btree_map.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace foxtailtally {

/** How a request whose head was read whole has ended. */
enum class RequestEnd {
    /** The caller got a complete response, be it a failure. */
    Answered,
    /** The caller got a complete response which says that the request has not run. */
    Refused,
    /** The caller closed or lost its connection first. */
    GivenUp,
    /** The connection ended without a complete response, and not by the caller. */
    Lost,
};

inline constexpr std::size_t kRequestEnds = 4;

/** Stable snake_case name for logs and metrics. */
std::string_view requestEndName(RequestEnd end);

class RequestAccount;

/** The place of one request in the account, from its head to its end. */
class OpenRequest
{
public:
    /** Stands for no request. */
    OpenRequest() = default;
    OpenRequest(OpenRequest &&other) noexcept;
    OpenRequest &operator=(OpenRequest &&other) noexcept;
    /** A request that is still open ends as lost: nothing can answer it any more. */
    ~OpenRequest();

    bool isOpen() const { return this->account != nullptr; }
    /** Counts the end of the request. Returns false if it has ended before. */
    bool end(RequestEnd end, std::string_view cause);

private:
    friend class RequestAccount;
    explicit OpenRequest(RequestAccount &account)
        : account(&account)
    { }
    /** Ends a request that no one can answer; never throws. */
    void abandon() noexcept;

    RequestAccount *account = nullptr;
};

/**
 * Counts the requests of an instance: each one that has begun is in progress until it ends, once.
 * Outlives its OpenRequests.
 */
class RequestAccount
{
public:
    /** Cause of requests whose OpenRequest was destroyed before they ended. */
    static constexpr std::string_view kAbandoned = "abandoned";

    OpenRequest begin();
    std::uint64_t begun() const { return this->begunRequests; }
    std::uint64_t inProgress() const { return this->openRequests; }
    /** Requests that have ended in any way. */
    std::uint64_t ended() const;
    std::uint64_t ended(RequestEnd end) const;
    std::uint64_t ended(RequestEnd end, std::string_view cause) const;
    /** Whether every request that has begun has ended or is in progress, and @p sessionRequests,
     * those that sessions have open, are the ones in progress. */
    bool isBalanced(std::uint64_t sessionRequests) const;
    /** Text exposition format of Prometheus. */
    std::string exposition() const;

private:
    friend class OpenRequest;
    using Causes = absl::btree_map<std::string, std::uint64_t, std::less<>>;

    void onEnded(RequestEnd end, std::string_view cause);

    std::uint64_t begunRequests = 0;
    std::uint64_t openRequests = 0;
    std::array<Causes, kRequestEnds> ends;
};

} // namespace foxtailtally
