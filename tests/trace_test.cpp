#include "trace.h"

#include <doctest/doctest.h>

using namespace cranberry;

TEST_CASE(
    "a request's trace has its own events and those of its endpoints at the same daemons, in order of time")
{
    const std::vector<std::string> lines{
        R"(  2.1 entry-1 {"time_ms":2000,"instance":"entry-1","event":"send","request":"r1","endpoint":"i-1","age_ms":3})",
        R"({"time_ms":1500,"instance":"entry-1","event":"endpoint","endpoint":"i-1","leaving":true})",
        R"({"time_ms":1600,"instance":"entry-1","event":"endpoint","endpoint":"i-2","leaving":true})",
        R"({"time_ms":1700,"instance":"entry-2","event":"store_lost"})",
        R"({"time_ms":1800,"instance":"entry-1","event":"store_lost"})",
        R"({"time_ms":2100,"instance":"entry-1","event":"send","request":"r2","endpoint":"i-1"})",
        R"({"time_ms":2200,"instance":"entry-1","event":"refused","request":"r1","reason":"timed_out"})",
        R"({"time_ms":9000,"instance":"entry-1","event":"store_regained"})",
        "not a log line",
        "{\"broken"};
    const std::vector<std::string> trace = traceRequest("r1", lines);
    REQUIRE(trace.size() == 4);
    CHECK(trace[0] == "  -500 ms   entry-1 endpoint endpoint=\"i-1\" leaving=true");
    CHECK(trace[1] == "  -200 ms   entry-1 store_lost");
    CHECK(trace[2] == "    +0 ms * entry-1 send endpoint=\"i-1\" age_ms=3");
    CHECK(trace[3] == "  +200 ms * entry-1 refused reason=\"timed_out\"");
    CHECK(traceRequest("unknown", lines).empty());
}

// Guards against a trace that hides that the request's daemon stopped long after its last line.
TEST_CASE("a request's trace has the stop of its daemon")
{
    const std::vector<std::string> lines{
        R"({"time_ms":1000,"instance":"a","event":"send","request":"r1"})",
        R"({"time_ms":5000,"instance":"a","event":"stopping"})",
        R"({"time_ms":5000,"instance":"a","event":"store_lost"})",
        R"({"time_ms":12300,"instance":"b","event":"stopped"})",
        R"({"time_ms":12300,"instance":"a","event":"stopped","after_ms":7300})"};
    const std::vector<std::string> trace = traceRequest("r1", lines);
    REQUIRE(trace.size() == 3);
    CHECK(trace[2] == "+11300 ms   a stopped after_ms=7300");
}

TEST_CASE("all attempts of one request are traced together")
{
    // A request that crashes engines is retried under other ids at other daemons. The trace of one attempt
    // must contain the other attempts and each engine that crashed under them.
    const std::vector<std::string> lines = {
        R"({"time_ms":1000,"instance":"a","event":"send","digest":"d1","request":"r0","endpoint":"m1"})",
        R"({"time_ms":1100,"instance":"a","event":"lost_with_endpoint","digest":"d1","request":"r0","endpoint":"m1"})",
        R"({"time_ms":9000,"instance":"b","event":"send","digest":"d1","request":"r1","endpoint":"m2"})",
        R"({"time_ms":9050,"instance":"b","event":"send","digest":"d2","request":"r2","endpoint":"m2"})"};
    const std::vector<std::string> trace = traceRequest("r1", lines);
    REQUIRE(trace.size() == 3);
    CHECK(trace[0].find(" = a send") != std::string::npos);
    CHECK(trace[1].find("lost_with_endpoint") != std::string::npos);
    CHECK(trace[2].find(" * b send") != std::string::npos);
}

TEST_CASE("a roll-out's trace has its stages and the daemons that suspected the version first")
{
    const std::vector<std::string> lines = {
        R"({"time_ms":1000,"instance":"a","event":"rollout_stage","service":"s","target":"v2","stage":"trial"})",
        R"({"time_ms":1010,"instance":"b","event":"rollout","service":"s","target":"v2","stage":"trial"})",
        R"({"time_ms":4300,"instance":"a","event":"rollout_stage","service":"s","stage":"rolled_back","why":"bad"})",
        R"({"time_ms":4200,"instance":"b","event":"version_suspected","service":"s","answers":29,"bad":10})",
        R"({"time_ms":4200,"instance":"b","event":"version_suspected","service":"t","answers":29,"bad":10})"};
    const std::vector<std::string> trace = traceRollouts("s", lines);
    REQUIRE(trace.size() == 3);
    CHECK(trace[1] == " +3200 ms b version_suspected service=\"s\" answers=29 bad=10");
    CHECK(trace[2] == " +3300 ms a rollout_stage service=\"s\" stage=\"rolled_back\" why=\"bad\"");
}

// Guards against a request that looks unknown since its lines were thinned out.
TEST_CASE("a request's trace has the lines that name it in brief")
{
    const std::string longId(80, 'x');
    const std::vector<std::string> lines{
        R"({"time_ms":2000,"instance":"entry-1","event":"in_brief","requests":["send i-1 r1","answered i-2 r2"]})",
        R"({"time_ms":2300,"instance":"entry-1","event":"lost_in_brief","requests":["stream_broken i-1 r1"]})",
        R"({"time_ms":2400,"instance":"entry-1","event":"in_brief","requests":["send - )"
            + longId.substr(0, 64) + R"(",7,"nothing"],"unnamed":3})"};
    const std::vector<std::string> trace = traceRequest("r1", lines);
    REQUIRE(trace.size() == 2);
    CHECK(trace[0] == "    +0 ms * entry-1 send endpoint=\"i-1\" in_brief=true");
    CHECK(trace[1] == "  +300 ms * entry-1 stream_broken endpoint=\"i-1\" in_brief=true");
    CHECK(traceRequest(longId, lines).size() == 1);
    CHECK(traceRequest("nothing", lines).empty());
}
