#pragma once

#include "daemon/world.h"

namespace cranberry {

/// The core of cranberryd: one function from an event and the time to actions.
class Daemon
{
public:
    explicit Daemon(const Identity &identity) : world_(identity) { }

    /// Handles one event at `now` and returns what is to be done about it.
    std::vector<Action> step(TimeMs now, const Event &event);

    const World &world() const { return world_; }

private:
    World world_;
};

} // namespace cranberry
