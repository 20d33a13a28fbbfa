#pragma once

#include <string>
#include <vector>

namespace cranberry {

/// Returns the trace of a request from the logs of any number of daemons, one line per event, in order of
/// time: the request's own events (marked `*`); events at the daemons that handled it, at about the same
/// time, about the store, the configuration and the endpoints it was sent to, and these daemons' starts and
/// stops, also at more distant times (unmarked); and events of other attempts of the same request (equal
/// `digest`) at any time and daemon (marked `=`). Ignores lines that are not log lines, and any text before
/// the first brace of a line.
std::vector<std::string> traceRequest(const std::string &request, const std::vector<std::string> &lines);

/// Returns the trace of a service's roll-outs from the logs of any number of daemons: the stages written by
/// the leader, with the figures of the version's evaluation, and which daemons suspected the version earlier.
std::vector<std::string> traceRollouts(const std::string &service, const std::vector<std::string> &lines);

} // namespace cranberry
