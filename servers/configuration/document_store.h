#pragma once

#include "core/result.h"
#include "servers/configuration/document.h"
#include "servers/configuration/document_problem.h"

#include <array>
#include <memory>
#include <string_view>

namespace foxtailtally {

/**
 * Documents of one instance. For each kind it holds the newest document received; confirm() puts
 * that document in force. Neither the number held nor the number in force decreases while the
 * process runs.
 */
class DocumentStore
{
public:
    enum class OfferOutcome {
        /** Newer than the held one, which it replaces. */
        Held,
        AlreadyHeld,
        Older,
    };

    /**
     * Takes a document from the platform or a peer.
     * Errors: DocumentInvalid (digest, body or number wrong), DocumentConflict (the held document
     * has the same number and another digest; the held one is kept).
     */
    Result<OfferOutcome> offer(Document document);

    /** Puts the held document in force if its number is @p number; true when that changed it. */
    bool confirm(DocumentKind kind, std::uint64_t number);

    /** Null when there is none. The documents are immutable. */
    std::shared_ptr<const Document> held(DocumentKind kind) const;
    std::shared_ptr<const Document> inForce(DocumentKind kind) const;
    DocumentNumbers heldNumbers() const;
    DocumentNumbers inForceNumbers() const;

private:
    struct Slot
    {
        std::shared_ptr<const Document> held;
        std::shared_ptr<const Document> inForce;
    };

    std::array<Slot, kDocumentKindCount> slots;
};

/**
 * Parses @p body as a document of @p kind.
 * Error: DocumentInvalid, with every error in @p problems.
 */
Result<Document> parseDocument(DocumentKind kind, std::string_view body,
                               DocumentProblems &problems);

} // namespace foxtailtally
