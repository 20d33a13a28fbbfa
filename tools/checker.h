#pragma once

#include <string>
#include <vector>

namespace cranberry {

/// Judges a run by the callers' log and the endpoints' logs alone: work that must not be repeated ran at most
/// once, "not run" is true, answered work did run, no answer was wrong, and work that may be repeated was not
/// lost. Prints each breach; 0 if there is none.
int runChecker(const std::string &callerLog, const std::vector<std::string> &endpointLogs);

} // namespace cranberry
