#include "main/lib/document_publisher.h"

#include "core/clock.h"
#include "main/lib/store_access.h"
#include "servers/configuration/change_set.h"
#include "servers/configuration/document.h"

#include <unistd.h>
#include <utility>
#include <vector>

namespace foxtailtally {

namespace {

constexpr useconds_t kTickMicroseconds = 20000;

} // namespace

DocumentPublisher::DocumentPublisher(std::string publicationPrefix, const PlatformClient &platform)
    : prefix(std::move(publicationPrefix))
    , platform(platform)
{ }

ChangeResult DocumentPublisher::validateNote(std::string_view changeSet) const
{
    ChangeResult result;
    Current current;
    const Result<ReleaseNote> note = this->nextNote(changeSet, "validate", current, result);
    if (note.ok())
        result.number = note->number;
    return result;
}

ChangeResult DocumentPublisher::publishNote(std::string_view changeSet)
{
    ChangeResult result;
    Current current;
    const std::string id = this->nextId();
    const Result<ReleaseNote> note = this->nextNote(changeSet, id, current, result);
    if (!note.ok())
        return result;
    return this->publish(documentKey(DocumentKind::ReleaseNote, {}), current.version,
                         {note->number, note->author, id}, note->serialize());
}

ChangeResult DocumentPublisher::setDomainOutOfService(const FailureDomainId &domain,
                                                      bool isOutOfService,
                                                      const std::string &author)
{
    return this->changeOutOfServiceList(
        author,
        [&](const OutOfServiceList &list, const Publication &publication, absl::Time wallNow) {
            return list.withDomain(domain, isOutOfService, publication, wallNow);
        });
}

ChangeResult DocumentPublisher::setInstanceOutOfService(const InstanceId &instance,
                                                        bool isOutOfService,
                                                        const std::string &author)
{
    return this->changeOutOfServiceList(
        author,
        [&](const OutOfServiceList &list, const Publication &publication, absl::Time wallNow) {
            return list.withInstance(instance, isOutOfService, publication, wallNow);
        });
}

DocumentPublisher::Current DocumentPublisher::read(const std::string &key) const
{
    const Result<StoredObject> object = this->platform.get(key);
    if (object.ok())
        return {{}, object->version, object->value};
    if (object.error() == Error::StoreNotFound)
        return {};
    return {object.error(), 0, ""};
}

Result<ReleaseNote> DocumentPublisher::nextNote(std::string_view changeSet, const std::string &id,
                                                Current &current, ChangeResult &result) const
{
    current = this->read(documentKey(DocumentKind::ReleaseNote, {}));
    result.error = current.error;
    if (result.error)
        return result.error;
    ReleaseNote previous;
    if (!current.body.empty()) {
        const Result<ReleaseNote> parsed = ReleaseNote::parse(current.body, result.problems);
        result.error = parsed.error();
        if (result.error)
            return result.error;
        previous = *parsed;
    }
    const Result<ChangeSet> changes = ChangeSet::parse(changeSet, result.problems);
    result.error = changes.error();
    if (result.error)
        return result.error;
    Result<ReleaseNote> next = changes->applyTo(previous, Clock::wallNow(), id, result.problems);
    result.error = next.error();
    return next;
}

ChangeResult DocumentPublisher::changeOutOfServiceList(const std::string &author,
                                                       const OutOfServiceChange &change)
{
    ChangeResult result;
    const std::string key = documentKey(DocumentKind::OutOfServiceList, {});
    const Current current = this->read(key);
    result.error = current.error;
    if (result.error)
        return result;
    OutOfServiceList list;
    if (!current.body.empty()) {
        const Result<OutOfServiceList> parsed =
            OutOfServiceList::parse(current.body, result.problems);
        result.error = parsed.error();
        if (result.error)
            return result;
        list = *parsed;
    }
    const Publication publication {list.number + 1, author, this->nextId()};
    const OutOfServiceList next = change(list, publication, Clock::wallNow());
    return this->publish(key, current.version, publication, next.serialize());
}

ChangeResult DocumentPublisher::publish(const std::string &key, std::uint64_t version,
                                        const Publication &publication,
                                        const std::string &body) const
{
    Publisher publisher(key, version, publication, body);
    std::vector<StoreCall> calls = publisher.start(Clock::now());
    while (!publisher.result().has_value()) {
        std::vector<StoreCall> next;
        for (const StoreCall &call : calls) {
            const StoreReply reply = performStoreCall(this->platform, call);
            for (StoreCall &following : publisher.onStoreReply(reply, Clock::now()))
                next.push_back(std::move(following));
        }
        calls = std::move(next);
        if (!calls.empty() || publisher.result().has_value())
            continue;
        ::usleep(kTickMicroseconds);
        calls = publisher.onTick(Clock::now());
    }
    ChangeResult result;
    result.error = publisher.result()->error;
    result.winner = publisher.result()->winner;
    result.number = publication.number;
    return result;
}

std::string DocumentPublisher::nextId()
{
    return this->prefix + "-" + std::to_string(this->publicationCount.fetch_add(1) + 1);
}

} // namespace foxtailtally
