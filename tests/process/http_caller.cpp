#include "tests/process/http_caller.h"

#include <absl/time/clock.h>
#include <curl/curl.h>

namespace foxtailtally {

namespace {

std::size_t append(char *data, std::size_t size, std::size_t count, void *text)
{
    static_cast<std::string *>(text)->append(data, size * count);
    return size * count;
}

} // namespace

CallerAnswer callGateway(const CallerRequest &request)
{
    CallerAnswer answer;
    CURL *call = curl_easy_init();
    curl_slist *headers = curl_slist_append(nullptr, ("Host: " + request.host).c_str());
    headers = curl_slist_append(headers, "Expect:");
    for (const std::string &header : request.headers)
        headers = curl_slist_append(headers, header.c_str());
    const std::string url = "http://" + request.address + request.path;
    curl_easy_setopt(call, CURLOPT_URL, url.c_str());
    curl_easy_setopt(call, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(call, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(call, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(call, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(call, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(absl::ToInt64Milliseconds(request.limit)));
    if (!request.body.empty()) {
        curl_easy_setopt(call, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(call, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    }
    curl_easy_setopt(call, CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(call, CURLOPT_WRITEDATA, &answer.body);
    curl_easy_setopt(call, CURLOPT_HEADERFUNCTION, append);
    curl_easy_setopt(call, CURLOPT_HEADERDATA, &answer.head);
    const absl::Time begin = absl::Now();
    answer.isComplete = curl_easy_perform(call) == CURLE_OK;
    answer.took = absl::Now() - begin;
    long status = 0;
    curl_easy_getinfo(call, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(call);
    return answer;
}

} // namespace foxtailtally
