#include "backends/EvacuationStatus.h"

#include "wasabicroft/Evacuation.h"

#include <algorithm>

namespace wasabicroft {

namespace json = boost::json;

namespace {

    // An entry that does not know an order offers flows all the time; agents refuse each of them.
    constexpr uint64_t recentOfferMs = 10000;

    uint64_t numberOf(const json::object& fields, std::string_view key)
    {
        const json::value* value = fields.if_contains(key);
        json::error_code error;
        return value && value->is_number() ? value->to_number<uint64_t>(error) : 0;
    }

    std::string textOf(const json::object& fields, std::string_view key)
    {
        const json::value* value = fields.if_contains(key);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    void readEntry(const json::object& status, EvacuationReading& reading)
    {
        reading.isEntry = true;
        const json::value* domains = status.if_contains("evacuatedDomains");
        reading.isKnown = domains && domains->is_array();
        if (!reading.isKnown)
            return;
        for (const json::value& domain : domains->get_array()) {
            if (domain.is_string())
                reading.evacuatedDomains.emplace(domain.get_string());
        }
        // Programs of the previous version state no age. Null: never confirmed.
        const json::value* age = status.if_contains("evacuationConfirmedMs");
        reading.isUnconfirmed = age
            && (age->is_null()
                || numberOf(status, "evacuationConfirmedMs")
                    > static_cast<uint64_t>(maxEvacuationConfirmationAge.count()));
    }

    void readAgent(const json::object& status, bool isEvacuated, EvacuationReading& reading)
    {
        reading.failureDomain = textOf(status, "failureDomain");
        if (isEvacuated && !reading.failureDomain.empty())
            reading.evacuatedDomains.insert(reading.failureDomain);
        const json::value* offer = status.if_contains("lastRefusedOffer");
        if (offer && offer->is_object())
            reading.refusedOffer = ReportedOffer { textOf(offer->get_object(), "entry"), reading.endpoint,
                numberOf(offer->get_object(), "ageMs") };
    }

    std::string describeMissing(const EvacuationReading& reading)
    {
        if (!reading.isEntry)
            return "agent " + reading.endpoint;
        return "entry " + reading.endpoint + (reading.isKnown ? "" : " (does not know the orders)");
    }

    void addReading(const EvacuationReading& reading, DomainEvacuation& evacuation)
    {
        if (!reading.isEntry && reading.failureDomain != evacuation.domain)
            return;
        const bool isInForce = reading.evacuatedDomains.contains(evacuation.domain);
        ++(reading.isEntry ? evacuation.entries : evacuation.agents);
        if (isInForce) {
            ++(reading.isEntry ? evacuation.entriesInForce : evacuation.agentsInForce);
            evacuation.positions[reading.position].push_back(reading.endpoint);
            if (reading.isUnconfirmed)
                evacuation.unconfirmed.push_back(reading.endpoint);
        } else {
            evacuation.missing.push_back(describeMissing(reading));
        }
        if (isInForce && reading.refusedOffer && reading.refusedOffer->ageMs <= recentOfferMs)
            evacuation.offers.push_back(*reading.refusedOffer);
    }

    std::string join(const std::vector<std::string>& items)
    {
        std::string text;
        for (const std::string& item : items)
            text += (text.empty() ? "" : ", ") + item;
        return text;
    }

    std::string toText(const DomainEvacuation& evacuation)
    {
        std::string text = evacuation.domain + ": in force at " + std::to_string(evacuation.entriesInForce) + " of "
            + std::to_string(evacuation.entries) + " entries, " + std::to_string(evacuation.agentsInForce) + " of "
            + std::to_string(evacuation.agents) + " agents\n";
        for (auto item = evacuation.positions.rbegin(); item != evacuation.positions.rend(); ++item) {
            const auto& [position, endpoints] = *item;
            text += "  position " + std::to_string(position) + " at " + std::to_string(endpoints.size());
            // Those with the newest position are the rule, so that only the others are listed.
            text += item == evacuation.positions.rbegin() ? "\n" : ": " + join(endpoints) + '\n';
        }
        for (const std::string& missing : evacuation.missing)
            text += "  not in force at " + missing + '\n';
        for (const std::string& endpoint : evacuation.unconfirmed)
            text += "  unconfirmed at entry " + endpoint + '\n';
        for (const ReportedOffer& offer : evacuation.offers)
            text += "  entry " + offer.entry + " still offers flows: refused by " + offer.agent + ' '
                + std::to_string(offer.ageMs) + " ms before its status\n";
        return text;
    }

} // namespace

Result<EvacuationReading> readEvacuation(const std::string& endpoint, const json::object& status)
{
    EvacuationReading reading;
    reading.endpoint = endpoint;
    reading.position = numberOf(status, "evacuationPosition");
    const json::value* evacuated = status.if_contains("evacuated");
    if (status.contains("routesVersion"))
        readEntry(status, reading);
    else if (evacuated && evacuated->is_bool())
        readAgent(status, evacuated->get_bool(), reading);
    else
        return Error { ErrorKind::InvalidConfig,
            endpoint + ": states nothing about evacuations; name operator addresses of packet entries and agents" };
    return reading;
}

EvacuationReport compareEvacuations(const std::vector<EvacuationReading>& readings)
{
    EvacuationReport report;
    std::map<std::string, DomainEvacuation> byDomain;
    for (const EvacuationReading& reading : readings) {
        for (const std::string& domain : reading.evacuatedDomains)
            byDomain[domain].domain = domain;
        if (!reading.isEntry && reading.failureDomain.empty())
            report.unassignedAgents.push_back(reading.endpoint);
    }
    for (auto& [domain, evacuation] : byDomain) {
        for (const EvacuationReading& reading : readings)
            addReading(reading, evacuation);
        report.domains.push_back(std::move(evacuation));
    }
    return report;
}

bool EvacuationReport::isInForceEverywhere() const
{
    return !this->domains.empty() && this->unassignedAgents.empty()
        && std::all_of(this->domains.begin(), this->domains.end(),
            [](const DomainEvacuation& evacuation) { return evacuation.isInForceEverywhere(); });
}

std::string toText(const EvacuationReport& report)
{
    std::string text;
    for (const DomainEvacuation& evacuation : report.domains)
        text += toText(evacuation);
    if (report.domains.empty())
        text = "no evacuation is in force\n";
    if (!report.unassignedAgents.empty())
        text += "agents that state no failure domain, as programs of the previous version: "
            + join(report.unassignedAgents) + '\n';
    return text;
}

} // namespace wasabicroft
