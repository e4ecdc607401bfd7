#include "wasabicroft/ConfigCodec.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <limits>
#include <set>
#include <span>
#include <xxhash.h>

namespace wasabicroft {

namespace json = boost::json;

namespace {

    constexpr std::string_view recompileHint = "; publish the output of wasabictl compile unchanged";

    Error invalidConfig(const std::string& message) { return Error { ErrorKind::InvalidConfig, message }; }

    std::string toHex(uint64_t value)
    {
        std::string digits(16, '0');
        for (size_t i = digits.size(); i > 0; --i) {
            digits[i - 1] = "0123456789abcdef"[value & 0xf];
            value >>= 4;
        }
        return digits;
    }

    std::string rangeText(NumberRange range) { return std::to_string(range.min) + " to " + std::to_string(range.max); }

    template <typename Item> std::vector<Item> sortedByName(std::vector<Item> items)
    {
        std::sort(items.begin(), items.end(), [](const Item& a, const Item& b) { return a.name < b.name; });
        return items;
    }

    //-------------------------------------------------------------------------
    // Decoding
    //-------------------------------------------------------------------------

    // Reads the members of a JSON object and keeps the first error: a member that is missing or has the wrong type.
    class ObjectReader {
    public:
        ObjectReader(const json::value& value, std::string path)
            : object(value.if_object())
            , path(std::move(path))
        {
            if (!this->object)
                this->fail("is not an object");
        }

        std::string text(std::string_view key)
        {
            const json::value* value = this->member(key);
            if (!value)
                return {};
            if (!value->is_string()) {
                this->fail(std::string(key) + " is not a string");
                return {};
            }
            return std::string(value->get_string());
        }

        uint64_t number(std::string_view key, uint64_t max)
        {
            const json::value* value = this->member(key);
            if (!value)
                return 0;
            const bool isNegative = value->is_int64() && value->get_int64() < 0;
            if ((!value->is_int64() && !value->is_uint64()) || isNegative || value->to_number<uint64_t>() > max) {
                this->fail(std::string(key) + " is not a whole number from 0 to " + std::to_string(max));
                return 0;
            }
            return value->to_number<uint64_t>();
        }

        double real(std::string_view key)
        {
            const json::value* value = this->member(key);
            if (value && value->is_number())
                return value->to_number<double>();
            if (value)
                this->fail(std::string(key) + " is not a number");
            return 0;
        }

        bool boolean(std::string_view key)
        {
            const json::value* value = this->member(key);
            if (value && value->is_bool())
                return value->get_bool();
            if (value)
                this->fail(std::string(key) + " is neither true nor false");
            return false;
        }

        Endpoint endpoint(std::string_view key)
        {
            const std::string value = this->text(key);
            if (this->problem)
                return {};
            const Result<Endpoint> endpoint = parseEndpoint(value);
            if (endpoint)
                return endpoint.value();
            this->fail(std::string(key) + ": " + endpoint.error().message);
            return {};
        }

        uint64_t digest(std::string_view key)
        {
            const std::string value = this->text(key);
            uint64_t digest = 0;
            const char* end = value.data() + value.size();
            const std::from_chars_result parsed = std::from_chars(value.data(), end, digest, 16);
            if (value.size() != 16 || parsed.ec != std::errc() || parsed.ptr != end)
                this->fail(std::string(key) + " is not a digest of 16 hexadecimal digits");
            return digest;
        }

        template <typename Name> Name enumValue(std::string_view key, std::span<const std::string_view> names)
        {
            const std::string value = this->text(key);
            const auto found = std::find(names.begin(), names.end(), value);
            if (found == names.end()) {
                this->fail(std::string(key) + " has the unknown value '" + value + "'");
                return Name();
            }
            return static_cast<Name>(found - names.begin());
        }

        // Calls read(ObjectReader&) for each element of an array.
        void forEachElement(std::string_view key, const std::function<void(ObjectReader&)>& read)
        {
            const json::value* value = this->member(key);
            if (!value)
                return;
            if (!value->is_array()) {
                this->fail(std::string(key) + " is not an array");
                return;
            }
            for (size_t i = 0; i < value->get_array().size() && !this->problem; ++i) {
                const std::string elementPath = this->path + '/' + std::string(key) + '/' + std::to_string(i);
                ObjectReader element(value->get_array()[i], elementPath);
                if (!element.problem)
                    read(element);
                element.rejectUnknownKeys();
                if (element.problem)
                    this->problem = element.problem;
            }
        }

        // Reports members that were not read.
        void rejectUnknownKeys()
        {
            if (this->problem || !this->object)
                return;
            for (const json::key_value_pair& member : *this->object) {
                if (!this->readKeys.contains(std::string(member.key())))
                    this->fail("has the unknown key '" + std::string(member.key()) + "'");
            }
        }

        const std::optional<std::string>& error() const { return this->problem; }

    private:
        const json::value* member(std::string_view key)
        {
            if (!this->object)
                return nullptr;
            this->readKeys.insert(std::string(key));
            const json::value* value = this->object->if_contains(key);
            if (!value)
                this->fail("lacks the key '" + std::string(key) + "'");
            return value;
        }

        void fail(const std::string& message)
        {
            if (!this->problem)
                this->problem = this->path + ' ' + message;
        }

        const json::object* object;
        std::string path;
        std::set<std::string> readKeys;
        std::optional<std::string> problem;
    };

    // Decodes bytes with read and accepts them only if encode reproduces them. That also rejects duplicate keys, of
    // which the JSON parser silently keeps the last.
    template <typename Value>
    Result<Value> decodeCanonical(std::string_view bytes, const std::string& what,
        const std::function<Value(ObjectReader&)>& read, const std::function<std::string(const Value&)>& encode)
    {
        json::error_code failure;
        const json::value document = json::parse(json::string_view(bytes.data(), bytes.size()), failure);
        if (failure)
            return invalidConfig(what + " is not valid JSON (" + failure.message() + ")" + std::string(recompileHint));
        ObjectReader reader(document, what);
        Value value {};
        if (!reader.error())
            value = read(reader);
        reader.rejectUnknownKeys();
        if (reader.error())
            return invalidConfig(*reader.error() + std::string(recompileHint));
        if (encode(value) != bytes)
            return invalidConfig(what + " is not in the canonical encoding" + std::string(recompileHint));
        return value;
    }

    ServiceConfig readService(ObjectReader& reader)
    {
        ServiceConfig service;
        service.name = reader.text("name");
        reader.forEachElement("listeners", [&](ObjectReader& entry) {
            ListenerConfig listener;
            listener.name = entry.text("name");
            listener.endpoint = entry.endpoint("endpoint");
            listener.trafficClass = entry.enumValue<TrafficClass>("class", trafficClassNames);
            service.listeners.push_back(listener);
        });
        reader.forEachElement("upstreams", [&](ObjectReader& entry) {
            UpstreamConfig upstream;
            upstream.name = entry.text("name");
            upstream.failureDomain = entry.text("failureDomain");
            upstream.agent = entry.endpoint("agent");
            upstream.address = entry.endpoint("address");
            upstream.leaving = entry.boolean("leaving");
            service.upstreams.push_back(upstream);
        });
        service.slots = static_cast<uint16_t>(reader.number("slots", UINT16_MAX));
        service.connections = static_cast<uint32_t>(reader.number("connections", UINT32_MAX));
        service.queueLimit = static_cast<uint16_t>(reader.number("queueLimit", UINT16_MAX));
        service.maxQueueWait = Milliseconds(reader.number("maxQueueWaitMs", INT32_MAX));
        service.rampDuration = Milliseconds(reader.number("rampDurationMs", INT32_MAX));
        service.stragglerAfter = Milliseconds(reader.number("stragglerAfterMs", INT32_MAX));
        service.retryBudget = reader.real("retryBudget");
        service.proxyHeader = reader.boolean("proxyHeader");
        service.refusal = reader.text("refusal");
        return service;
    }

    Manifest readManifest(ObjectReader& reader)
    {
        Manifest manifest;
        manifest.epoch = reader.number("epoch", UINT64_MAX);
        manifest.version = reader.number("version", UINT64_MAX);
        reader.forEachElement("services", [&](ObjectReader& entry) {
            ManifestEntry service;
            service.service = entry.text("name");
            service.digest = entry.digest("digest");
            manifest.services.push_back(service);
        });
        return manifest;
    }

    std::vector<Member> readMembers(ObjectReader& reader)
    {
        std::vector<Member> members;
        reader.forEachElement("instances", [&](ObjectReader& entry) {
            Member member;
            member.name = entry.text("name");
            member.role = entry.enumValue<MemberRole>("role", memberRoleNames);
            member.failureDomain = entry.text("failureDomain");
            member.control = entry.endpoint("control");
            member.leaving = entry.boolean("leaving");
            members.push_back(member);
        });
        return members;
    }

    //-------------------------------------------------------------------------
    // Validation
    //-------------------------------------------------------------------------

    class Validator {
    public:
        explicit Validator(const NameHash& hash)
            : hash(hash)
        {
        }

        void check(const ServiceConfig& service)
        {
            const std::string path = serviceKey(service.name);
            this->checkName(path, "service", service.name, this->serviceHashes);
            this->checkNumbers(path, service);
            if (service.listeners.empty())
                this->add(path + "/listeners", "the service has no listener; add at least one");
            if (service.upstreams.empty())
                this->add(path + "/upstreams", "the service has no upstream; add at least one or remove the service");
            std::map<uint64_t, std::string> listenerHashes;
            for (const ListenerConfig& listener : service.listeners) {
                const std::string listenerPath = path + "/listeners/" + listener.name;
                this->checkName(listenerPath, "listener", listener.name, listenerHashes);
                this->checkEndpoint(listenerPath + "/endpoint", listener.endpoint);
            }
            for (const UpstreamConfig& upstream : service.upstreams)
                this->check(path + "/upstreams/" + upstream.name, upstream);
        }

        std::vector<ConfigProblem> problems;

    private:
        struct PortEndpoints {
            std::map<std::string, std::string> paths; // Paths in the configuration by address.
            std::string wildcard; // Unspecified address in use, such as 0.0.0.0; empty if none.
        };

        void check(const std::string& path, const UpstreamConfig& upstream)
        {
            this->checkName(path, "upstream", upstream.name, this->upstreamHashes);
            if (!isValidName(upstream.failureDomain))
                this->add(path + "/failureDomain", this->invalidNameMessage("failure domain", upstream.failureDomain));
            this->checkEndpoint(path + "/agent", upstream.agent);
            this->checkEndpoint(path + "/address", upstream.address);
        }

        void checkNumbers(const std::string& path, const ServiceConfig& service)
        {
            this->checkRange(path + "/slots", service.slots, config_bounds::slots);
            this->checkRange(path + "/connections", service.connections, config_bounds::connections);
            this->checkRange(path + "/queueLimit", service.queueLimit, config_bounds::queueLimit);
            this->checkDuration(path + "/maxQueueWaitMs", service.maxQueueWait, config_bounds::maxQueueWait);
            this->checkDuration(path + "/rampDurationMs", service.rampDuration, config_bounds::rampDuration);
            this->checkDuration(path + "/stragglerAfterMs", service.stragglerAfter, config_bounds::stragglerAfter);
            if (!(service.retryBudget >= 0 && service.retryBudget <= config_bounds::maxRetryBudget))
                this->add(path + "/retryBudget", "the retry budget is out of bounds; set it to a number from 0 to 1");
            if (service.refusal.size() > config_bounds::maxRefusalBytes)
                this->add(path + "/refusal",
                    "the refusal has " + std::to_string(service.refusal.size()) + " bytes; shorten it to "
                        + std::to_string(config_bounds::maxRefusalBytes));
        }

        void checkRange(const std::string& path, uint64_t value, NumberRange range)
        {
            if (!range.contains(value))
                this->add(path,
                    std::to_string(value) + " is out of bounds; set it to a whole number from " + rangeText(range));
        }

        void checkDuration(const std::string& path, Milliseconds value, NumberRange range)
        {
            if (value.count() < 0 || !range.contains(static_cast<uint64_t>(value.count())))
                this->add(path,
                    std::to_string(value.count()) + " ms is out of bounds; set it to " + rangeText(range)
                        + " milliseconds");
        }

        std::string invalidNameMessage(std::string_view kind, const std::string& name) const
        {
            return '\'' + name + "' is not a valid name of a " + std::string(kind)
                + "; use 1 to 64 lower-case letters, digits, '-' or '.', and start with a letter or digit";
        }

        // Frames carry hashes of names instead of the names, so two names must not have the same hash.
        void checkName(const std::string& path, const std::string& kind, const std::string& name,
            std::map<uint64_t, std::string>& hashes)
        {
            if (!isValidName(name)) {
                this->add(path, this->invalidNameMessage(kind, name));
                return;
            }
            const auto [found, isNew] = hashes.try_emplace(this->hash(name), name);
            if (isNew)
                return;
            if (found->second == name)
                this->add(path, kind + " name '" + name + "' is used twice; rename one of them");
            else
                this->add(path,
                    kind + " names '" + name + "' and '" + found->second + "' have the same hash; rename one of them");
        }

        // An address must be used only once: if two services shared it, traffic of one would be delivered to the other.
        void checkEndpoint(const std::string& path, const Endpoint& endpoint)
        {
            boost::system::error_code error;
            const boost::asio::ip::address address = boost::asio::ip::make_address(endpoint.address, error);
            if (error || endpoint.port == 0 || address.is_multicast()) {
                this->add(path,
                    '\'' + toString(endpoint)
                        + "' is not a usable endpoint; set an IP address and a port from 1 to 65535");
                return;
            }
            PortEndpoints& users = this->endpoints[endpoint.port];
            std::map<std::string, std::string>::const_iterator other = users.paths.find(endpoint.address);
            if (other == users.paths.end() && address.is_unspecified())
                other = users.paths.begin();
            if (other == users.paths.end())
                other = users.paths.find(users.wildcard);
            if (other != users.paths.end()) {
                this->add(path,
                    toString(endpoint) + " overlaps " + toString(Endpoint { other->first, endpoint.port }) + " of "
                        + other->second + "; give one of them another address or port");
                return;
            }
            users.paths.emplace(endpoint.address, path);
            if (address.is_unspecified())
                users.wildcard = endpoint.address;
        }

        void add(const std::string& path, const std::string& message) { this->problems.push_back({ path, message }); }

        const NameHash& hash;
        std::map<uint64_t, std::string> serviceHashes;
        std::map<uint64_t, std::string> upstreamHashes;
        std::map<uint16_t, PortEndpoints> endpoints;
    };

    Error digestMismatch(const std::string& service)
    {
        return invalidConfig("the value of service '" + service
            + "' does not match its digest in the manifest; wait for the publication to finish or publish again");
    }

} // namespace

std::string serviceKey(std::string_view service) { return std::string(serviceKeyPrefix) + std::string(service); }

uint64_t digestOf(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::string encodeManifest(const Manifest& manifest)
{
    std::vector<ManifestEntry> entries = manifest.services;
    std::sort(entries.begin(), entries.end(),
        [](const ManifestEntry& a, const ManifestEntry& b) { return a.service < b.service; });
    json::array services;
    for (const ManifestEntry& entry : entries)
        services.push_back({ { "name", entry.service }, { "digest", toHex(entry.digest) } });
    return json::serialize(json::object {
        { "epoch", manifest.epoch }, { "version", manifest.version }, { "services", std::move(services) } });
}

std::string encodeService(const ServiceConfig& service)
{
    json::array listeners;
    for (const ListenerConfig& listener : sortedByName(service.listeners))
        listeners.push_back({ { "name", listener.name }, { "endpoint", toString(listener.endpoint) },
            { "class", json::string(nameOf(listener.trafficClass)) } });
    json::array upstreams;
    for (const UpstreamConfig& upstream : sortedByName(service.upstreams))
        upstreams.push_back({ { "name", upstream.name }, { "failureDomain", upstream.failureDomain },
            { "agent", toString(upstream.agent) }, { "address", toString(upstream.address) },
            { "leaving", upstream.leaving } });
    return json::serialize(json::object { { "name", service.name }, { "listeners", std::move(listeners) },
        { "upstreams", std::move(upstreams) }, { "slots", service.slots }, { "connections", service.connections },
        { "queueLimit", service.queueLimit }, { "maxQueueWaitMs", service.maxQueueWait.count() },
        { "rampDurationMs", service.rampDuration.count() }, { "stragglerAfterMs", service.stragglerAfter.count() },
        { "retryBudget", service.retryBudget }, { "proxyHeader", service.proxyHeader },
        { "refusal", service.refusal } });
}

std::map<std::string, std::string> flatten(const ServiceConfig& service)
{
    std::map<std::string, std::string> values;
    const std::string path = serviceKey(service.name);
    const auto text = [](bool value) { return value ? "true" : "false"; };
    for (const ListenerConfig& listener : service.listeners) {
        const std::string listenerPath = path + "/listeners/" + listener.name;
        values[listenerPath + "/endpoint"] = toString(listener.endpoint);
        values[listenerPath + "/class"] = nameOf(listener.trafficClass);
    }
    for (const UpstreamConfig& upstream : service.upstreams) {
        const std::string upstreamPath = path + "/upstreams/" + upstream.name;
        values[upstreamPath + "/failureDomain"] = upstream.failureDomain;
        values[upstreamPath + "/agent"] = toString(upstream.agent);
        values[upstreamPath + "/address"] = toString(upstream.address);
        values[upstreamPath + "/leaving"] = text(upstream.leaving);
    }
    values[path + "/slots"] = std::to_string(service.slots);
    values[path + "/connections"] = std::to_string(service.connections);
    values[path + "/queueLimit"] = std::to_string(service.queueLimit);
    values[path + "/maxQueueWaitMs"] = std::to_string(service.maxQueueWait.count());
    values[path + "/rampDurationMs"] = std::to_string(service.rampDuration.count());
    values[path + "/stragglerAfterMs"] = std::to_string(service.stragglerAfter.count());
    std::array<char, 32> number {};
    const std::to_chars_result end = std::to_chars(number.data(), number.data() + number.size(), service.retryBudget);
    values[path + "/retryBudget"] = std::string(number.data(), end.ptr);
    values[path + "/proxyHeader"] = text(service.proxyHeader);
    values[path + "/refusal"] = json::serialize(json::string(service.refusal));
    return values;
}

std::string encodeMembers(const std::vector<Member>& members)
{
    json::array instances;
    for (const Member& member : sortedByName(members))
        instances.push_back(
            { { "name", member.name }, { "role", json::string(memberRoleNames.at(static_cast<size_t>(member.role))) },
                { "failureDomain", member.failureDomain }, { "control", toString(member.control) },
                { "leaving", member.leaving } });
    return json::serialize(json::object { { "instances", std::move(instances) } });
}

Result<Manifest> decodeManifest(std::string_view bytes)
{
    Result<Manifest> manifest = decodeCanonical<Manifest>(bytes, "manifest", readManifest, encodeManifest);
    if (!manifest)
        return manifest;
    const std::vector<ManifestEntry>& services = manifest.value().services;
    if (services.empty())
        return invalidConfig("manifest lists no service" + std::string(recompileHint));
    if (!config_bounds::version.contains(manifest.value().version))
        return invalidConfig("manifest has version 0; compile with a version of 1 or more");
    for (size_t i = 1; i < services.size(); ++i) {
        if (services[i].service == services[i - 1].service)
            return invalidConfig(
                "manifest lists service '" + services[i].service + "' twice" + std::string(recompileHint));
    }
    return manifest;
}

Result<ServiceConfig> decodeService(std::string_view bytes)
{
    return decodeCanonical<ServiceConfig>(bytes, "service value", readService, encodeService);
}

Result<std::vector<Member>> decodeMembers(std::string_view bytes)
{
    Result<std::vector<Member>> members
        = decodeCanonical<std::vector<Member>>(bytes, "instance list", readMembers, encodeMembers);
    if (!members)
        return members;
    for (size_t i = 1; i < members.value().size(); ++i) {
        if (members.value()[i].name == members.value()[i - 1].name)
            return invalidConfig(
                "instance list has '" + members.value()[i].name + "' twice; remove one of the entries");
    }
    return members;
}

bool isValidName(std::string_view name)
{
    const auto isAlphanumeric = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
    if (name.empty() || name.size() > config_bounds::maxNameBytes || !isAlphanumeric(name.front()))
        return false;
    return std::all_of(name.begin(), name.end(), [&](char c) { return isAlphanumeric(c) || c == '-' || c == '.'; });
}

std::vector<ConfigProblem> validate(const std::vector<ServiceConfig>& services, const NameHash& hash)
{
    Validator validator(hash);
    for (const ServiceConfig& service : sortedByName(services))
        validator.check(service);
    if (services.empty())
        validator.problems.push_back({ "services", "there is no service; add at least one" });
    return validator.problems;
}

ConfigVersion versionOf(const Manifest& manifest, std::string_view manifestBytes)
{
    return { manifest.epoch, manifest.version, digestOf(manifestBytes) };
}

Result<std::shared_ptr<const Snapshot>> parseSnapshot(std::string_view manifestBytes, const ValuesByService& values)
{
    const Result<Manifest> manifest = decodeManifest(manifestBytes);
    if (!manifest)
        return manifest.error();
    Snapshot snapshot { manifest.value(), digestOf(manifestBytes), {} };
    for (const ManifestEntry& entry : manifest.value().services) {
        const auto value = values.find(entry.service);
        if (value == values.end())
            return invalidConfig(
                "the value of service '" + entry.service + "' is missing; publish it with the manifest");
        if (digestOf(value->second) != entry.digest)
            return digestMismatch(entry.service);
        const Result<ServiceConfig> service = decodeService(value->second);
        if (!service)
            return invalidConfig("service '" + entry.service + "': " + service.error().message);
        if (service.value().name != entry.service)
            return invalidConfig("the value of service '" + entry.service + "' belongs to service '"
                + service.value().name + '\'' + std::string(recompileHint));
        snapshot.services.push_back(service.value());
    }
    const std::vector<ConfigProblem> problems = validate(snapshot.services);
    if (!problems.empty())
        return invalidConfig(problems.front().path + ": " + problems.front().message + " ("
            + std::to_string(problems.size()) + " problems in total)");
    return std::shared_ptr<const Snapshot>(std::make_shared<Snapshot>(std::move(snapshot)));
}

PublishedConfig encodeConfig(uint64_t epoch, uint64_t version, const std::vector<ServiceConfig>& services)
{
    PublishedConfig published;
    Manifest manifest { epoch, version, {} };
    for (const ServiceConfig& service : services) {
        const std::string bytes = encodeService(service);
        manifest.services.push_back({ service.name, digestOf(bytes) });
        published.values[service.name] = bytes;
    }
    published.manifest = encodeManifest(manifest);
    return published;
}

PublishedConfig encodeConfig(const Snapshot& snapshot)
{
    return encodeConfig(snapshot.manifest.epoch, snapshot.manifest.version, snapshot.services);
}

} // namespace wasabicroft
