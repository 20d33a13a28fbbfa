#pragma once

#include "daemon/configchange.h"
#include "io/httpserver.h"

#include <list>

namespace cranberry {

class Server;

/// The operators' HTTP interface, used by cranberryctl. Also serves metrics, liveness and readiness.
class AdminApi
{
public:
    explicit AdminApi(Server &server) : server_(server) { }

    void onRequest(const HttpExchangePtr &exchange);
    void tick(); ///< Rechecks the changes that wait for confirmation.

private:
    struct PendingChange; ///< A configuration change in progress.
    using PendingChangePtr = std::shared_ptr<PendingChange>;

    void getConfiguration(const HttpExchangePtr &exchange);
    void diff(const HttpExchangePtr &exchange);
    void putConfiguration(const HttpExchangePtr &exchange, const HttpTarget &target);
    void getChange(const HttpExchangePtr &exchange, const std::string &id);
    void getStatus(const HttpExchangePtr &exchange);
    void getRequests(const HttpExchangePtr &exchange);
    void drain(const HttpExchangePtr &exchange, const HttpTarget &target);
    void advance(const PendingChangePtr &pending);
    void finish(const PendingChangePtr &pending);

    Server &server_;
    std::list<PendingChangePtr> awaitingConfirmation_;
};

} // namespace cranberry
