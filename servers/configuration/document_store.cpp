#include "servers/configuration/document_store.h"

#include "servers/configuration/out_of_service_list.h"
#include "servers/configuration/release_note.h"
#include "servers/configuration/roster_document.h"

namespace foxtailtally {

namespace {

template <typename T>
std::uint64_t numberOf(std::string_view body, DocumentProblems &problems)
{
    const auto parsed = T::parse(body, problems);
    return parsed.ok() ? parsed->number : 0;
}

std::uint64_t numberOf(DocumentKind kind, std::string_view body, DocumentProblems &problems)
{
    switch (kind) {
    case DocumentKind::ReleaseNote:
        return numberOf<ReleaseNote>(body, problems);
    case DocumentKind::OutOfServiceList:
        return numberOf<OutOfServiceList>(body, problems);
    case DocumentKind::Roster:
        return numberOf<RosterDocument>(body, problems);
    }
    return 0;
}

std::uint64_t numberOrZero(const std::shared_ptr<const Document> &document)
{
    return document ? document->number : 0;
}

} // namespace

Result<DocumentStore::OfferOutcome> DocumentStore::offer(Document document)
{
    if (indexOf(document.kind) >= kDocumentKindCount || document.number == 0)
        return Error::DocumentInvalid;
    Slot &slot = this->slots[indexOf(document.kind)];
    const std::uint64_t known = numberOrZero(slot.held);
    if (document.number < known)
        return OfferOutcome::Older;
    if (document.number == known) {
        if (document.digest != slot.held->digest)
            return Error::DocumentConflict;
        return OfferOutcome::AlreadyHeld;
    }
    DocumentProblems problems;
    if (!document.isIntact() || numberOf(document.kind, document.body, problems) != document.number)
        return Error::DocumentInvalid;
    slot.held = std::make_shared<const Document>(std::move(document));
    return OfferOutcome::Held;
}

bool DocumentStore::confirm(DocumentKind kind, std::uint64_t number)
{
    Slot &slot = this->slots[indexOf(kind)];
    if (number == 0 || numberOrZero(slot.held) != number || slot.inForce == slot.held)
        return false;
    slot.inForce = slot.held;
    return true;
}

std::shared_ptr<const Document> DocumentStore::held(DocumentKind kind) const
{
    return this->slots[indexOf(kind)].held;
}

std::shared_ptr<const Document> DocumentStore::inForce(DocumentKind kind) const
{
    return this->slots[indexOf(kind)].inForce;
}

DocumentNumbers DocumentStore::heldNumbers() const
{
    DocumentNumbers numbers {};
    for (std::size_t index = 0; index < kDocumentKindCount; ++index)
        numbers[index] = numberOrZero(this->slots[index].held);
    return numbers;
}

DocumentNumbers DocumentStore::inForceNumbers() const
{
    DocumentNumbers numbers {};
    for (std::size_t index = 0; index < kDocumentKindCount; ++index)
        numbers[index] = numberOrZero(this->slots[index].inForce);
    return numbers;
}

Result<Document> parseDocument(DocumentKind kind, std::string_view body, DocumentProblems &problems)
{
    const std::uint64_t number = numberOf(kind, body, problems);
    if (number == 0)
        return Error::DocumentInvalid;
    return Document::make(kind, number, std::string(body));
}

} // namespace foxtailtally
