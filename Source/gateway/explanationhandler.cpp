#include "gateway/explanationhandler.h"

#include "forwarding/routeexplanationjson.h"
#include "forwarding/routeexplanationtext.h"
#include "forwarding/routequerycodec.h"

namespace Lycheewall
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

int statusOf(const RouteExplanation &explanation)
{
    const Refusal refusal = explanation.admission.refusal;
    if (refusal == Refusal::KeyUnknown) {
        return statusNotFound;
    }
    if (explanation.route) {
        return statusOk;
    }
    return refusal == Refusal::UnknownRoute ? statusNotFound : statusUnavailable;
}

}

AuxiliaryResponse handleExplanationRequest(const RouteExplainer &explainer, const std::string &target)
{
    const auto request = decodeExplanationTarget(target);
    if (!request) {
        const UrlQueryProblem &problem = request.error();
        return { statusBadRequest, "text/plain", "parameter \"" + problem.parameter + "\" " + problem.problem + '\n' };
    }
    const ExplanationFormat format = request.value().format;
    const RouteExplanation explanation = explainer.explain(request.value().query);
    return { statusOf(explanation),
             std::string(contentTypeOf(format)),
             format == ExplanationFormat::Json ? encodeAsJson(explanation) : encodeAsText(explanation) };
}

}
