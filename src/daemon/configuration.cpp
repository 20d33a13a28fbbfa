#include "daemon/configuration.h"

#include <fmt/format.h>
#include <map>
#include <set>

namespace json = boost::json;

namespace cranberry {

namespace {

Endpoint parseEndpoint(FieldReader &parent, const json::value &value, const std::string &path)
{
    Endpoint endpoint;
    FieldReader reader(value, path);
    reader.required("name", endpoint.name);
    reader.required("instance", endpoint.instance);
    reader.required("failureDomain", endpoint.failureDomain);
    reader.required("address", endpoint.address);
    reader.optional("slots", endpoint.slots, 1, 65536);
    reader.optional("checksFencing", endpoint.checksFencing);
    if (const FieldError *error = reader.finish())
        parent.setError(*error);
    return endpoint;
}

ServiceKind parseServiceKind(FieldReader &reader, const std::string &text)
{
    if (text != "model" && text != "plain")
        reader.fail("kind", "must be model or plain");
    return text == "plain" ? ServiceKind::Plain : ServiceKind::Model;
}

Service parseService(FieldReader &parent, const json::value &value, const std::string &path)
{
    Service service;
    std::string kind;
    FieldReader reader(value, path);
    reader.required("name", service.name);
    reader.required("kind", kind);
    reader.optional("idempotent", service.idempotent);
    reader.optional("progressTimeoutMs", service.progressTimeout);
    reader.optional("firstTokenMs", service.firstTokenTarget);
    reader.optional("betweenTokensMs", service.betweenTokensTarget);
    reader.optional("prefillTokensPerSecond", service.prefillTokensPerSecond, 1, 1e9);
    for (const std::pair<const json::value *, std::string> &element : reader.elements("dependsOn", false)) {
        if (element.first->is_string())
            service.dependsOn.push_back({std::string(element.first->as_string())});
        else
            reader.setError({element.second, "must be a string"});
    }
    for (const std::pair<const json::value *, std::string> &element : reader.elements("endpoints", true))
        service.endpoints.push_back(parseEndpoint(reader, *element.first, element.second));
    if (reader.ok())
        service.kind = parseServiceKind(reader, kind);
    if (const FieldError *error = reader.finish())
        parent.setError(*error);
    return service;
}

Organisation parseOrganisation(FieldReader &parent, const json::value &value, const std::string &path)
{
    Organisation organisation;
    FieldReader reader(value, path);
    reader.required("name", organisation.name);
    reader.optional("tokensPerSecond", organisation.tokensPerSecond, 1, 1e12);
    if (const FieldError *error = reader.finish())
        parent.setError(*error);
    return organisation;
}

RoutingWeights parseWeights(FieldReader &parent, const json::value &value, const std::string &path)
{
    RoutingWeights weights;
    FieldReader reader(value, path);
    reader.optional("recomputedTokens", weights.recomputedTokens, 0, 1000);
    reader.optional("latency", weights.latency, 0, 1000);
    if (const FieldError *error = reader.finish())
        parent.setError(*error);
    return weights;
}

template <typename T>
void checkUnique(FieldReader &reader, const std::vector<T> &items, const char *field)
{
    std::set<std::string> seen;
    for (size_t i = 0; i < items.size(); ++i) {
        if (!seen.insert(items[i].name.value).second)
            reader.fail(fmt::format("{}[{}].name", field, i), "duplicate name " + items[i].name.value);
    }
}

// Depth-first search over dependsOn. State 0 is unvisited, 1 is on the current path and 2 is finished;
// reaching a service in state 1 again closes a cycle.
bool hasCycle(const Configuration &configuration, const ServiceName &name, std::map<std::string, int> &state)
{
    int &nodeState = state[name.value];
    if (nodeState != 0)
        return nodeState == 1;
    nodeState = 1;
    const Service *service = configuration.findService(name);
    for (const ServiceName &next : service->dependsOn) {
        if (hasCycle(configuration, next, state))
            return true;
    }
    state[name.value] = 2;
    return false;
}

void checkDependencies(FieldReader &reader, const Configuration &configuration)
{
    for (size_t i = 0; i < configuration.services.size(); ++i) {
        const Service &service = configuration.services[i];
        for (size_t k = 0; k < service.dependsOn.size(); ++k) {
            if (!configuration.findService(service.dependsOn[k]))
                return reader.fail(fmt::format("services[{}].dependsOn[{}]", i, k),
                                   "unknown service " + service.dependsOn[k].value);
        }
    }
    std::map<std::string, int> state;
    for (size_t i = 0; i < configuration.services.size(); ++i) {
        if (hasCycle(configuration, configuration.services[i].name, state))
            return reader.fail(fmt::format("services[{}].dependsOn", i), "closes a cycle");
    }
}

void checkFailureDomains(FieldReader &reader, const Configuration &configuration)
{
    std::set<FailureDomainName> known(configuration.failureDomains.begin(),
                                      configuration.failureDomains.end());
    std::set<EndpointName> names;
    for (size_t i = 0; i < configuration.services.size(); ++i) {
        const std::vector<Endpoint> &endpoints = configuration.services[i].endpoints;
        for (size_t k = 0; k < endpoints.size(); ++k) {
            const std::string path = fmt::format("services[{}].endpoints[{}]", i, k);
            if (!known.contains(endpoints[k].failureDomain))
                return reader.fail(path + ".failureDomain",
                                   "unknown failure domain " + endpoints[k].failureDomain.value);
            if (!names.insert(endpoints[k].name).second)
                return reader.fail(path + ".name", "duplicate name " + endpoints[k].name.value);
        }
    }
}

void flatten(const json::value &value, const std::string &path,
             std::vector<std::pair<std::string, std::string>> &out)
{
    if (const json::object *object = value.if_object()) {
        for (const json::key_value_pair &field : *object)
            flatten(field.value(),
                    path.empty() ? std::string(field.key()) : path + "." + std::string(field.key()), out);
    } else if (const json::array *array = value.if_array()) {
        for (size_t i = 0; i < array->size(); ++i)
            flatten((*array)[i], fmt::format("{}[{}]", path, i), out);
    } else {
        out.emplace_back(path, json::serialize(value));
    }
}

std::vector<std::pair<std::string, std::string>> flattenText(const std::string &text)
{
    std::vector<std::pair<std::string, std::string>> out;
    json::error_code code;
    const json::value value = json::parse(text, code);
    if (!code)
        flatten(value, "", out);
    return out;
}

} // namespace

const Service *Configuration::findService(const ServiceName &name) const
{
    for (const Service &service : services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

const Organisation *Configuration::findOrganisation(const OrganisationName &name) const
{
    for (const Organisation &organisation : organisations) {
        if (organisation.name == name)
            return &organisation;
    }
    return nullptr;
}

Result<Configuration> parseConfiguration(const std::string &text)
{
    // Step 1. Parse the JSON syntax.
    BOOST_LEAF_ASSIGN(const json::value value, parseJson(text));
    Configuration configuration;
    FieldReader reader(value, "");

    // Step 2. Read the fields and check their types and ranges.
    for (const std::pair<const json::value *, std::string> &element :
         reader.elements("failureDomains", true)) {
        if (element.first->is_string())
            configuration.failureDomains.push_back({std::string(element.first->as_string())});
        else
            reader.setError({element.second, "must be a string"});
    }
    for (const std::pair<const json::value *, std::string> &element : reader.elements("services", true))
        configuration.services.push_back(parseService(reader, *element.first, element.second));
    for (const std::pair<const json::value *, std::string> &element : reader.elements("organisations", true))
        configuration.organisations.push_back(parseOrganisation(reader, *element.first, element.second));
    const json::value noWeights = json::object();
    const json::object *object = value.if_object();
    const json::value *weights = object ? object->if_contains("weights") : nullptr;
    configuration.weights = parseWeights(reader, weights ? *weights : noWeights, "weights");

    // Step 3. Validate the references between fields.
    checkUnique(reader, configuration.services, "services");
    checkUnique(reader, configuration.organisations, "organisations");
    if (reader.ok())
        checkDependencies(reader, configuration);
    if (reader.ok())
        checkFailureDomains(reader, configuration);
    reader.markKnown("weights");
    if (const FieldError *error = reader.finish())
        return boost::leaf::new_error(*error);
    return configuration;
}

std::vector<std::string> diffConfigurations(const std::string &oldText, const std::string &newText)
{
    std::vector<std::string> lines;
    std::map<std::string, std::string> before;
    for (const std::pair<std::string, std::string> &field : flattenText(oldText))
        before.insert(field);
    for (const std::pair<std::string, std::string> &field : flattenText(newText)) {
        auto old = before.find(field.first);
        if (old == before.end())
            lines.push_back(fmt::format("{}: (none) -> {}", field.first, field.second));
        else if (old->second != field.second)
            lines.push_back(fmt::format("{}: {} -> {}", field.first, old->second, field.second));
        if (old != before.end())
            before.erase(old);
    }
    for (const std::pair<const std::string, std::string> &field : before)
        lines.push_back(fmt::format("{}: {} -> (none)", field.first, field.second));
    return lines;
}

} // namespace cranberry
