#pragma once

#include "core/ids.h"
#include "peers/http/loop_timer.h"
#include "servers/catalog/store_source.h"
#include "servers/placement/server_health.h"
#include "servers/placement/stream_ledger.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

struct event;
struct event_base;
struct sockaddr_in;

namespace foxtailtally {

/**
 * Tells the other instances, by datagrams, which streams this one has placed and which servers it
 * holds for suspect, and takes in what they tell. Each datagram carries all of it, so a lost one
 * costs nothing but its age.
 */
class InstanceExchange
{
public:
    InstanceExchange(event_base *base, const InstanceId &self, StreamLedger &ledger,
                     ServerHealth &health, StoreSource &storeSource);
    ~InstanceExchange();
    InstanceExchange(const InstanceExchange &) = delete;
    InstanceExchange &operator=(const InstanceExchange &) = delete;

    /** Binds @p address, "ip:port". */
    std::error_code start(const std::string &address);
    void setPeer(const InstanceId &instance, const std::string &address);
    void removePeer(const InstanceId &instance);
    /** Sends soon what has changed in the ledger. */
    void onLedgerChanged();
    /** A server became suspect at this instance. */
    void onSuspicion(ServerKey server);

    /** Instances that take part, this one included. */
    std::size_t instanceCount() const { return this->ledger.peerCount() + 1; }

private:
    void send();
    void receive();
    void onDatagram(std::span<const char> bytes, absl::Time now);

    event_base *base;
    InstanceId self;
    StreamLedger &ledger;
    ServerHealth &health;
    StoreSource &storeSource;
    LoopTimer timer;
    event *readable = nullptr;
    int socket = -1;
    absl::flat_hash_map<InstanceId, std::string> peers;
    absl::Time lastSentAt = absl::InfinitePast();
    bool isScheduled = false;
    std::vector<ServerKey> suspects;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    struct PeerSequence
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };
    absl::flat_hash_map<InstanceId, PeerSequence> lastSequence;
};

} // namespace foxtailtally
