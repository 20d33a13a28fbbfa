#pragma once

#include "daemon/world.h"

namespace cranberry {

/// The core of cranberryd: a deterministic state machine that maps an event and the time to actions.
class Daemon
{
public:
    explicit Daemon(const DaemonOptions &options) : world_(options) { }

    /// Handles one event at `now` and returns the actions to perform.
    std::vector<Action> step(TimeMs now, const Event &event);

    const World &world() const { return world_; }

private:
    World world_;
};

} // namespace cranberry
