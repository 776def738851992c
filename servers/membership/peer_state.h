#pragma once

#include <cstdint>
#include <string_view>

namespace foxtailtally {

/** State of an instance as another one sees it. Values are part of the wire format. */
enum class PeerState : std::uint8_t {
    Alive = 0,
    /** Probes went unanswered; counts as live until the suspicion ends. */
    Suspect = 1,
    /** Shutting down gracefully; still answers. */
    Leaving = 2,
    Dead = 3,
};

/** Stable snake_case name for logs, metrics and JSON. */
std::string_view peerStateName(PeerState state);

/** Whether an instance in @p state may own groups and take new work. */
constexpr bool isServing(PeerState state)
{
    return state == PeerState::Alive || state == PeerState::Suspect;
}

} // namespace foxtailtally
