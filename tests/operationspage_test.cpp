#include "gateway/gatewaycounters.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

using namespace cranberry;

namespace {

std::string pageText()
{
    std::ifstream file(std::string(SOURCE_DIR) + "/docs/OPERATIONS.md");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("each refusal and retry reason has a counter and stands on the operators' page")
{
    const std::string page = pageText();
    REQUIRE(!page.empty());
    const std::string metrics = prometheusText(GatewayCounters{});
    for (size_t i = 0; i < static_cast<size_t>(GatewayRefusal::Count); ++i) {
        const std::string name = toText(static_cast<GatewayRefusal>(i));
        CHECK_MESSAGE(page.find(name) != std::string::npos, name);
        CHECK_MESSAGE(metrics.find("refusals_total{reason=\"" + name + "\"}") != std::string::npos, name);
    }
    for (size_t i = 0; i < static_cast<size_t>(GatewayRetry::Count); ++i) {
        const std::string name = toText(static_cast<GatewayRetry>(i));
        CHECK_MESSAGE(page.find(name) != std::string::npos, name);
        CHECK_MESSAGE(metrics.find("retries_total{reason=\"" + name + "\"}") != std::string::npos, name);
    }
    for (const char *cause : CloseCauseNames) {
        CHECK_MESSAGE(page.find(cause) != std::string::npos, cause);
        CHECK_MESSAGE(metrics.find(std::string("connections_closed_total{cause=\"") + cause + "\"}")
                          != std::string::npos,
                      cause);
    }
    for (size_t i = 0; i < static_cast<size_t>(GatewayCount::Count); ++i)
        CHECK(page.find(toText(static_cast<GatewayCount>(i))) != std::string::npos);
}

TEST_CASE("each log event that the code writes stands on the operators' page, with its fields' names")
{
    const std::string page = pageText();
    std::vector<std::filesystem::path> files;
    for (const char *folder : {"/src/gateway", "/src/io", "/platform"}) {
        for (const std::filesystem::directory_entry &entry :
             std::filesystem::recursive_directory_iterator(std::string(SOURCE_DIR) + folder)) {
            if (entry.path().extension() == ".cpp")
                files.push_back(entry.path());
        }
    }
    REQUIRE(files.size() > 20);
    for (const std::filesystem::path &file : files) {
        std::ifstream source(file);
        std::stringstream text;
        text << source.rdbuf();
        const std::string code = text.str();
        REQUIRE(!code.empty());
        size_t at = 0;
        while ((at = code.find("LogPriority::", at)) != std::string::npos) {
            const size_t quote = code.find('"', at);
            if (quote == std::string::npos)
                break; // No text follows that could be an event's name.
            const size_t end = code.find('"', quote + 1);
            const std::string event = code.substr(quote + 1, end - quote - 1);
            at = end;
            if (event.find_first_not_of("abcdefghijklmnopqrstuvwxyz_") == std::string::npos)
                CHECK_MESSAGE(page.find(event) != std::string::npos, event);
        }
    }
}
