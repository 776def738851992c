#pragma once

#include "peers/http/http_head.h"

#include <string>
#include <string_view>

namespace foxtailtally {

/** Assembles headers from the fragments that the HTTP parser reports. */
class HeaderCollector
{
public:
    explicit HeaderCollector(HttpHeaders &headers)
        : headers(headers)
    { }

    void onName(std::string_view fragment)
    {
        if (this->hasValue)
            this->finish();
        this->name.append(fragment);
    }
    void onValue(std::string_view fragment)
    {
        this->value.append(fragment);
        this->hasValue = true;
    }
    /** The next fragment of a name begins a header. */
    bool isBetweenHeaders() const { return this->hasValue || this->name.empty(); }
    /** Adds the last header once the head is complete. */
    void finish()
    {
        if (!this->name.empty())
            this->headers.add(this->name, this->value);
        this->clear();
    }
    void clear()
    {
        this->name.clear();
        this->value.clear();
        this->hasValue = false;
    }

private:
    HttpHeaders &headers;
    std::string name;
    std::string value;
    bool hasValue = false;
};

} // namespace foxtailtally
