#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace foxtailtally {

/** What ScriptedServers send in response to one request. */
struct ScriptedReply
{
    enum class Ending { Keep, Close, Reset };

    std::string bytes;
    /** What happens to the connection after the bytes. */
    Ending ending = Ending::Keep;
    /** Sent before bytes, and received apart from them. */
    std::string firstBytes = {};
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
    /** The requests received since setScript(), with their heads and bodies. */
    std::vector<std::string> requests();

private:
    struct Connection
    {
        int socket = -1;
        std::string received;
    };

    void serve();
    /** Responds to the requests received on @p connection; false once it is closed. */
    bool advance(Connection &connection);
    ScriptedReply nextReply(const std::string &request);

    std::vector<int> listeners;
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    Script script;
    std::vector<std::string> seen;
    std::thread thread;
};

} // namespace foxtailtally
