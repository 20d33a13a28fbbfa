#include "daemon/io/jsonread.h"
#include "io/commandline.h"
#include "io/httpclient.h"
#include "trace.h"

#include <boost/algorithm/string/split.hpp>
#include <fmt/format.h>
#include <openssl/rand.h>

namespace cranberry {

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitConflict = 3;
constexpr int ExitUnsettled = 4;

/// Command-line options of all commands.
struct Options {
    std::string daemon;
    std::string base;
    std::string change;
    int noticeMs = 0;
};

HttpResponse callDaemon(const Options &options, const std::string &method, const std::string &target,
                        const std::string &body)
{
    boost::asio::io_context io;
    HttpClient client(io);
    HttpResponse out;
    HttpCall call;
    call.address = addressFromText(options.daemon).value_or(Address{});
    call.request = {method, target, {{"Content-Type", "application/json"}}, body};
    call.progressTimeout = {15000};
    call.freshConnection = true;
    client.fetch(std::move(call), [&out, &io](const HttpResponse &response) {
        out = response;
        io.stop();
    });
    io.run();
    return out;
}

std::string randomChangeId()
{
    uint64_t value = 0;
    if (RAND_bytes(reinterpret_cast<unsigned char *>(&value), sizeof(value)) != 1)
        std::abort();
    return fmt::format("{:016x}", value);
}

// Prints the daemon's response. Returns 0 if its status is below 300.
int show(const HttpResponse &response)
{
    if (response.failure != HttpFailure::None) {
        fmt::print(stderr, "cranberryctl: the daemon did not answer\n");
        return ExitFailed;
    }
    fmt::print("{}\n", response.body);
    return response.status < 300 ? 0 : ExitFailed;
}

// Applies a configuration. If the outcome is unknown, prints the command that queries it.
int apply(const CommandLine &line, const Options &options)
{
    if (line.arguments().size() != 2)
        return line.fail("apply needs one FILE");
    const std::optional<std::string> text = readFile(line.arguments()[1]);
    if (!text)
        return line.fail("can't read " + line.arguments()[1]);
    const std::string id = options.change.empty() ? randomChangeId() : options.change;
    std::string target = "/admin/configuration?change=" + id;
    if (!options.base.empty())
        target += "&base=" + options.base;
    const HttpResponse response = callDaemon(options, "PUT", target, *text);
    if (response.failure != HttpFailure::None || response.status == 504) {
        fmt::print(stderr, "cranberryctl: not settled; ask again with: cranberryctl change {}\n", id);
        return ExitUnsettled;
    }
    show(response);
    if (response.status == 409)
        return ExitConflict;
    return response.status < 300 ? 0 : ExitFailed;
}

int diff(const CommandLine &line, const Options &options)
{
    if (line.arguments().size() != 2)
        return line.fail("diff needs one FILE");
    const std::optional<std::string> text = readFile(line.arguments()[1]);
    if (!text)
        return line.fail("can't read " + line.arguments()[1]);
    const HttpResponse response = callDaemon(options, "POST", "/admin/diff", *text);
    if (response.failure != HttpFailure::None)
        return show(response);
    fmt::print("{}", response.body);
    return response.status == 200 ? 0 : ExitFailed;
}

int get(const Options &options)
{
    const HttpResponse response = callDaemon(options, "GET", "/admin/configuration", "");
    if (response.failure != HttpFailure::None)
        return show(response);
    fmt::print("{}", stringField(parseOrNull(response.body), "text"));
    return 0;
}

using TraceFunction = std::vector<std::string> (*)(const std::string &, const std::vector<std::string> &);

// Prints the trace of a request or a service from the daemons' logs.
int printTrace(const CommandLine &line, TraceFunction traceFunction, const std::string &subjectKind)
{
    if (line.arguments().size() < 3)
        return line.fail(
            fmt::format("{} needs a {} and at least one log file", line.arguments()[0], subjectKind));
    std::vector<std::string> lines;
    for (size_t i = 2; i < line.arguments().size(); ++i) {
        const std::optional<std::string> text = readFile(line.arguments()[i]);
        if (!text)
            return line.fail("can't read " + line.arguments()[i]);
        std::vector<std::string> fileLines;
        boost::algorithm::split(fileLines, *text, [](char c) { return c == '\n'; });
        lines.insert(lines.end(), fileLines.begin(), fileLines.end());
    }
    const std::vector<std::string> events = traceFunction(line.arguments()[1], lines);
    for (const std::string &each : events)
        fmt::print("{}\n", each);
    if (events.empty())
        fmt::print(stderr, "cranberryctl: no event of that {} in the given log files\n", subjectKind);
    return events.empty() ? ExitFailed : 0;
}

int run(int argc, const char **argv)
{
    Options options;
    CommandLine line("cranberryctl",
                     "[OPTION...] apply FILE | diff FILE | get | status | requests | drain | change ID | "
                     "trace REQUEST LOG... | rollout SERVICE LOG...");
    line.addText("daemon", 'd', options.daemon, "admin address of any daemon (required)", "IP:PORT");
    line.addText("base", 'b', options.base, "apply: the revision that was edited", "REVISION");
    line.addText("change", 'i', options.change, "apply: id of this change, to repeat it safely", "ID");
    line.addNumber("notice-ms", 'n', options.noticeMs, "drain: milliseconds until the instance goes");
    if (!line.parse(argc, argv))
        return line.exitCode();
    const std::string command = line.arguments().empty() ? "" : line.arguments().front();
    if (command == "trace")
        return printTrace(line, traceRequest, "request");
    if (command == "rollout")
        return printTrace(line, traceRollouts, "service");
    if (!addressFromText(options.daemon))
        return line.fail("--daemon must be IP:PORT");
    if (command == "apply")
        return apply(line, options);
    if (command == "diff")
        return diff(line, options);
    if (command == "get")
        return get(options);
    if (command == "status" || command == "requests")
        return show(callDaemon(options, "GET", "/admin/" + command, ""));
    if (command == "change" && line.arguments().size() == 2)
        return show(callDaemon(options, "GET", "/admin/changes/" + line.arguments()[1], ""));
    if (command == "drain") {
        const std::string notice = options.noticeMs > 0 ? fmt::format("?noticeMs={}", options.noticeMs) : "";
        return show(callDaemon(options, "POST", "/admin/drain" + notice, ""));
    }
    return line.fail("unknown command; see --help");
}

} // namespace

} // namespace cranberry

int main(int argc, const char **argv)
{
    return cranberry::run(argc, argv);
}
