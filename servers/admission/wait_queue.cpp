#include "servers/admission/wait_queue.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

constexpr std::array<double, kRequestClassCount> kTokenWeights = {8, 4, 1};

double weightOf(RequestClass requestClass)
{
    return kTokenWeights[static_cast<std::size_t>(requestClass)];
}

} // namespace

WaitQueue::ClassQueue &WaitQueue::queueOf(RequestClass requestClass)
{
    return this->classes[static_cast<std::size_t>(requestClass)];
}

const WaitQueue::ClassQueue &WaitQueue::queueOf(RequestClass requestClass) const
{
    return this->classes[static_cast<std::size_t>(requestClass)];
}

bool WaitQueue::push(WaitingRequest waiting)
{
    const RequestProfile &profile = waiting.request.profile;
    ClassQueue &queue = this->queueOf(profile.requestClass);
    if (queue.size >= this->maxPerClass || this->requests.contains(profile.id))
        return false;
    const bool isSpanning = waiting.lane == WaitLane::Spanning;
    if (queue.sizeOnOneServer == 0 && !isSpanning)
        queue.service = std::max(queue.service, this->virtualTime);
    waiting.order = this->nextOrder++;
    auto owned = std::make_unique<WaitingRequest>(std::move(waiting));
    WaitingRequest *entry = owned.get();
    const RequestProfile &kept = entry->request.profile;
    queue.lanes[static_cast<std::size_t>(entry->lane)].emplace(kept.deadline, entry->order, entry);
    ++queue.size;
    queue.sizeOnOneServer += isSpanning ? 0 : 1;
    queue.tokensOnOneServer += isSpanning ? 0 : kept.memoryTokens();
    this->waitingPromptTokens += kept.promptTokens;
    this->byLatestStart.emplace(entry->latestStart, entry->order, entry);
    this->requests.emplace(kept.id, std::move(owned));
    return true;
}

std::optional<WaitingRequest> WaitQueue::remove(const RequestId &request)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return std::nullopt;
    WaitingRequest *entry = found->second.get();
    const RequestProfile &profile = entry->request.profile;
    ClassQueue &queue = this->queueOf(profile.requestClass);
    queue.lanes[static_cast<std::size_t>(entry->lane)].erase(
        {profile.deadline, entry->order, entry});
    --queue.size;
    const bool isSpanning = entry->lane == WaitLane::Spanning;
    queue.sizeOnOneServer -= isSpanning ? 0 : 1;
    queue.tokensOnOneServer -= isSpanning ? 0 : profile.memoryTokens();
    this->waitingPromptTokens -= profile.promptTokens;
    this->byLatestStart.erase({entry->latestStart, entry->order, entry});
    WaitingRequest taken = std::move(*entry);
    this->requests.erase(found);
    return taken;
}

std::vector<RequestClass> WaitQueue::classOrder() const
{
    std::vector<RequestClass> order;
    for (std::size_t i = 0; i < kRequestClassCount; ++i) {
        if (this->classes[i].size > 0)
            order.push_back(static_cast<RequestClass>(i));
    }
    std::stable_sort(order.begin(), order.end(), [this](RequestClass a, RequestClass b) {
        return this->queueOf(a).service < this->queueOf(b).service;
    });
    return order;
}

WaitingRequest *WaitQueue::front(RequestClass requestClass, WaitLane lane)
{
    const auto &entries = this->queueOf(requestClass).lanes[static_cast<std::size_t>(lane)];
    return entries.empty() ? nullptr : std::get<WaitingRequest *>(*entries.begin());
}

void WaitQueue::charge(RequestClass requestClass, std::int64_t tokens)
{
    ClassQueue &queue = this->queueOf(requestClass);
    this->virtualTime = std::max(this->virtualTime, queue.service);
    queue.service += static_cast<double>(tokens) / weightOf(requestClass);
}

std::int64_t WaitQueue::tokensAhead(RequestClass requestClass, WaitLane lane,
                                    absl::Time deadline) const
{
    std::int64_t own = 0;
    for (std::size_t i = 0; i < kWaitLaneCount; ++i) {
        if (static_cast<WaitLane>(i) == WaitLane::Spanning && lane != WaitLane::Spanning)
            continue;
        for (const auto &[time, order, entry] : this->queueOf(requestClass).lanes[i]) {
            if (time > deadline)
                break;
            own += entry->request.profile.memoryTokens();
        }
    }
    std::int64_t ahead = own;
    for (std::size_t i = 0; i < kRequestClassCount; ++i) {
        const auto other = static_cast<RequestClass>(i);
        if (other == requestClass)
            continue;
        const double share = static_cast<double>(own) * weightOf(other) / weightOf(requestClass);
        ahead += std::min(this->classes[i].tokensOnOneServer, static_cast<std::int64_t>(share));
    }
    return ahead;
}

absl::Time WaitQueue::earliestLatestStart() const
{
    return this->byLatestStart.empty() ? absl::InfiniteFuture()
                                       : std::get<absl::Time>(*this->byLatestStart.begin());
}

std::vector<RequestId> WaitQueue::unreachable(absl::Time now) const
{
    std::vector<RequestId> ids;
    for (const auto &[latestStart, order, entry] : this->byLatestStart) {
        if (latestStart > now)
            break;
        ids.push_back(entry->request.profile.id);
    }
    return ids;
}

std::vector<RequestId> WaitQueue::requestsOf(const InstanceId &instance,
                                             Incarnation incarnation) const
{
    std::vector<RequestId> ids;
    for (const auto &[id, entry] : this->requests) {
        if (entry->request.from == instance && entry->request.fromIncarnation <= incarnation)
            ids.push_back(id);
    }
    return ids;
}

std::vector<RequestId> WaitQueue::all() const
{
    std::vector<RequestId> ids;
    ids.reserve(this->requests.size());
    for (const auto &[latestStart, order, entry] : this->byLatestStart)
        ids.push_back(entry->request.profile.id);
    return ids;
}

void WaitQueue::setLatestStart(const RequestId &request, absl::Time latestStart)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    WaitingRequest *entry = found->second.get();
    this->byLatestStart.erase({entry->latestStart, entry->order, entry});
    entry->latestStart = latestStart;
    this->byLatestStart.emplace(latestStart, entry->order, entry);
}

void WaitQueue::setBlockedSince(const RequestId &request, absl::Time since)
{
    const auto found = this->requests.find(request);
    if (found != this->requests.end())
        found->second->blockedSince = since;
}

const WaitingRequest *WaitQueue::find(const RequestId &request) const
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : found->second.get();
}

std::size_t WaitQueue::sizeOnOneServer(RequestClass requestClass) const
{
    return this->queueOf(requestClass).sizeOnOneServer;
}

} // namespace foxtailtally
