#pragma once

#include "gateway/gatewaysettings.h"

#include <memory>
#include <string>

namespace cranberry {

/// The gateway daemon: sockets, timers and signals around the core, which makes all decisions.
class GatewayServer
{
public:
    /// `file` is the settings file; it is read again on SIGHUP and when it has changed.
    GatewayServer(GatewayDaemonSettings settings, std::string file);
    ~GatewayServer();

    /// Serves until a stop signal; returns the process's exit code.
    int run();

    GatewayServer(const GatewayServer &) = delete;
    GatewayServer &operator=(const GatewayServer &) = delete;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace cranberry
