#include "gateway/gatewaysettings.h"

namespace cranberry {

Result<GatewayDaemonSettings> parseGatewaySettings(const std::string &text)
{
    BOOST_LEAF_ASSIGN(const boost::json::value value, parseJson(text));
    GatewayDaemonSettings settings;
    FieldReader reader(value, "");
    reader.required("instance", settings.instance);
    reader.required("failureDomain", settings.failureDomain);
    reader.required("callerAddress", settings.callerAddress);
    reader.required("readinessAddress", settings.readinessAddress);
    reader.required("entryAddress", settings.entryAddress);
    reader.required("peerAddress", settings.peerAddress);
    reader.required("storeAddress", settings.storeAddress);
    reader.optional("dutyAddress", settings.leaderCallAddress);
    reader.optional("metricsPort", settings.metricsPort, 0, 65535);
    reader.optional("firstStart", settings.firstStart);
    reader.optional("revokeBoundMs", settings.revokeBound);
    reader.optional("configurationBoundMs", settings.configurationBound);
    reader.optional("leaseMs", settings.leaseTime);
    double seconds = static_cast<double>(settings.stopGrace.count) / 1000;
    reader.optional("stopGraceSeconds", seconds, 0.1, 3600);
    settings.stopGrace.count = static_cast<int64_t>(seconds * 1000);
    seconds = static_cast<double>(settings.usageWindow.count) / 1000;
    reader.optional("usageWindowSeconds", seconds, 0.1, 3600);
    settings.usageWindow.count = static_cast<int64_t>(seconds * 1000);
    seconds = static_cast<double>(settings.usageDue.count) / 1000;
    reader.optional("usageDueSeconds", seconds, 0.1, 3600);
    settings.usageDue.count = static_cast<int64_t>(seconds * 1000);
    seconds = static_cast<double>(settings.repeatWindow.count) / 1000;
    reader.optional("repeatWindowSeconds", seconds, 1, 3600);
    settings.repeatWindow.count = static_cast<int64_t>(seconds * 1000);
    reader.optional("memoryMb", settings.memoryMb, 16, 1U << 24);
    reader.optional("maxDescriptors", settings.maxDescriptors, 64, 1U << 24);
    reader.optional("cores", settings.cores, 0.001, 4096);
    reader.optional("drainMs", settings.drainTime);
    reader.optional("entryKeepMs", settings.entryListTtl);
    reader.optional("repeatRatio", settings.repeatRatio, 0, 10);
    reader.optional("quotaOver", settings.quotaOver, 0, 10);
    reader.optional("quotaSlack", settings.quotaSlack, 0, 1e12);
    reader.optional("exposeShare", settings.exposeShare, 0, 1);
    reader.optional("exposeSlack", settings.exposeSlack, 0, 1e9);
    reader.optional("repeatSlack", settings.repeatSlack, 0, 1e6);
    if (const FieldError *error = reader.finish())
        return boost::leaf::new_error(*error);
    return settings;
}

} // namespace cranberry
