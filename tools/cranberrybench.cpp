#include "checker.h"
#include "io/commandline.h"
#include "load.h"
#include "slopes.h"

namespace cranberry {

namespace {

int run(int argc, const char **argv)
{
    LoadOptions load;
    CompareOptions compare;
    CommandLine line("cranberrybench",
                     "[OPTION...] load | compare | check CALLERLOG ENDPOINTLOG... | slopes | signature");
    line.addText("entry", 'e', load.entry, "caller address of any daemon", "IP:PORT");
    line.addText("endpoint", 'p', compare.endpoint, "compare: a plain endpoint's own address", "IP:PORT");
    line.addText("model", 'm', load.model, "load: service for chat work", "NAME");
    line.addText("plain", 's', load.plain, "service for plain calls", "NAME");
    line.addText("organisation", 'o', load.organisation, "organisation to send as", "NAME");
    line.addText("caller-log", 'l', load.callerLog, "load: a line for each job, for check", "FILE");
    line.addNumber("jobs", 'n', load.jobs, "load: how many jobs");
    line.addNumber("per-second", 'r', load.perSecond, "load, compare: jobs a second");
    line.addNumber("tokens", 't', load.tokens, "load: tokens of the stand-in's answers");
    line.addNumber("seed", 'x', load.seed, "load: seed of the mix");
    if (!line.parse(argc, argv))
        return line.exitCode();
    const std::string command = line.arguments().empty() ? "" : line.arguments().front();
    if (command == "check" && line.arguments().size() >= 2)
        return runChecker(line.arguments()[1], {line.arguments().begin() + 2, line.arguments().end()});
    if (command == "slopes")
        return runSlopes();
    if (command == "signature")
        return runSignature();
    if (!addressFromText(load.entry))
        return line.fail("--entry must be IP:PORT");
    if (load.perSecond < 1 || load.jobs < 1)
        return line.fail("--jobs and --per-second must be at least 1");
    if (command == "load")
        return runLoad(load);
    if (command != "compare")
        return line.fail("unknown command; see --help");
    compare.entry = load.entry;
    compare.service = load.plain;
    compare.organisation = load.organisation;
    compare.requests = load.jobs;
    compare.perSecond = load.perSecond;
    return runCompare(compare);
}

} // namespace

} // namespace cranberry

int main(int argc, const char **argv)
{
    return cranberry::run(argc, argv);
}
