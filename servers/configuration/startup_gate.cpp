#include "servers/configuration/startup_gate.h"

#include <algorithm>

namespace foxtailtally {

StartupGate::StartupGate(absl::Span<const InstanceId> seedPeers)
{
    for (Answers &answer : this->answers)
        for (const InstanceId &peer : seedPeers)
            answer.peers[peer] = std::nullopt;
}

void StartupGate::onPlatformAnswer(DocumentKind kind, std::uint64_t number)
{
    std::optional<std::uint64_t> &known = this->answers[indexOf(kind)].platform;
    known = std::max(known.value_or(0), number);
}

void StartupGate::onPeerAnswer(const InstanceId &peer, DocumentKind kind, bool isSettled,
                               std::uint64_t number)
{
    Answers &answer = this->answers[indexOf(kind)];
    const auto found = answer.peers.find(peer);
    if (!isSettled || found == answer.peers.end())
        return;
    found->second = std::max(found->second.value_or(0), number);
}

std::optional<std::uint64_t> StartupGate::requiredNumber(DocumentKind kind) const
{
    const Answers &answer = this->answers[indexOf(kind)];
    if (answer.platform)
        return answer.platform;
    if (!answer.isAnsweredByAllPeers())
        return std::nullopt;
    return this->highestPeerAnswer(kind);
}

std::uint64_t StartupGate::highestPeerAnswer(DocumentKind kind) const
{
    std::uint64_t highest = 0;
    for (const auto &[peer, number] : this->answers[indexOf(kind)].peers)
        highest = std::max(highest, number.value_or(0));
    return highest;
}

bool StartupGate::Answers::isAnsweredByAllPeers() const
{
    return !this->peers.empty()
        && std::all_of(this->peers.begin(), this->peers.end(),
                       [](const auto &item) { return item.second.has_value(); });
}

bool StartupGate::isOpenFor(const DocumentNumbers &held) const
{
    return std::all_of(kDocumentKinds.begin(), kDocumentKinds.end(), [&](DocumentKind kind) {
        const auto required = this->requiredNumber(kind);
        return required && held[indexOf(kind)] >= *required;
    });
}

bool StartupGate::isSeed(const InstanceId &peer) const
{
    return this->answers.front().peers.contains(peer);
}

std::vector<InstanceId> StartupGate::unanswered(DocumentKind kind) const
{
    std::vector<InstanceId> peers;
    for (const auto &[peer, number] : this->answers[indexOf(kind)].peers)
        if (!number)
            peers.push_back(peer);
    return peers;
}

} // namespace foxtailtally
