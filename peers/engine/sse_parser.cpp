#include "peers/engine/sse_parser.h"

#include <algorithm>
#include <array>
#include <utility>

namespace foxtailtally {

namespace {

constexpr std::array<std::string_view, 3> kIgnoredFields = {"event", "id", "retry"};

} // namespace

std::error_code SseParser::feed(std::string_view data, std::vector<std::string> &events)
{
    while (!data.empty() && !this->failed) {
        const std::size_t end = data.find('\n');
        const std::string_view part = data.substr(0, end);
        if (this->line.size() + part.size() > kMaxSseLineBytes) {
            this->failed = true;
            break;
        }
        this->line.append(part);
        if (end == std::string_view::npos) {
            break;
        }
        data.remove_prefix(end + 1);
        this->failed = !this->endLine(events);
    }
    return this->failed ? make_error_code(Error::ProtocolViolation) : std::error_code();
}

bool SseParser::endLine(std::vector<std::string> &events)
{
    std::string text = std::exchange(this->line, {});
    if (!text.empty() && text.back() == '\r') {
        text.pop_back();
    }
    if (text.empty()) {
        if (this->hasData) {
            events.push_back(std::exchange(this->eventData, {}));
            this->hasData = false;
        }
        return true;
    }
    if (text.front() == ':') {
        return true;
    }
    const std::size_t colon = text.find(':');
    const std::string_view field = std::string_view(text).substr(0, colon);
    if (std::find(kIgnoredFields.begin(), kIgnoredFields.end(), field) != kIgnoredFields.end()) {
        return true;
    }
    if (field != "data" || colon == std::string::npos) {
        return false;
    }
    std::string_view value = std::string_view(text).substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (this->eventData.size() + value.size() + 1 > kMaxSseEventBytes) {
        return false;
    }
    if (this->hasData) {
        this->eventData.push_back('\n');
    }
    this->eventData.append(value);
    this->hasData = true;
    return true;
}

} // namespace foxtailtally
