#include "wasabicroft/Evacuation.h"

#include <algorithm>
#include <utility>

namespace wasabicroft {

namespace {

    // Withdrawn domains are remembered until the next list, so that a late order does not return. Distinct names in a
    // writer's reach are limited only by the store: the earliest changes are forgotten beyond this number.
    constexpr size_t maxChanges = 1024;

} // namespace

bool isDomainName(std::string_view text)
{
    return !text.empty() && text.size() <= maxDomainNameBytes
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~' && c != '/'; });
}

bool EvacuationState::isOutdated(const std::string& domain, uint64_t position) const
{
    const auto change = this->changes.find(domain);
    return position <= this->listPosition || (change != this->changes.end() && position <= change->second);
}

bool EvacuationState::update(const std::string& domain, uint64_t position)
{
    if (!isDomainName(domain) || this->isOutdated(domain, position))
        return false;
    if (!this->current.domains.contains(domain) && this->current.domains.size() >= maxEvacuatedDomains) {
        ++this->dropped;
        return false;
    }
    this->changes[domain] = position;
    this->current.domains.insert(domain);
    this->current.position = std::max(this->current.position, position);
    return true;
}

bool EvacuationState::remove(const std::string& domain, uint64_t position)
{
    if (!isDomainName(domain) || this->isOutdated(domain, position))
        return false;
    this->changes[domain] = position;
    if (this->changes.size() > maxChanges)
        this->changes.erase(std::min_element(this->changes.begin(), this->changes.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; }));
    const bool wasOrdered = this->current.domains.erase(domain) > 0;
    this->needsRead = this->needsRead || (wasOrdered && this->dropped > 0);
    this->current.position = std::max(this->current.position, position);
    return true;
}

bool EvacuationState::replace(std::set<std::string> domains, uint64_t position)
{
    // The watch that follows the list repeats the changes in between: they are newer than the list.
    if (position < this->current.position)
        return false;
    return this->setAll(std::move(domains), position);
}

bool EvacuationState::adoptFromPeer(const EvacuationOrders& stated)
{
    if (stated.position <= this->current.position)
        return false;
    return this->setAll(stated.domains, stated.position);
}

bool EvacuationState::setAll(std::set<std::string> domains, uint64_t position)
{
    std::erase_if(domains, [](const std::string& domain) { return !isDomainName(domain); });
    this->dropped = 0;
    // The same domains at every entry, since each takes the first ones by name.
    while (domains.size() > maxEvacuatedDomains) {
        domains.erase(std::prev(domains.end()));
        ++this->dropped;
    }
    this->needsRead = false;
    this->changes.clear();
    this->listPosition = position;
    EvacuationOrders orders { position, std::move(domains) };
    return std::exchange(this->current, orders) != orders;
}

bool EvacuationState::takeReadRequest() { return std::exchange(this->needsRead, false); }

EvacuationConfirmation::EvacuationConfirmation(const Clock& pauseClock)
    : clock(pauseClock)
    , lastPoll(pauseClock.now())
{
}

void EvacuationConfirmation::onStoreConfirmed(uint64_t completePosition, Duration age, const EvacuationOrders& known)
{
    if (known.position > 0 && completePosition >= known.position)
        this->confirmed = std::max(this->confirmed, std::optional(this->clock.now() - age));
}

// Positions only grow: a confirmation of earlier orders also limits the age of later ones.
void EvacuationConfirmation::onPeerStated(uint64_t position, const EvacuationOrders& known)
{
    if (known.position > 0 && position >= known.position)
        this->confirmed = std::max(this->confirmed, std::optional(this->lastPoll));
}

void EvacuationConfirmation::onPolled() { this->lastPoll = this->clock.now(); }

std::optional<Duration> EvacuationConfirmation::age() const
{
    return this->confirmed ? std::optional(this->clock.now() - *this->confirmed) : std::nullopt;
}

} // namespace wasabicroft
