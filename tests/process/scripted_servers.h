#pragma once

#include <absl/time/time.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace foxtailtally {

/** What ScriptedServers send in response to one request. */
struct ScriptedReply
{
    /** CloseThenReset: the connection is reset a moment after its end has been sent. */
    enum class Ending { Keep, Close, Reset, CloseThenReset };

    std::string bytes;
    /** What happens to the connection after the bytes. */
    Ending ending = Ending::Keep;
    /** Sent before bytes, and received apart from them. */
    std::string firstBytes = {};
    /** Time between the request, or firstBytes, and bytes; other requests are served meanwhile. */
    absl::Duration delay = absl::ZeroDuration();
};

/** Backend servers that send given bytes in response to each request, whatever it asks for. */
class ScriptedServers
{
public:
    /** @p addresses: "ip:port" each, unused. */
    explicit ScriptedServers(const std::vector<std::string> &addresses);
    ~ScriptedServers();
    ScriptedServers(const ScriptedServers &) = delete;
    ScriptedServers &operator=(const ScriptedServers &) = delete;

    /** Decides the response to the request @p number, from 0, at any of the addresses. */
    using Script = std::function<ScriptedReply(std::size_t number, const std::string &request)>;

    /** Begins a new script. Before the first one, connections are closed at each request. */
    void setScript(Script script);
    /** Responses are sent once the head of a request has arrived, before most of a long body has
     * been read. A connection carries one request then. */
    void respondBeforeBodies() { this->isEarly = true; }
    /** The requests received since setScript(), with their heads and bodies. */
    std::vector<std::string> requests();
    /** Connections that have rested for longer than @p time are reset by whatever is sent on them
     * next, without a notice before. */
    void forgetIdleConnections(absl::Duration time);
    /** Connections that were reset for that reason. */
    int forgottenConnections() const { return this->forgotten; }

private:
    struct Connection
    {
        int socket = -1;
        std::string received;
        /** A response that is sent later. */
        std::optional<ScriptedReply> pending = std::nullopt;
        absl::Time dueAt;
        /** When the last response was complete; never before the first one. */
        absl::Time restsSince = absl::InfiniteFuture();
    };

    void serve();
    bool isForgotten(const Connection &connection);
    /** Responds to the requests received on @p connection; false once it is closed. */
    bool advance(Connection &connection);
    /** Sends the rest of @p reply; false once the connection is closed. */
    static bool finish(Connection &connection, const ScriptedReply &reply);
    ScriptedReply nextReply(const std::string &request);

    std::vector<int> listeners;
    std::atomic<bool> isStopping = false;
    std::atomic<int> forgotten = 0;
    std::atomic<bool> isEarly = false;
    std::mutex mutex;
    absl::Duration maxRest = absl::InfiniteDuration();
    Script script;
    std::vector<std::string> seen;
    std::thread thread;
};

} // namespace foxtailtally
