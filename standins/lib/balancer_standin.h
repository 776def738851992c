#pragma once

#include "core/thread.h"
#include "standins/lib/health_poller.h"
#include "standins/lib/tcp_socket.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

struct BalancerOptions
{
    std::string address = "127.0.0.1";
    /** 0 lets the system choose. */
    std::uint16_t port = 0;
    /** Interval of the health checks, and thus the delay until a readiness change takes effect. */
    absl::Duration pollInterval = absl::Milliseconds(500);
};

/**
 * Stand-in for the platform's TCP load balancer. Distributes connections round-robin over the
 * ready entry instances and uses HTTP for the health check only. A connection is closed at once if
 * no instance is ready.
 */
class BalancerStandin
{
public:
    static Result<std::unique_ptr<BalancerStandin>> start(const BalancerOptions &options,
                                                          std::vector<std::string> backends);
    ~BalancerStandin();
    BalancerStandin(const BalancerStandin &) = delete;
    BalancerStandin &operator=(const BalancerStandin &) = delete;

    std::uint16_t port() const { return this->listener.localPort(); }

private:
    /** One direction of a forwarded connection. */
    struct Pipe
    {
        std::string buffer;
        /** The source has shut down its sending side. */
        bool isEnded = false;
        bool isEndForwarded = false;
    };
    struct Connection
    {
        TcpSocket client;
        TcpSocket backend;
        Pipe request;
        Pipe response;
        bool isBackendConnected = false;
    };

    BalancerStandin(TcpSocket listener, std::vector<std::string> backends,
                    absl::Duration pollInterval);

    void run();
    void acceptAll();
    /** Moves data in both directions; false when the connection has ended. */
    bool forward(Connection &connection);
    void watch(const Connection &connection) const;
    void setInterest(int descriptor, std::uint32_t events) const;

    TcpSocket listener;
    HealthPoller poller;
    TcpSocket events;
    TcpSocket wakeup;
    std::atomic<bool> isStopping {false};
    /** By socket descriptor; each connection is entered under both of its descriptors. */
    absl::flat_hash_map<int, std::shared_ptr<Connection>> connections;
    Thread thread;
};

} // namespace foxtailtally
