#include "tests/model_store.h"

namespace foxtailtally {

namespace {

std::uint64_t tokenOf(const StoreCall &call)
{
    return std::visit([](const auto &value) { return value.token; }, call);
}

} // namespace

void ModelStore::submit(std::uint64_t caller, StoreCall call, absl::Time now, Random &random)
{
    ++this->calls;
    const auto add = [&](absl::Time at, bool takesEffect, bool answers, StoreOutcome failure) {
        this->events.emplace(at, Event {caller, call, takesEffect, answers, failure});
    };
    const std::uint64_t draw = random.below(100);
    std::uint64_t bound = this->faults.unavailable;
    if (!this->isUp || draw < bound)
        return add(now + this->latency, false, true, StoreOutcome::Unavailable);
    if (draw < (bound += this->faults.lostAfter))
        add(now + this->latency, true, false, StoreOutcome::Ok);
    else if (draw < (bound += this->faults.lostLate))
        add(now + this->timeout * (1 + 4 * random.uniform()), true, false, StoreOutcome::Ok);
    else if (draw >= (bound += this->faults.lostBefore))
        return add(now + this->latency, true, true, StoreOutcome::Ok);
    add(now + this->timeout, false, true, StoreOutcome::Lost);
}

std::vector<ModelStore::Delivery> ModelStore::run(absl::Time now)
{
    std::vector<Delivery> due;
    while (!this->events.empty() && this->events.begin()->first <= now) {
        const Event event = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        StoreReply reply;
        if (event.takesEffect)
            reply = this->execute(event.call);
        else
            reply.outcome = event.failure;
        reply.token = tokenOf(event.call);
        if (event.answers)
            due.push_back({event.caller, std::move(reply)});
    }
    return due;
}

absl::Time ModelStore::nextAt() const
{
    return this->events.empty() ? absl::InfiniteFuture() : this->events.begin()->first;
}

StoreReply ModelStore::execute(const StoreCall &call)
{
    StoreReply reply;
    reply.outcome = StoreOutcome::Ok;
    if (const auto *list = std::get_if<StoreList>(&call)) {
        for (auto it = this->objects.upper_bound(std::max(list->after, list->prefix));
             it != this->objects.end() && it->first.starts_with(list->prefix); ++it) {
            // Pages hold two objects, so that clients must request the following pages.
            if (reply.items.size() == 2) {
                reply.more = true;
                break;
            }
            reply.items.push_back({it->first, it->second.version, it->second.value});
        }
        return reply;
    }
    if (const auto *read = std::get_if<StoreRead>(&call)) {
        const auto found = this->objects.find(read->key);
        if (found == this->objects.end()) {
            reply.outcome = StoreOutcome::NotFound;
            return reply;
        }
        reply.version = found->second.version;
        reply.value = found->second.value;
        return reply;
    }
    const auto *write = std::get_if<StoreWrite>(&call);
    const auto *erase = std::get_if<StoreDelete>(&call);
    const std::string &key = write != nullptr ? write->key : erase->key;
    const auto found = this->objects.find(key);
    const std::uint64_t version = found == this->objects.end() ? 0 : found->second.version;
    if (version != (write != nullptr ? write->ifVersion : erase->ifVersion)) {
        reply.outcome = StoreOutcome::Conflict;
        reply.version = version;
        return reply;
    }
    ++this->writes;
    if (write == nullptr) {
        this->objects.erase(key);
        return reply;
    }
    // Versions are not reused after a delete.
    this->objects[key] = {++this->lastVersion, write->value};
    reply.version = this->lastVersion;
    return reply;
}

} // namespace foxtailtally
