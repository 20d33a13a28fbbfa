#include "checker.h"

#include <fmt/format.h>
#include <fstream>
#include <map>
#include <sstream>

namespace cranberry {

namespace {

// Counts the executions of each body in log lines "<ms> <name> run method=.. target=.. body=<body>".
std::map<std::string, uint64_t> countRuns(const std::vector<std::string> &files)
{
    std::map<std::string, uint64_t> runs;
    for (const std::string &file : files) {
        std::ifstream in(file);
        std::string line;
        while (std::getline(in, line)) {
            const size_t body = line.find("body=");
            if (line.find(" run ") != std::string::npos && body != std::string::npos)
                ++runs[line.substr(body + 5)];
        }
    }
    return runs;
}

} // namespace

int runChecker(const std::string &callerLog, const std::vector<std::string> &endpointLogs)
{
    std::map<std::string, uint64_t> runs = countRuns(endpointLogs);
    std::ifstream in(callerLog);
    std::string line;
    uint64_t jobs = 0;
    uint64_t breaches = 0;
    while (std::getline(in, line)) {
        std::istringstream logFields(line);
        std::string kind;
        std::string outcome;
        std::string body;
        logFields >> kind >> outcome >> body;
        ++jobs;
        std::string breach;
        if (outcome == "wrong")
            breach = "a wrong answer";
        else if (kind == "any" && (outcome == "unknown" || outcome == "gaveUp"))
            breach = "an idempotent job was lost";
        else if (kind == "once" && runs[body] > 1)
            breach = fmt::format("ran {} times", runs[body]);
        else if (kind == "once" && outcome == "notRun" && runs[body] > 0)
            breach = "reported as not run, but ran";
        else if (kind == "once" && outcome == "whole" && runs[body] == 0)
            breach = "answered, but never ran";
        if (breach.empty())
            continue;
        ++breaches;
        fmt::print("breach: {}: {}\n", line, breach);
    }
    fmt::print("checker: {} jobs, {} breaches\n", jobs, breaches);
    return breaches == 0 && jobs > 0 ? 0 : 1;
}

} // namespace cranberry
