#pragma once

#include <optional>
#include <popt.h>
#include <string>
#include <vector>

namespace cranberry {

constexpr const char *Version = "0.1.0";
constexpr int ExitUsage = 2;

/// Parses a program's command line with popt; adds --help and --version.
class CommandLine
{
public:
    CommandLine(std::string program, std::string usage);
    ~CommandLine();

    void addText(const char *name, char letter, std::string &out, const char *help, const char *argument);
    void addFlag(const char *name, char letter, int &out, const char *help);
    void addNumber(const char *name, char letter, int &out, const char *help);

    /// Returns false if the program must exit with exitCode(): after a usage error, which prints one line to
    /// standard error, or after --version.
    bool parse(int argc, const char **argv);
    int exitCode() const { return exitCode_; }
    const std::vector<std::string> &arguments() const { return arguments_; }

    /// Prints one line to standard error and returns the exit code of a usage error.
    int fail(const std::string &message) const;

    CommandLine(const CommandLine &) = delete;
    CommandLine &operator=(const CommandLine &) = delete;

private:
    struct TextOption {
        char *value = nullptr;
        std::string *out = nullptr;
    };
    std::string program_;
    std::string usage_;
    std::vector<poptOption> options_;
    std::vector<std::string> arguments_;
    std::vector<TextOption> textOptions_;
    int exitCode_ = 0;
    int version_ = 0;
};

/// Returns the contents of the file, or nothing if it can't be opened.
std::optional<std::string> readFile(const std::string &path);

} // namespace cranberry
