#include "servers/placement/stream_ledger.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace foxtailtally {

namespace {

/** Share of a read's planned time that is assumed to be left once the plan is over. */
constexpr double kOverdueShare = 0.15;

void add(ServerLoad &load, const StreamPart &part)
{
    load.parts.push_back(&part);
    load.memoryTokens += part.memoryTokens;
    if (part.isHelper)
        return;
    ++load.streams;
    if (part.isWriting)
        ++load.writers;
}

/** Time left of reads that are done one after the other: none but the oldest has made progress. */
class ReadQueue
{
public:
    void add(const StreamPart &part, absl::Time now)
    {
        const double elapsed = absl::ToDoubleMilliseconds(now - part.placedAt);
        const double progress = this->isEmpty ? std::max(0.0, elapsed) : 0.0;
        this->left += std::max(kOverdueShare * part.readMs, part.readMs - progress);
        this->isEmpty = false;
    }
    double leftMs() const { return this->left; }

private:
    double left = 0;
    bool isEmpty = true;
};

void countReads(ServerLoad &load, absl::Time now)
{
    std::sort(load.parts.begin(), load.parts.end(),
              [](const StreamPart *a, const StreamPart *b) { return a->placedAt < b->placedAt; });
    ReadQueue splitParts;
    ReadQueue wholePrompts;
    for (const StreamPart *part : load.parts) {
        if (!part->isWriting)
            (part->isSplit ? splitParts : wholePrompts).add(*part, now);
    }
    load.splitLeftMs = splitParts.leftMs();
    load.readLeftMs = splitParts.leftMs() + wholePrompts.leftMs();
}

} // namespace

void StreamLedger::place(std::span<const StreamPart> parts)
{
    this->ownParts.insert(this->ownParts.end(), parts.begin(), parts.end());
}

void StreamLedger::onFirstEvent(std::uint32_t stream)
{
    // Helpers are done with their reads once the first event is out.
    std::erase_if(this->ownParts, [stream](const StreamPart &part) {
        return part.stream == stream && part.isHelper && part.memoryTokens == 0;
    });
    for (StreamPart &part : this->ownParts) {
        if (part.stream == stream)
            part.isWriting = true;
    }
}

void StreamLedger::onLate(std::uint32_t stream)
{
    for (StreamPart &part : this->ownParts) {
        if (part.stream == stream)
            part.isLate = true;
    }
}

void StreamLedger::remove(std::uint32_t stream)
{
    std::erase_if(this->ownParts,
                  [stream](const StreamPart &part) { return part.stream == stream; });
}

void StreamLedger::replacePeer(const InstanceId &instance, std::vector<StreamPart> parts,
                               absl::Time now)
{
    this->peers[instance] = {std::move(parts), now};
}

void StreamLedger::onTick(absl::Time now)
{
    absl::erase_if(this->peers,
                   [now](const auto &item) { return now - item.second.heardAt > kPeerSilence; });
}

absl::flat_hash_map<ServerKey, ServerLoad> StreamLedger::loads(absl::Time now) const
{
    absl::flat_hash_map<ServerKey, ServerLoad> result;
    for (const StreamPart &part : this->ownParts)
        add(result[part.server], part);
    for (const auto &[instance, peer] : this->peers) {
        for (const StreamPart &part : peer.parts)
            add(result[part.server], part);
    }
    for (auto &[server, load] : result)
        countReads(load, now);
    return result;
}

} // namespace foxtailtally
