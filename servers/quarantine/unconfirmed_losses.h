#pragma once

#include "core/ids.h"
#include "servers/catalog/server_directory.h"
#include "servers/quarantine/crash_report.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

/** Call that was lost at a server which was silent, could not be connected to or has dropped an
 * idle connection. The server may have ended, or may go on in a moment. */
struct UnconfirmedLoss
{
    std::string callId;
    BackendServerId server;
    Incarnation incarnation = 0;
    CallFingerprints running;
    /** Ids of the parts of the prompt, in the order of running.parts. */
    std::vector<std::string> partIds;
    /** Time of the last byte from the server, or at which the call was sent to it. */
    absl::Time silentSince;
    /** An idle connection was closed when the call was sent on it, so the process was not silent.
     */
    bool wasDropped = false;
    /** How long the dropped connection had been idle. */
    absl::Duration idleTime = absl::ZeroDuration();
    absl::Time lostAt;
    /** See CrashReport. */
    absl::Time causeSince;
    bool wasTrial = false;
};

enum class LossVerdict : std::uint8_t {
    /** The process has ended; the loss is a death of the server. */
    Ended,
    /** The process was heard after the loss. */
    Heard,
    /** Nothing has shown what became of the process. */
    Expired,
};

/** A loss that is no longer kept, and why. */
struct DecidedLoss
{
    UnconfirmedLoss loss;
    LossVerdict verdict = LossVerdict::Expired;
};

/**
 * Losses that are no deaths of servers until the end of the process is certain: silence and
 * connections that time out are also seen while the network drops packets or a server pauses, and
 * servers drop idle connections.
 *
 * Evidence of the end is a refused connection, for silent servers also a closed or reset one, a
 * newer incarnation in the platform's list, or the removal of the server's entry. A loss is dropped
 * when the server is heard.
 *
 * A server that restarts accepts connections at the same address before its new entry is known
 * here, so an accepted connection shows only after kRegistrationDelay which process accepted it.
 * Bytes on a connection that was open before the silence come from the process that was silent.
 * Those that were received before a loss may be read after it, so for a dropped connection only
 * calls and connections count that began later.
 */
class UnconfirmedLosses
{
public:
    /** Time for which a loss is kept. The platform removes the entry of a server that has ended
     * within six seconds, and ServerDirectory::lapseGrace() later it is gone; less than
     * kServedPartRetention, within which reports of crashes must come. */
    static constexpr absl::Duration kRetention = absl::Seconds(8);
    /** Time from the first connection that a restarted server accepts until its new incarnation is
     * known here; shorter than a restart takes. */
    static constexpr absl::Duration kRegistrationDelay = absl::Milliseconds(700);
    static constexpr std::size_t kMaxLosses = 1024;

    /** False when the table is full; the loss is not kept then. */
    bool add(UnconfirmedLoss loss);
    /** The server has sent bytes on, or has accepted, a connection that was opened at
     * @p connectedAt. */
    void onHeard(ServerKey server, absl::Time connectedAt, absl::Time now);
    /** A connection to the server was refused. */
    void onRefused(ServerKey server);
    /** An established connection to the server was closed or reset. That confirms the loss of a
     * call at a silent server; a server that drops connections may close several. */
    void onBroken(ServerKey server);
    /** Returns the losses that are decided by now and drops them. Called often enough that a server
     * cannot be heard, end and return within two calls. */
    std::vector<DecidedLoss> takeDecided(const ServerDirectory &directory, absl::Time now);

    std::size_t size() const { return this->count; }

private:
    struct Entry
    {
        UnconfirmedLoss loss;
        /** First accepted connection since the loss. */
        absl::Time heardAt = absl::InfiniteFuture();
        bool isBroken = false;
        /** The process that was silent has sent bytes. */
        bool isAlive = false;
    };

    /** Whether the list shows that the process has ended. */
    static bool hasEnded(const Entry &entry, const ServerDirectory &directory);
    static void breakOff(Entry &entry);
    /** None while the loss has to be kept. */
    static std::optional<LossVerdict> verdict(const Entry &entry, const ServerDirectory &directory,
                                              absl::Time now);

    absl::flat_hash_map<ServerKey, std::vector<Entry>> entries;
    std::size_t count = 0;
};

} // namespace foxtailtally
