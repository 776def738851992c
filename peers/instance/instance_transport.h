#pragma once

#include "core/metrics.h"
#include "peers/instance/envelope.h"

#include <absl/time/time.h>
#include <functional>
#include <memory>
#include <string>

namespace foxtailtally {

struct InstanceTransportOptions
{
    InstanceId self;
    Incarnation incarnation = 0;
    /** UDP and TCP use the same address and port. */
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string secret;
};

/**
 * Datagrams and calls between instances, handled by one thread. Invalid messages are dropped and
 * counted by error in foxtailtally_peer_messages_dropped_total.
 */
class InstanceTransport
{
public:
    /** Sends the reply to a call; may be called once, from any thread. */
    using Reply = std::function<void(MessageKind kind, std::string payload)>;
    /** Called on the transport's thread for each valid message; must not block. */
    using Handler = std::function<void(const Envelope &message, Reply reply)>;
    /** Receives the reply to a call, or Timeout, ConnectionFailed or ConnectionLost. */
    using Callback = std::function<void(Result<Envelope> reply)>;

    static Result<std::unique_ptr<InstanceTransport>> start(const InstanceTransportOptions &options,
                                                            Handler handler, Metrics &metrics);
    ~InstanceTransport();
    InstanceTransport(const InstanceTransport &) = delete;
    InstanceTransport &operator=(const InstanceTransport &) = delete;

    /** Sends one datagram to @p address ("ip:port"); drops it above kMaxDatagramBytes. */
    void sendDatagram(const std::string &address, MessageKind kind, std::string payload);
    /** Sends a message that expects no reply over TCP. */
    void send(const std::string &address, MessageKind kind, std::string payload);
    /** Sends a request over TCP; @p callback is called exactly once on the transport's thread. */
    void call(const std::string &address, MessageKind kind, std::string payload,
              absl::Duration timeout, Callback callback);

    std::uint16_t port() const;

private:
    class Implementation;
    explicit InstanceTransport(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

} // namespace foxtailtally
