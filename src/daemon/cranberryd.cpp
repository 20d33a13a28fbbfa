#include "daemon/io/server.h"
#include "io/processlimits.h"
#include "io/settingsfile.h"

#include <fmt/format.h>

namespace cranberry {

namespace {

int run(int argc, const char **argv)
{
    std::string file;
    int checkOnly = 0;
    CommandLine line("cranberryd", "[OPTION...] --settings FILE");
    line.addText("settings", 's', file, "settings in JSON (required)", "FILE");
    line.addFlag("check", 'c', checkOnly, "check the settings and exit");
    if (!line.parse(argc, argv))
        return line.exitCode();
    if (file.empty())
        return line.fail("--settings is missing");
    int exitCode = 0;
    std::optional<Settings> settings = readSettings<Settings>(line, file, parseSettings, exitCode);
    if (!settings)
        return exitCode;
    if (checkOnly) {
        fmt::print("{}: ok\n", file);
        return 0;
    }
    return Server(std::move(*settings)).run();
}

} // namespace

} // namespace cranberry

int main(int argc, const char **argv)
{
    cranberry::returnFreedMemory();
    return cranberry::run(argc, argv);
}
