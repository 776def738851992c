#include "main/lib/operator_service.h"

#include "core/log.h"
#include "servers/configuration/document_reader.h"

#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace foxtailtally {

namespace {

using nlohmann::json;

constexpr std::string_view kNotesPath = "/admin/v1/notes";
constexpr std::string_view kValidatePath = "/admin/v1/notes/validate";
constexpr std::string_view kDomainsPath = "/admin/v1/failure-domains/";
constexpr std::string_view kInstancesPath = "/admin/v1/instances/";

int statusOf(std::error_code error)
{
    if (!error)
        return 200;
    if (error == Error::DocumentConflict)
        return 409;
    if (error == Error::DocumentInvalid)
        return 422;
    return 503;
}

HttpResponse responseTo(const ChangeResult &result)
{
    HttpResponse response;
    response.status = statusOf(result.error);
    json body = {{"number", result.number}};
    if (result.error) {
        body = {{"error", errorName(result.error)}};
        if (result.error == Error::DocumentConflict)
            body["winner"] = {{"author", result.winner.author}, {"number", result.winner.number}};
        for (const DocumentProblem &problem : result.problems)
            body["problems"].push_back({{"kind", problemName(problem.kind)},
                                        {"path", problem.path},
                                        {"allowed", problem.allowed}});
    }
    response.body = body.dump();
    return response;
}

std::string operatorName(const HttpRequest &request)
{
    const std::string_view name = request.header("x-operator");
    return name.empty() ? "operator" : std::string(name);
}

void audit(const HttpRequest &request, const ChangeResult &result)
{
    logEvent(LogLevel::Info, "operator_change",
             {{"operator", operatorName(request)},
              {"path", request.path},
              {"number", result.number},
              {"result", result.error ? errorName(result.error) : "accepted"}});
}

} // namespace

OperatorService::OperatorService(DocumentPublisher &publisher)
    : publisher(publisher)
    , loop("operator")
{ }

bool OperatorService::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const std::string_view path = request.path;
    const bool isMine = request.method == "POST"
        && (path == kNotesPath || path == kValidatePath || path.starts_with(kDomainsPath)
            || path.starts_with(kInstancesPath));
    if (!isMine)
        return false;
    this->loop.post([this, exchange] {
        const std::string body = exchange->takeBody();
        exchange->respond(this->change(exchange->request(), body));
    });
    return true;
}

HttpResponse OperatorService::change(const HttpRequest &request, const std::string &body)
{
    if (request.path == kValidatePath)
        return responseTo(this->publisher.validateNote(body));
    if (request.path != kNotesPath)
        return this->changeService(request, body);
    const ChangeResult result = this->publisher.publishNote(body);
    audit(request, result);
    return responseTo(result);
}

HttpResponse OperatorService::changeService(const HttpRequest &request,
                                            const std::string & /*body*/)
{
    // "", "admin", "v1", kind, id, "out" or "in"
    const std::vector<std::string> path = absl::StrSplit(request.path, '/');
    const bool isValid = path.size() == 6 && isIdentifier(path[4])
        && (path[5] == "out" || path[5] == "in") && isIdentifier(operatorName(request));
    if (!isValid) {
        HttpResponse response;
        response.status = 404;
        response.body = R"({"error":"not_found"})";
        return response;
    }
    const bool isOutOfService = path[5] == "out";
    const std::string author = operatorName(request);
    const ChangeResult result = path[3] == "failure-domains"
        ? this->publisher.setDomainOutOfService(FailureDomainId(path[4]), isOutOfService, author)
        : this->publisher.setInstanceOutOfService(InstanceId(path[4]), isOutOfService, author);
    audit(request, result);
    return responseTo(result);
}

} // namespace foxtailtally
