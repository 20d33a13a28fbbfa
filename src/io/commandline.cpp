#include "io/commandline.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace cranberry {

namespace {

constexpr size_t MaxTextOptions = 16;

} // namespace

CommandLine::CommandLine(std::string program, std::string usage)
    : program_(std::move(program)), usage_(std::move(usage))
{
    textOptions_.reserve(MaxTextOptions); // popt keeps pointers to the elements, so the vector must not grow.
}

CommandLine::~CommandLine()
{
    for (const TextOption &text : textOptions_)
        free(text.value);
}

void CommandLine::addText(const char *name, char letter, std::string &out, const char *help,
                          const char *argument)
{
    textOptions_.push_back({nullptr, &out});
    options_.push_back({name, letter, POPT_ARG_STRING, &textOptions_.back().value, 0, help, argument});
}

void CommandLine::addFlag(const char *name, char letter, int &out, const char *help)
{
    options_.push_back({name, letter, POPT_ARG_NONE, &out, 0, help, nullptr});
}

void CommandLine::addNumber(const char *name, char letter, int &out, const char *help)
{
    options_.push_back({name, letter, POPT_ARG_INT, &out, 0, help, "N"});
}

bool CommandLine::parse(int argc, const char **argv)
{
    addFlag("version", 'V', version_, "print the version and exit");
    options_.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help:", nullptr});
    options_.push_back(POPT_TABLEEND);
    poptContext context = poptGetContext(program_.c_str(), argc, argv, options_.data(), 0);
    poptSetOtherOptionHelp(context, usage_.c_str());
    const int code = poptGetNextOpt(context);
    if (code < -1) {
        fail(fmt::format("{}: {}", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(code)));
        exitCode_ = ExitUsage;
    }
    for (const char *argument = poptGetArg(context); argument; argument = poptGetArg(context))
        arguments_.emplace_back(argument);
    poptFreeContext(context);
    for (const TextOption &text : textOptions_) {
        if (text.value)
            *text.out = text.value;
    }
    if (version_)
        fmt::print("{} {}\n", program_, Version);
    return code >= -1 && !version_;
}

int CommandLine::fail(const std::string &message) const
{
    fmt::print(stderr, "{}: {}\n", program_, message);
    return ExitUsage;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace cranberry
