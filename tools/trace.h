#pragma once

#include <string>
#include <vector>

namespace cranberry {

/// A request's story from the logs of any number of daemons: its own lines, and what the daemons that had it
/// learned meanwhile of the store, the configuration and the endpoints it went to. Of other tries of the same
/// request (equal `digest`), at any time and daemon, the lines that tell their way. In order of time, one
/// line each: marked `*`, not marked, and `=`. Lines that are no log lines are passed over; anything before
/// the first brace is ignored.
std::vector<std::string> traceRequest(const std::string &request, const std::vector<std::string> &lines);

/// The story of a service's roll-outs from the logs of any number of daemons: the stages as the holder wrote
/// them, with the figures of the judgement, and which daemons suspected the version before it did.
std::vector<std::string> traceRollouts(const std::string &service, const std::vector<std::string> &lines);

} // namespace cranberry
