#include "servers/account/request_account.h"

#include "core/guard.h"
#include "core/text.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr std::array<RequestEnd, kRequestEnds> kEnds = {RequestEnd::Answered, RequestEnd::Refused,
                                                        RequestEnd::GivenUp, RequestEnd::Lost};

} // namespace

std::string_view requestEndName(RequestEnd end)
{
    switch (end) {
    case RequestEnd::Answered:
        return "answered";
    case RequestEnd::Refused:
        return "refused";
    case RequestEnd::GivenUp:
        return "given_up";
    case RequestEnd::Lost:
        return "lost";
    }
    return "unknown";
}

OpenRequest::OpenRequest(OpenRequest &&other) noexcept
    : account(std::exchange(other.account, nullptr))
{ }

OpenRequest &OpenRequest::operator=(OpenRequest &&other) noexcept
{
    if (this == &other)
        return *this;
    this->abandon();
    this->account = std::exchange(other.account, nullptr);
    return *this;
}

OpenRequest::~OpenRequest()
{
    this->abandon();
}

bool OpenRequest::end(RequestEnd end, std::string_view cause)
{
    if (!this->account)
        return false;
    std::exchange(this->account, nullptr)->onEnded(end, cause);
    return true;
}

void OpenRequest::abandon() noexcept
{
    runGuarded("request_account",
               [this] { this->end(RequestEnd::Lost, RequestAccount::kAbandoned); });
}

OpenRequest RequestAccount::begin()
{
    ++this->begunRequests;
    ++this->openRequests;
    return OpenRequest(*this);
}

std::uint64_t RequestAccount::ended() const
{
    std::uint64_t total = 0;
    for (const RequestEnd end : kEnds)
        total += this->ended(end);
    return total;
}

std::uint64_t RequestAccount::ended(RequestEnd end) const
{
    std::uint64_t total = 0;
    for (const auto &[cause, count] : this->ends.at(static_cast<std::size_t>(end)))
        total += count;
    return total;
}

std::uint64_t RequestAccount::ended(RequestEnd end, std::string_view cause) const
{
    const Causes &causes = this->ends.at(static_cast<std::size_t>(end));
    const auto found = causes.find(cause);
    return found == causes.end() ? 0 : found->second;
}

bool RequestAccount::isBalanced(std::uint64_t sessionRequests) const
{
    return this->begunRequests == this->ended() + this->openRequests
        && this->openRequests == sessionRequests;
}

std::string RequestAccount::exposition() const
{
    std::string text =
        absl::StrCat("foxtailtally_requests_begun_total ", this->begunRequests,
                     "\nfoxtailtally_requests_in_progress ", this->openRequests, "\n");
    for (const RequestEnd end : kEnds) {
        for (const auto &[cause, count] : this->ends.at(static_cast<std::size_t>(end)))
            absl::StrAppend(&text, "foxtailtally_requests_total{end=\"",
                            asAbsl(requestEndName(end)), "\",cause=\"", cause, "\"} ", count, "\n");
    }
    return text;
}

void RequestAccount::onEnded(RequestEnd end, std::string_view cause)
{
    --this->openRequests;
    Causes &causes = this->ends.at(static_cast<std::size_t>(end));
    auto found = causes.find(cause);
    if (found == causes.end())
        found = causes.emplace(std::string(cause), 0).first;
    ++found->second;
}

} // namespace foxtailtally
