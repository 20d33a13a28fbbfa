#include "io/commandline.h"
#include "io/server.h"

#include <fmt/format.h>

namespace cranberry {

namespace {

int run(int argc, const char **argv)
{
    std::string file;
    int checkOnly = 0;
    CommandLine line("cranberryd", "[OPTION...] --settings FILE");
    line.addText("settings", 's', file, "settings in JSON (required)", "FILE");
    line.addFlag("check", 'c', checkOnly, "check the settings and end");
    if (!line.parse(argc, argv))
        return line.exitCode();
    if (file.empty())
        return line.fail("--settings is missing");
    std::optional<std::string> text = readFile(file);
    if (!text)
        return line.fail("can't read " + file);
    std::string wrong;
    Settings settings;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(settings, parseSettings(*text));
            return {};
        },
        [&](const FieldError &error) { wrong = toText(error); }, [&] { wrong = "can't be read"; });
    if (!wrong.empty())
        return line.fail(file + ": " + wrong);
    if (checkOnly) {
        fmt::print("{}: ok\n", file);
        return 0;
    }
    return Server(std::move(settings)).run();
}

} // namespace

} // namespace cranberry

int main(int argc, const char **argv)
{
    return cranberry::run(argc, argv);
}
