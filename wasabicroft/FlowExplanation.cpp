#include "wasabicroft/FlowExplanation.h"

#include "wasabicroft/EntryRouter.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace wasabicroft {

namespace json = boost::json;

//-----------------------------------------------------------------------------
// Explanation
//-----------------------------------------------------------------------------

namespace {

    UpstreamExclusion exclusionOf(PlacementExclusion exclusion)
    {
        switch (exclusion) {
        case PlacementExclusion::Leaving: // EntryRouter marks only upstreams of evacuated domains as leaving
            return UpstreamExclusion::Evacuated;
        case PlacementExclusion::Draining:
            return UpstreamExclusion::Refusing;
        case PlacementExclusion::Ejected:
            return UpstreamExclusion::Silent;
        case PlacementExclusion::AtShare:
            break;
        }
        return UpstreamExclusion::Cold;
    }

} // namespace

FlowExplanation EntryRouter::explainFlow(const FlowKey& key) const
{
    FlowExplanation result;
    result.flow = key;
    result.routesVersion = this->routesVersion();
    result.directoryRevision = this->directoryRevision;
    result.isProvisional = this->hasProvisionalRoutes;
    const Route* route = this->routes ? this->routes->find(key.route) : nullptr;
    const bool isConfigured = this->routes && this->hasUpstreamList;
    if (!isConfigured || (this->hasProvisionalRoutes && !route)) {
        result.outcome = NewFlowOutcome::Buffered;
        result.cause = isConfigured ? "no-route" : "no-configuration";
        return result;
    }
    if (!route) {
        result.outcome = NewFlowOutcome::Refused;
        result.cause = "no-route";
        return result;
    }
    result.routeName = route->name;
    result.limits = route->limits;
    // A copy: the explanation orders equal upstreams as the next new flow would, and the generator keeps its state.
    std::mt19937_64 copy = this->random;
    chooseService(*route, copy);
    for (const RouteShare& share : route->shares)
        result.services.push_back(this->explainService(key, share, copy));
    const ServiceExplanation& first = result.services.front();
    const bool areEqual
        = std::all_of(result.services.begin(), result.services.end(), [&](const ServiceExplanation& service) {
              return service.outcome == first.outcome && service.cause == first.cause;
          });
    if (areEqual) {
        result.outcome = first.outcome;
        result.cause = first.cause;
    }
    return result;
}

// random: the state of the generator after the service was drawn.
ServiceExplanation EntryRouter::explainService(
    const FlowKey& key, const RouteShare& share, std::mt19937_64 random) const
{
    ServiceExplanation result;
    result.service = share.service;
    result.weight = share.weight;
    std::map<UpstreamId, UpstreamExplanation> ranked;
    std::vector<UpstreamId> order;
    for (const PlacementExplanation& item :
        this->placement.explain(share.service, FlowKeyHash()(key), [&random] { return random(); })) {
        UpstreamExplanation upstream = this->explainUpstream(item);
        upstream.isTooLate = this->isTooLate(key, item.id);
        if (item.exclusion) {
            upstream.exclusion = exclusionOf(*item.exclusion);
            result.excluded.push_back(std::move(upstream));
        } else {
            order.push_back(item.id);
            ranked.emplace(item.id, std::move(upstream));
        }
    }
    this->demoteLate(key, order);
    const bool areLate = this->areAllTooLate(key, order);
    const bool isOverloaded = areLate && this->admission.wouldRefuse(key.route);
    result.isAdmittedLate = areLate && !isOverloaded;
    std::vector<UpstreamExplanation> notAsked;
    for (size_t i = 0; i < order.size(); ++i) {
        UpstreamExplanation& upstream = ranked.at(order[i]);
        if (i >= this->options.maxOffersPerSyn)
            upstream.exclusion = UpstreamExclusion::RankedBehind;
        else if (isOverloaded)
            upstream.exclusion = UpstreamExclusion::TooLate;
        (upstream.exclusion ? notAsked : result.candidates).push_back(std::move(upstream));
    }
    result.excluded.insert(
        result.excluded.begin(), std::make_move_iterator(notAsked.begin()), std::make_move_iterator(notAsked.end()));
    this->explainUnusable(result);
    if (isOverloaded) {
        result.outcome = NewFlowOutcome::Refused;
        result.cause = nameOf(OverloadCause::Overloaded);
    } else if (order.empty()) {
        result.outcome = this->hasProvisionalRoutes ? NewFlowOutcome::Ignored : NewFlowOutcome::Refused;
        result.cause = this->causeWithoutUpstream(share.service);
    }
    return result;
}

UpstreamExplanation EntryRouter::explainUpstream(const PlacementExplanation& item) const
{
    UpstreamExplanation result;
    result.placement = item;
    result.coldLeft = this->coldUpstreams.timeLeft(item.id);
    if (const auto agent = this->agentByUpstream.find(item.id); agent != this->agentByUpstream.end())
        result.agent = agent->second;
    const auto listed = this->listedByAgent.find(result.agent);
    if (listed != this->listedByAgent.end() && listed->second.id == item.id)
        result.name = listed->second.name;
    return result;
}

// Appends the listed upstreams of the service that are not in its pool.
void EntryRouter::explainUnusable(ServiceExplanation& result) const
{
    std::set<UpstreamId> explained;
    for (const std::vector<UpstreamExplanation>* list : { &result.candidates, &result.excluded }) {
        for (const UpstreamExplanation& upstream : *list)
            explained.insert(upstream.placement.id);
    }
    for (const auto& [agent, listed] : this->listedByAgent) {
        if (listed.service != result.service || explained.contains(listed.id))
            continue;
        UpstreamExplanation upstream;
        upstream.name = listed.name;
        upstream.agent = agent;
        upstream.placement.id = listed.id;
        upstream.placement.failureDomain = listed.failureDomain;
        upstream.coldLeft = this->coldUpstreams.timeLeft(listed.id);
        const bool isDraining = listed.figures && listed.figures->draining;
        upstream.exclusion = isDraining ? UpstreamExclusion::Draining : UpstreamExclusion::NotYetUsable;
        result.excluded.push_back(std::move(upstream));
    }
}

//-----------------------------------------------------------------------------
// Request and answer
//-----------------------------------------------------------------------------

namespace {

    // Percent-encoded text; empty if an escape is invalid.
    std::optional<std::string> decodePercent(std::string_view text)
    {
        constexpr int hexadecimal = 16;
        std::string result;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                result += text[i];
                continue;
            }
            const std::string_view digits = text.substr(i + 1, 2);
            uint8_t value = 0;
            const char* const end = digits.data() + digits.size();
            const std::from_chars_result parsed = std::from_chars(digits.data(), end, value, hexadecimal);
            if (digits.size() < 2 || parsed.ec != std::errc() || parsed.ptr != end)
                return std::nullopt;
            result += static_cast<char>(value);
            i += 2;
        }
        return result;
    }

    template <typename Period>
    json::value millisecondsOrNull(const std::optional<std::chrono::duration<int64_t, Period>>& duration)
    {
        if (!duration)
            return nullptr;
        return std::chrono::duration<double, std::milli>(*duration).count();
    }

    json::value toJson(const UpstreamExplanation& upstream)
    {
        const PlacementExplanation& placement = upstream.placement;
        json::object result { { "name", upstream.name }, { "id", toString(placement.id) },
            { "agent", toString(upstream.agent) }, { "failureDomain", placement.failureDomain } };
        if (upstream.exclusion)
            result["excludedBy"] = nameOf(*upstream.exclusion);
        result["coldLeftMs"] = upstream.coldLeft.count();
        if (upstream.exclusion == UpstreamExclusion::Draining || upstream.exclusion == UpstreamExclusion::NotYetUsable)
            return result; // not weighed
        result["utilization"] = placement.utilization;
        result["loadAgeMs"] = millisecondsOrNull(placement.loadAge);
        result["speed"] = placement.speed;
        result["serviceTimeMs"] = millisecondsOrNull(placement.serviceTime);
        result["expectedWaitMs"] = millisecondsOrNull(placement.expectedWait);
        result["expectedAnswerMs"] = millisecondsOrNull(placement.expectedAnswer);
        result["performanceAgeMs"] = millisecondsOrNull(placement.performanceAge);
        result["coldState"] = nameOf(placement.coldState);
        result["tooLate"] = upstream.isTooLate;
        result["refusedLately"] = placement.isDraining;
        result["silent"] = placement.isEjected;
        result["rejoining"] = placement.isRejoining;
        if (placement.exclusion)
            return result; // not ranked
        result["cost"] = placement.cost;
        result["preferredByHash"] = placement.isPreferred;
        result["orderIsRandom"] = placement.isOrderRandom;
        result["probe"] = placement.isProbe;
        return result;
    }

    json::array toJson(const std::vector<UpstreamExplanation>& upstreams)
    {
        json::array result;
        for (const UpstreamExplanation& upstream : upstreams)
            result.push_back(toJson(upstream));
        return result;
    }

    json::value textOrNull(std::string_view text) { return text.empty() ? json::value(nullptr) : json::value(text); }

} // namespace

Result<FlowKey> parseExplainFlowTarget(std::string_view target)
{
    const Error error { ErrorKind::InvalidSetting,
        "use /explain-flow?client=IP:PORT&route=IP:PORT with IPv4 addresses and ports above 0" };
    const size_t pathEnd = target.find('?');
    if (pathEnd == std::string_view::npos)
        return error;
    std::map<std::string_view, PacketAddress> addresses;
    std::string_view rest = target.substr(pathEnd + 1);
    for (bool isLast = false; !isLast;) {
        const size_t end = rest.find('&');
        isLast = end == std::string_view::npos;
        const std::string_view parameter = rest.substr(0, end);
        rest = isLast ? std::string_view() : rest.substr(end + 1);
        const size_t nameEnd = std::min(parameter.find('='), parameter.size());
        const std::string_view name = parameter.substr(0, nameEnd);
        const std::optional<std::string> text
            = decodePercent(parameter.substr(std::min(nameEnd + 1, parameter.size())));
        const std::optional<PacketAddress> address = text ? parsePacketAddress(*text) : std::nullopt;
        if (!address || address->port == 0 || (name != "client" && name != "route")
            || !addresses.emplace(name, *address).second)
            return error;
    }
    if (addresses.size() != 2)
        return error;
    return FlowKey { addresses.at("client"), addresses.at("route") };
}

std::string encodeJson(const FlowExplanation& explanation)
{
    json::object result { { "client", toString(explanation.flow.client) },
        { "route", toString(explanation.flow.route) }, { "routeName", textOrNull(explanation.routeName) },
        { "outcome", explanation.outcome ? json::value(nameOf(*explanation.outcome)) : json::value("by-service") },
        { "cause", textOrNull(explanation.cause) }, { "routesVersion", explanation.routesVersion },
        { "directoryRevision", explanation.directoryRevision }, { "provisional", explanation.isProvisional } };
    if (explanation.limits)
        result["limits"] = { { "objectiveMs", explanation.limits->objective.count() },
            { "timeoutMs", explanation.limits->timeout.count() }, { "priority", explanation.limits->priority } };
    json::array services;
    for (const ServiceExplanation& service : explanation.services)
        services.push_back({ { "service", toString(service.service) }, { "weight", service.weight },
            { "outcome", nameOf(service.outcome) }, { "cause", textOrNull(service.cause) },
            { "admittedLate", service.isAdmittedLate }, { "candidates", toJson(service.candidates) },
            { "excluded", toJson(service.excluded) } });
    result["services"] = std::move(services);
    return json::serialize(result);
}

} // namespace wasabicroft
