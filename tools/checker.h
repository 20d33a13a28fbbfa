#pragma once

#include <string>
#include <vector>

namespace cranberry {

/// Checks a load run by the callers' log and the endpoints' logs alone: non-idempotent jobs ran at most once
/// and not at all if reported as not run, answered jobs did run, no answer was wrong, and no idempotent job
/// was lost. Prints each breach. Returns 0 if there is at least one job and no breach, else 1.
int runChecker(const std::string &callerLog, const std::vector<std::string> &endpointLogs);

} // namespace cranberry
