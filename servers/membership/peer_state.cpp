#include "servers/membership/peer_state.h"

namespace foxtailtally {

std::string_view peerStateName(PeerState state)
{
    switch (state) {
    case PeerState::Alive:
        return "alive";
    case PeerState::Suspect:
        return "suspect";
    case PeerState::Leaving:
        return "leaving";
    case PeerState::Dead:
        return "dead";
    }
    return "unknown";
}

} // namespace foxtailtally
