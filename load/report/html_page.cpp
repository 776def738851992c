#include "load/report/html_page.h"

#include "core/text.h"
#include "load/report/svg_chart.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr const char *kStyle = R"(
:root { color-scheme: light; }
body { font: 15px/1.5 system-ui, sans-serif; color: #222; background: #fff;
       max-width: 960px; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.6rem; margin-bottom: 0.2rem; }
h2 { font-size: 1.15rem; margin-top: 2rem; border-bottom: 1px solid #ddd; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; margin: 0.8rem 0; }
th, td { padding: 0.25rem 0.8rem; text-align: right; border-bottom: 1px solid #e5e5e5; }
th:first-child, td:first-child { text-align: left; }
th { font-weight: 600; background: #f6f6f6; }
svg { width: 100%; height: auto; margin: 0.6rem 0; }
svg text { font: 12px system-ui, sans-serif; fill: #444; }
svg text.title { font-size: 14px; font-weight: 600; fill: #222; }
svg .grid { stroke: #e2e2e2; }
svg .goal { stroke: #b00020; stroke-dasharray: 6 4; }
.scroll { overflow-x: auto; }
)";

} // namespace

HtmlPage::HtmlPage(std::string title)
    : title(std::move(title))
{ }

HtmlPage &HtmlPage::addParagraph(std::string_view text)
{
    absl::StrAppend(&this->body, "<p>", escapeHtml(text), "</p>\n");
    return *this;
}

HtmlPage &HtmlPage::addHeading(std::string_view text)
{
    absl::StrAppend(&this->body, "<h2>", escapeHtml(text), "</h2>\n");
    return *this;
}

HtmlPage &HtmlPage::addMarkup(std::string_view markup)
{
    absl::StrAppend(&this->body, asAbsl(markup));
    return *this;
}

HtmlPage &HtmlPage::addTable(const std::vector<std::string> &header,
                             const std::vector<std::vector<std::string>> &rows)
{
    absl::StrAppend(&this->body, "<div class=\"scroll\"><table>\n<thead><tr>");
    for (const std::string &cell : header)
        absl::StrAppend(&this->body, "<th>", escapeHtml(cell), "</th>");
    absl::StrAppend(&this->body, "</tr></thead>\n<tbody>\n");
    for (const std::vector<std::string> &row : rows) {
        absl::StrAppend(&this->body, "<tr>");
        for (const std::string &cell : row)
            absl::StrAppend(&this->body, "<td>", escapeHtml(cell), "</td>");
        absl::StrAppend(&this->body, "</tr>\n");
    }
    absl::StrAppend(&this->body, "</tbody>\n</table></div>\n");
    return *this;
}

std::string HtmlPage::text() const
{
    const std::string name = escapeHtml(this->title);
    return absl::StrCat("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
                        "<meta name=\"viewport\" content=\"width=device-width\">\n<title>",
                        name, "</title>\n<style>", kStyle, "</style>\n</head>\n<body>\n<h1>", name,
                        "</h1>\n", this->body, "</body>\n</html>\n");
}

} // namespace foxtailtally
