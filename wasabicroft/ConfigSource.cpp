#include "wasabicroft/ConfigSource.h"

#include "wasabicroft/ConfigCodec.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <yaml-cpp/yaml.h>

namespace wasabicroft {

namespace {

    //-------------------------------------------------------------------------
    // Schema
    //-------------------------------------------------------------------------

    // Parses a value into a member of Item. On invalid text, returns a description of the expected values instead.
    template <typename Item> using ValueParser = std::function<std::optional<std::string>(Item&, const std::string&)>;

    template <typename Item> struct KeySpec {
        std::string name;
        ValueParser<Item> assign;
        bool isRequired = false;
    };

    template <typename Number> std::optional<Number> parseNumber(const std::string& text)
    {
        Number value {};
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    template <typename Item, typename Number> ValueParser<Item> integerParser(Number Item::*member, NumberRange range)
    {
        return [member, range](Item& item, const std::string& text) -> std::optional<std::string> {
            const std::optional<uint64_t> value = parseNumber<uint64_t>(text);
            if (!value || !range.contains(*value))
                return "a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max);
            item.*member = static_cast<Number>(*value);
            return std::nullopt;
        };
    }

    ValueParser<ServiceConfig> fractionParser(double ServiceConfig::*member, double max)
    {
        return [member, max](ServiceConfig& item, const std::string& text) -> std::optional<std::string> {
            const std::optional<double> value = parseNumber<double>(text);
            if (!value || !(*value >= 0 && *value <= max))
                return "a number from 0 to 1";
            item.*member = *value;
            return std::nullopt;
        };
    }

    template <typename Item> ValueParser<Item> booleanParser(bool Item::*member)
    {
        return [member](Item& item, const std::string& text) -> std::optional<std::string> {
            if (text != "true" && text != "false")
                return "true or false";
            item.*member = text == "true";
            return std::nullopt;
        };
    }

    template <typename Item> ValueParser<Item> endpointParser(Endpoint Item::*member)
    {
        return [member](Item& item, const std::string& text) -> std::optional<std::string> {
            const Result<Endpoint> value = parseEndpoint(text);
            if (!value || value.value().port == 0)
                return "an IP address with a port from 1 to 65535, for example 192.0.2.1:443";
            item.*member = value.value();
            return std::nullopt;
        };
    }

    std::optional<std::string> assignClass(ListenerConfig& listener, const std::string& text)
    {
        const std::optional<TrafficClass> value = trafficClassFromName(text);
        if (!value)
            return "feed, request or bulk";
        listener.trafficClass = *value;
        return std::nullopt;
    }

    std::optional<std::string> assignFailureDomain(UpstreamConfig& upstream, const std::string& text)
    {
        if (!isValidName(text))
            return "the name of a failure domain";
        upstream.failureDomain = text;
        return std::nullopt;
    }

    std::optional<std::string> assignRefusal(ServiceConfig& service, const std::string& text)
    {
        if (text.size() > config_bounds::maxRefusalBytes)
            return "at most " + std::to_string(config_bounds::maxRefusalBytes) + " bytes";
        service.refusal = text;
        return std::nullopt;
    }

    ValueParser<ServiceConfig> millisecondsParser(Milliseconds ServiceConfig::*member, NumberRange range)
    {
        return integerParser<ServiceConfig, Milliseconds>(member, range);
    }

    const std::vector<KeySpec<ListenerConfig>> listenerKeys = {
        { "endpoint", endpointParser(&ListenerConfig::endpoint), true },
        { "class", assignClass, true },
    };

    const std::vector<KeySpec<UpstreamConfig>> upstreamKeys = {
        { "failureDomain", assignFailureDomain, true },
        { "agent", endpointParser(&UpstreamConfig::agent), true },
        { "address", endpointParser(&UpstreamConfig::address), true },
        { "leaving", booleanParser(&UpstreamConfig::leaving) },
    };

    const std::vector<KeySpec<ServiceConfig>> serviceKeys = {
        { "slots", integerParser(&ServiceConfig::slots, config_bounds::slots) },
        { "connections", integerParser(&ServiceConfig::connections, config_bounds::connections) },
        { "queueLimit", integerParser(&ServiceConfig::queueLimit, config_bounds::queueLimit) },
        { "maxQueueWaitMs", millisecondsParser(&ServiceConfig::maxQueueWait, config_bounds::maxQueueWait) },
        { "rampDurationMs", millisecondsParser(&ServiceConfig::rampDuration, config_bounds::rampDuration) },
        { "stragglerAfterMs", millisecondsParser(&ServiceConfig::stragglerAfter, config_bounds::stragglerAfter) },
        { "retryBudget", fractionParser(&ServiceConfig::retryBudget, config_bounds::maxRetryBudget) },
        { "proxyHeader", booleanParser(&ServiceConfig::proxyHeader) },
        { "refusal", assignRefusal },
    };

    const std::string defaultsKey = "defaults";
    const std::string domainsKey = "failureDomains";
    const std::string servicesKey = "services";
    const std::string listenersKey = "listeners";
    const std::string upstreamsKey = "upstreams";
    const std::string removeKey = "remove";

    Error errorAt(const Origin& origin, const std::string& message)
    {
        return Error { ErrorKind::InvalidConfig, toString(origin) + ": " + message };
    }

    std::string join(const std::vector<std::string>& words, std::string_view separator)
    {
        std::string text;
        for (const std::string& word : words) {
            text += text.empty() ? std::string_view() : separator;
            text += word;
        }
        return text;
    }

    //-------------------------------------------------------------------------
    // One file
    //-------------------------------------------------------------------------

    // Contents of one file; all maps are keyed by path.
    struct ParsedFile {
        std::map<std::string, SourceValue> settings;
        std::map<std::string, Origin> entries; // Named entries that the file adds or changes.
        std::map<std::string, Origin> removals;
        std::set<std::string> invalidPaths; // Settings that are present but were reported as invalid.
        bool isValidYaml = true; // False if the YAML parser rejects the file.
    };

    // Parses one file by the schema and collects all errors.
    class FileParser {
    public:
        FileParser(const SourceFile& source, bool isOverlay, std::vector<Error>& problems)
            : source(source)
            , isOverlay(isOverlay)
            , errors(problems)
        {
        }

        ParsedFile parse()
        {
            try {
                const YAML::Node document = YAML::Load(this->source.text);
                if (!document.IsNull())
                    this->parseDocument(document);
                else if (!this->isOverlay)
                    this->report(document, "the base file is empty; add services");
            } catch (const YAML::Exception& error) {
                this->errors.push_back(errorAt({ this->source.name, error.mark.line + 1 },
                    "not valid YAML (" + error.msg + "); correct the syntax at this line"));
                this->result.isValidYaml = false;
            }
            return std::move(this->result);
        }

    private:
        using KeyVisitor
            = std::function<void(const std::string& key, const YAML::Node& keyNode, const YAML::Node& value)>;

        void parseDocument(const YAML::Node& document)
        {
            const std::vector<std::string> known = { defaultsKey, domainsKey, servicesKey };
            this->forEachKey(
                document, "the file", [&](const std::string& key, const YAML::Node& keyNode, const YAML::Node& value) {
                    if (key == defaultsKey)
                        this->parseDefaults(value);
                    else if (key == domainsKey)
                        this->forEachEntry(value, domainsKey, "a failure domain", [](const auto&, const auto&) {});
                    else if (key == servicesKey)
                        this->forEachEntry(
                            value, servicesKey, "a service", [this](const std::string& path, const YAML::Node& node) {
                                this->parseService(path, node);
                            });
                    else
                        this->reportUnknownKey(keyNode, key, known);
                });
        }

        void parseDefaults(const YAML::Node& node)
        {
            this->forEachKey(
                node, defaultsKey, [&](const std::string& key, const YAML::Node& keyNode, const YAML::Node& value) {
                    if (!this->parseValue(defaultsKey, key, value, serviceKeys))
                        this->reportUnknownKey(keyNode, key, namesOf(serviceKeys));
                });
        }

        void parseService(const std::string& path, const YAML::Node& node)
        {
            this->forEachKey(
                node, path, [&](const std::string& key, const YAML::Node& keyNode, const YAML::Node& value) {
                    if (key == removeKey)
                        return;
                    if (key == listenersKey)
                        this->parseEntries(path + '/' + key, "a listener", value, listenerKeys);
                    else if (key == upstreamsKey)
                        this->parseEntries(path + '/' + key, "an upstream", value, upstreamKeys);
                    else if (!this->parseValue(path, key, value, serviceKeys)) {
                        std::vector<std::string> known = { listenersKey, upstreamsKey };
                        const std::vector<std::string> values = namesOf(serviceKeys);
                        known.insert(known.end(), values.begin(), values.end());
                        this->reportUnknownKey(keyNode, key, known);
                    }
                });
        }

        template <typename Item>
        void parseEntries(const std::string& path, const std::string& kind, const YAML::Node& node,
            const std::vector<KeySpec<Item>>& keys)
        {
            this->forEachEntry(node, path, kind, [&](const std::string& entryPath, const YAML::Node& entry) {
                this->forEachKey(
                    entry, entryPath, [&](const std::string& key, const YAML::Node& keyNode, const YAML::Node& value) {
                        if (key != removeKey && !this->parseValue(entryPath, key, value, keys))
                            this->reportUnknownKey(keyNode, key, namesOf(keys));
                    });
            });
        }

        // Calls visit for each key of a mapping. Reports duplicate keys and nodes that are not mappings.
        void forEachKey(const YAML::Node& node, const std::string& what, const KeyVisitor& visit)
        {
            if (node.IsNull())
                return;
            if (!node.IsMap()) {
                this->report(node, what + " must be a mapping; write one 'key: value' a line");
                return;
            }
            std::map<std::string, int> lines;
            for (YAML::const_iterator pair = node.begin(); pair != node.end(); ++pair) {
                if (!pair->first.IsScalar()) {
                    this->report(pair->first, "a key must be plain text; write a name");
                    continue;
                }
                const std::string& key = pair->first.Scalar();
                const auto [first, isNew] = lines.try_emplace(key, this->originOf(pair->first).line);
                if (isNew)
                    visit(key, pair->first, pair->second);
                else
                    this->report(pair->first,
                        "duplicate key '" + key + "', first set in line " + std::to_string(first->second)
                            + "; keep one of them");
            }
        }

        // Calls visit(path, node) for each named entry that is not a removal.
        void forEachEntry(const YAML::Node& node, const std::string& path, const std::string& kind,
            const std::function<void(const std::string&, const YAML::Node&)>& visit)
        {
            this->forEachKey(
                node, path, [&](const std::string& name, const YAML::Node& keyNode, const YAML::Node& value) {
                    if (!isValidName(name)) {
                        this->report(keyNode,
                            '\'' + name + "' is not a valid name of " + kind
                                + "; use 1 to 64 lower-case letters, digits, '-' or '.', and start with a letter or "
                                  "digit");
                        return;
                    }
                    const std::string entryPath = path + '/' + name;
                    const bool isRemoval = value.IsMap() && value[removeKey];
                    if (isRemoval) {
                        this->parseRemoval(entryPath, keyNode, value);
                        return;
                    }
                    this->result.entries[entryPath] = this->originOf(keyNode);
                    if (path == domainsKey)
                        this->forEachKey(value, entryPath,
                            [&](const std::string& key, const YAML::Node& unknown, const YAML::Node&) {
                                this->report(unknown, "unknown key '" + key + "'; a failure domain has no keys");
                            });
                    else
                        visit(entryPath, value);
                });
        }

        void parseRemoval(const std::string& path, const YAML::Node& keyNode, const YAML::Node& value)
        {
            if (!this->isOverlay)
                this->report(keyNode, "the base file cannot remove an entry; delete the entry");
            else if (value.size() != 1 || !value[removeKey].IsScalar() || value[removeKey].Scalar() != "true")
                this->report(keyNode, "a removal has no other keys; write '{ remove: true }' alone");
            else
                this->result.removals[path] = this->originOf(keyNode);
        }

        // Returns false if the schema has no such key.
        template <typename Item>
        bool parseValue(const std::string& path, const std::string& key, const YAML::Node& node,
            const std::vector<KeySpec<Item>>& keys)
        {
            const auto found
                = std::find_if(keys.begin(), keys.end(), [&](const KeySpec<Item>& known) { return known.name == key; });
            if (found == keys.end())
                return false;
            Item scratch;
            const bool isScalar = node.IsScalar();
            const std::string text = isScalar ? node.Scalar() : std::string();
            const std::optional<std::string> expected = found->assign(scratch, text);
            if (!isScalar)
                this->report(node, key + " must be a single value; set it to " + expected.value_or("text"));
            else if (expected)
                this->report(node, key + " is '" + text + "'; set it to " + *expected);
            if (!isScalar || expected)
                this->result.invalidPaths.insert(path + '/' + key);
            this->result.settings[path + '/' + key] = { text, this->originOf(node) };
            return true;
        }

        template <typename Item> static std::vector<std::string> namesOf(const std::vector<KeySpec<Item>>& keys)
        {
            std::vector<std::string> names;
            names.reserve(keys.size());
            for (const KeySpec<Item>& key : keys)
                names.push_back(key.name);
            return names;
        }

        void reportUnknownKey(const YAML::Node& node, const std::string& key, const std::vector<std::string>& known)
        {
            this->report(node, "unknown key '" + key + "'; the keys here are " + join(known, ", "));
        }

        Origin originOf(const YAML::Node& node) const { return { this->source.name, node.Mark().line + 1 }; }

        void report(const YAML::Node& node, const std::string& message)
        {
            this->errors.push_back(errorAt(this->originOf(node), message));
        }

        const SourceFile& source;
        const bool isOverlay;
        std::vector<Error>& errors;
        ParsedFile result;
    };

    //-------------------------------------------------------------------------
    // Merge
    //-------------------------------------------------------------------------

    bool isAtOrBelow(const std::string& path, const std::string& ancestor)
    {
        return path == ancestor || path.starts_with(ancestor + '/');
    }

    // Merges the files by path and builds the services.
    class Merger {
    public:
        Merger(ConfigSource& source, const std::string& baseName)
            : source(source)
            , baseOrigin { baseName, 1 }
        {
        }

        void addBase(const ParsedFile& file)
        {
            this->entries = file.entries;
            this->invalidPaths = file.invalidPaths;
            this->isValidYaml = file.isValidYaml;
            for (const auto& [path, value] : file.settings)
                this->source.settings[path] = { value };
        }

        void addOverlay(const ParsedFile& file)
        {
            this->invalidPaths.insert(file.invalidPaths.begin(), file.invalidPaths.end());
            this->isValidYaml = this->isValidYaml && file.isValidYaml;
            for (const auto& [path, origin] : file.entries)
                this->entries.try_emplace(path, origin);
            for (const auto& [path, origin] : file.entries)
                this->overlayEntries.try_emplace(path, origin);
            for (const auto& [path, origin] : file.removals)
                this->removals.try_emplace(path, origin);
            for (const auto& [path, value] : file.settings) {
                const auto [first, isNew] = this->overlaySettings.try_emplace(path, value);
                if (isNew)
                    this->source.settings[path].push_back(value);
                else if (first->second.text != value.text)
                    this->report(value.origin,
                        path + " is also set in " + toString(first->second.origin) + "; let only one overlay set it");
            }
        }

        void finish()
        {
            if (!this->isValidYaml)
                return;
            for (const auto& [path, origin] : this->removals)
                this->remove(path, origin);
            this->buildServices();
            for (const ConfigProblem& problem : validate(this->source.services)) {
                if (!this->invalidPaths.contains(problem.path))
                    this->report(this->nearestOrigin(problem.path), problem.path + ": " + problem.message);
            }
        }

    private:
        void remove(const std::string& path, const Origin& origin)
        {
            const auto entry = this->entries.find(path);
            if (entry == this->entries.end()) {
                this->report(origin, path + " does not exist; correct the name or drop the removal");
                return;
            }
            const auto added = std::find_if(this->overlayEntries.begin(), this->overlayEntries.end(),
                [&](const auto& other) { return isAtOrBelow(other.first, path); });
            if (added != this->overlayEntries.end()) {
                this->report(
                    origin, path + " is removed here and set in " + toString(added->second) + "; keep one of them");
                return;
            }
            std::erase_if(this->entries, [&](const auto& item) { return isAtOrBelow(item.first, path); });
            std::erase_if(this->source.settings, [&](const auto& item) { return isAtOrBelow(item.first, path); });
        }

        void buildServices()
        {
            for (const auto& [path, origin] : this->entries) {
                const std::string name = path.substr(path.rfind('/') + 1);
                const std::string parent = path.substr(0, path.rfind('/'));
                if (parent == servicesKey)
                    this->source.services.push_back(this->buildService(path, name));
            }
            std::sort(this->source.services.begin(), this->source.services.end(),
                [](const ServiceConfig& a, const ServiceConfig& b) { return a.name < b.name; });
        }

        ServiceConfig buildService(const std::string& path, const std::string& name)
        {
            ServiceConfig service;
            service.name = name;
            for (const KeySpec<ServiceConfig>& key : serviceKeys) {
                const SourceValue* value = this->find(path + '/' + key.name);
                if (!value)
                    value = this->find(defaultsKey + '/' + key.name);
                if (value)
                    key.assign(service, value->text);
            }
            service.listeners = this->buildEntries(path + '/' + listenersKey, listenerKeys);
            service.upstreams = this->buildEntries(path + '/' + upstreamsKey, upstreamKeys);
            for (const UpstreamConfig& upstream : service.upstreams)
                this->checkFailureDomain(join({ path, upstreamsKey, upstream.name, "failureDomain" }, "/"), upstream);
            return service;
        }

        template <typename Item>
        std::vector<Item> buildEntries(const std::string& path, const std::vector<KeySpec<Item>>& keys)
        {
            std::vector<Item> items;
            const std::string prefix = path + '/';
            for (auto entry = this->entries.lower_bound(prefix);
                 entry != this->entries.end() && entry->first.starts_with(prefix); ++entry) {
                Item item;
                item.name = entry->first.substr(prefix.size());
                for (const KeySpec<Item>& key : keys) {
                    const SourceValue* value = this->find(entry->first + '/' + key.name);
                    if (value)
                        key.assign(item, value->text);
                    else if (key.isRequired) {
                        this->report(entry->second, entry->first + " lacks '" + key.name + "'; add it");
                        this->invalidPaths.insert(entry->first + '/' + key.name);
                    }
                }
                items.push_back(item);
            }
            return items;
        }

        void checkFailureDomain(const std::string& path, const UpstreamConfig& upstream)
        {
            const SourceValue* value = this->find(path);
            if (value && !this->invalidPaths.contains(path)
                && !this->entries.contains(domainsKey + '/' + upstream.failureDomain))
                this->report(value->origin,
                    "failure domain '" + upstream.failureDomain + "' is not declared; add it under failureDomains or "
                        + "correct the name");
        }

        const SourceValue* find(const std::string& path) const
        {
            const auto found = this->source.settings.find(path);
            return found == this->source.settings.end() ? nullptr : &found->second.back();
        }

        // Returns where the value at a path was set, or else the origin of the nearest enclosing entry.
        Origin nearestOrigin(std::string path) const
        {
            while (!path.empty()) {
                if (const SourceValue* value = this->find(path))
                    return value->origin;
                const auto entry = this->entries.find(path);
                if (entry != this->entries.end())
                    return entry->second;
                const size_t slash = path.rfind('/');
                path = slash == std::string::npos ? std::string() : path.substr(0, slash);
            }
            return this->entries.empty() ? this->baseOrigin : this->entries.begin()->second;
        }

        void report(const Origin& origin, const std::string& message)
        {
            this->source.errors.push_back(errorAt(origin, message));
        }

        ConfigSource& source;
        std::map<std::string, Origin> entries;
        std::map<std::string, Origin> overlayEntries;
        std::map<std::string, Origin> removals;
        std::map<std::string, SourceValue> overlaySettings;
        std::set<std::string> invalidPaths; // Values that were already reported.
        bool isValidYaml = true;
        const Origin baseOrigin; // Start of the base file.
    };

} // namespace

std::string toString(const Origin& origin)
{
    return origin.file.empty() ? "built-in default" : origin.file + ':' + std::to_string(origin.line);
}

ConfigSource parseSource(const SourceFile& base, const std::vector<SourceFile>& overlays)
{
    ConfigSource source;
    Merger merger(source, base.name);
    merger.addBase(FileParser(base, false, source.errors).parse());
    for (const SourceFile& overlay : overlays)
        merger.addOverlay(FileParser(overlay, true, source.errors).parse());
    merger.finish();
    if (!source.errors.empty())
        source.services.clear();
    return source;
}

std::vector<Explanation> ConfigSource::explain(const std::string& path) const
{
    std::vector<Explanation> explanations;
    for (const ServiceConfig& service : this->services) {
        for (const auto& [valuePath, text] : flatten(service)) {
            if (!isAtOrBelow(valuePath, path))
                continue;
            Explanation explanation { valuePath, text, {}, {} };
            const std::string defaultPath = defaultsKey + valuePath.substr(valuePath.rfind('/'));
            const bool isServiceValue = valuePath.substr(0, valuePath.rfind('/')) == serviceKey(service.name);
            auto history = this->settings.find(valuePath);
            if (history == this->settings.end() && isServiceValue)
                history = this->settings.find(defaultPath);
            if (history != this->settings.end()) {
                explanation.origin = history->second.back().origin;
                explanation.overridden.assign(history->second.begin(), history->second.end() - 1);
            }
            explanations.push_back(explanation);
        }
    }
    return explanations;
}

} // namespace wasabicroft
