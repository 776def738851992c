#pragma once

#include "core/ids.h"
#include "servers/catalog/server_directory.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtailtally {

/** What one stream asks of one server: its own, or one that reads a part of its prompt. */
struct StreamPart
{
    ServerKey server = 0;
    /** Unique at the instance that placed the stream. */
    std::uint32_t stream = 0;
    absl::Time placedAt;
    /** Time that the server needs to read its part when it does nothing else. */
    float readMs = 0;
    /** Tokens of memory held at this server. */
    std::uint32_t memoryTokens = 0;
    /** The first event has arrived: the stream writes. */
    bool isWriting = false;
    /** The server reads for another one and writes nothing for this stream. */
    bool isHelper = false;
    /** One of several parts of a prompt; engines read these ahead of whole prompts. */
    bool isSplit = false;
    /** Already too late for its objectives; further delay costs its caller nothing more. */
    bool isLate = false;
    std::uint16_t pauseObjectiveMs = 0;
    /** Time from placedAt by which the first event is due. */
    std::uint16_t firstEventDueMs = 0;
    /** What an answer on time is worth to the caller, compared with other streams. */
    float value = 0;
};

/** Load of one server as its known streams make it. */
struct ServerLoad
{
    /** Streams that occupy a slot. */
    std::int64_t streams = 0;
    std::int64_t writers = 0;
    std::int64_t memoryTokens = 0;
    /** Time until the reads that are placed are done. */
    double readLeftMs = 0;
    /** The part of it that is taken up by parts of split prompts. */
    double splitLeftMs = 0;
    std::vector<const StreamPart *> parts;
};

/**
 * Streams in work at engines, those of this instance and those that other instances have told of.
 * What another instance told is dropped when it has been silent for kPeerSilence.
 */
class StreamLedger
{
public:
    /** Six times the longest interval between two reports of an instance. */
    static constexpr absl::Duration kPeerSilence = absl::Seconds(3);

    /** Adds the parts of one own stream. */
    void place(std::span<const StreamPart> parts);
    void onFirstEvent(std::uint32_t stream);
    void onLate(std::uint32_t stream);
    void remove(std::uint32_t stream);

    /** Replaces all that @p instance has told before. */
    void replacePeer(const InstanceId &instance, std::vector<StreamPart> parts, absl::Time now);
    void onTick(absl::Time now);

    const std::vector<StreamPart> &own() const { return this->ownParts; }
    std::size_t peerCount() const { return this->peers.size(); }

    /** Load of each server that has any. */
    absl::flat_hash_map<ServerKey, ServerLoad> loads(absl::Time now) const;

private:
    struct Peer
    {
        std::vector<StreamPart> parts;
        absl::Time heardAt;
    };

    std::vector<StreamPart> ownParts;
    absl::flat_hash_map<InstanceId, Peer> peers;
};

} // namespace foxtailtally
