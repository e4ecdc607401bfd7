#include "wasabicroft/Config.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace wasabicroft {

namespace {

    Error invalidEndpoint(std::string_view text)
    {
        return Error { ErrorKind::InvalidConfig,
            "'" + std::string(text) + "' is not an IP address with a port; write for example 192.0.2.1:443" };
    }

} // namespace

std::string toString(const Endpoint& endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    return (isV6 ? '[' + endpoint.address + ']' : endpoint.address) + ':' + std::to_string(endpoint.port);
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalidEndpoint(text);
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    uint16_t number = 0;
    const std::from_chars_result parsed = std::from_chars(port.data(), port.data() + port.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size())
        return invalidEndpoint(text);
    boost::system::error_code error;
    const boost::asio::ip::address address = boost::asio::ip::make_address(std::string(host), error);
    if (error)
        return invalidEndpoint(text);
    return Endpoint { address.to_string(), number };
}

const ServiceConfig* Snapshot::find(ServiceId id) const
{
    const auto found = std::find_if(this->services.begin(), this->services.end(),
        [id](const ServiceConfig& service) { return service.id() == id; });
    return found == this->services.end() ? nullptr : &*found;
}

ConfigVersion versionOf(const Snapshot& snapshot)
{
    return { snapshot.manifest.epoch, snapshot.manifest.version, snapshot.digest };
}

bool ConfigStore::acceptIfNewer(std::shared_ptr<const Snapshot> candidate)
{
    if (this->snapshot && versionOf(*candidate) <= versionOf(*this->snapshot))
        return false;
    this->snapshot = std::move(candidate);
    return true;
}

std::shared_ptr<const Snapshot> ConfigStore::current() const { return this->snapshot; }

ConfigVersion ConfigStore::version() const { return this->snapshot ? versionOf(*this->snapshot) : ConfigVersion(); }

} // namespace wasabicroft
