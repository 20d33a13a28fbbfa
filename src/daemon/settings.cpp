#include "daemon/settings.h"

namespace cranberry {

Result<Settings> parseSettings(const std::string &text)
{
    BOOST_LEAF_ASSIGN(const boost::json::value value, parseJson(text));
    Settings settings;
    FieldReader reader(value, "");
    reader.required("instance", settings.instance);
    reader.required("failureDomain", settings.failureDomain);
    reader.required("callerAddress", settings.callerAddress);
    reader.required("adminAddress", settings.adminAddress);
    reader.required("peerAddress", settings.peerAddress);
    reader.required("platformAddress", settings.platformAddress);
    reader.optional("entryKeepMs", settings.entryListTtl);
    reader.optional("answerKeepMs", settings.answerRetention);
    reader.optional("drainLimitMs", settings.drainLimit);
    reader.optional("maxBodyBytes", settings.maxBodyBytes, 1024, 1U << 28);
    reader.optional("memoryMb", settings.memoryMb, 16, 1U << 24);
    reader.optional("maxDescriptors", settings.maxDescriptors, 64, 1U << 24);
    for (const std::pair<const boost::json::value *, std::string> &element :
         reader.elements("peers", false)) {
        const boost::json::string *peer = element.first->if_string();
        const std::optional<Address> address = peer ? addressFromText(std::string(*peer)) : std::nullopt;
        if (address)
            settings.peers.push_back(*address);
        else
            reader.setError({element.second, "must be IP:PORT"});
    }
    if (const FieldError *error = reader.finish())
        return boost::leaf::new_error(*error);
    return settings;
}

} // namespace cranberry
