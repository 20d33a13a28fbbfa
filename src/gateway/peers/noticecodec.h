#pragma once

#include "gateway/gatewayevents.h"

#include <boost/json.hpp>

namespace cranberry {

// The short messages between daemons as JSON: moves of balances, crashes, limits of endpoints, origins of
// streams, and usage. The functions `decoded...` throw for a missing or wrong field.

boost::json::object encoded(const QuotaRequest &request);
boost::json::object encoded(const QuotaTransfer &transfer);
boost::json::object encoded(const CrashNotice &notice);
boost::json::object encoded(const LimitNotice &notice);
boost::json::object encoded(const LimitShareRequest &request);
boost::json::object encoded(const LimitShareGrant &grant);
boost::json::object encoded(const StreamOriginNotice &notice);
boost::json::object encoded(const StreamOriginQuery &query);
boost::json::object encoded(const StreamOriginReply &reply);
boost::json::object encoded(const UsageNotice &notice);

QuotaRequest decodedQuotaRequest(const boost::json::object &object);
QuotaTransfer decodedQuotaTransfer(const boost::json::object &object);
CrashNotice decodedCrashNotice(const boost::json::object &object);
LimitNotice decodedLimitNotice(const boost::json::object &object);
LimitShareRequest decodedLimitShareRequest(const boost::json::object &object);
LimitShareGrant decodedLimitShareGrant(const boost::json::object &object);
StreamOriginNotice decodedOriginNotice(const boost::json::object &object);
StreamOriginQuery decodedOriginQuery(const boost::json::object &object);
StreamOriginReply decodedOriginReply(const boost::json::object &object);
UsageNotice decodedUsageNotice(const boost::json::object &object);

} // namespace cranberry
