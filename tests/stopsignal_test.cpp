#include "gateway/io/clocksource.h"
#include "gateway/io/stopsignal.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace cranberry;

namespace {

volatile std::sig_atomic_t signalsHandled = 0;

} // namespace

// Guards against a grace that is counted from the moment at which a busy or starved process takes its signal.
TEST_CASE("a stop signal is not taken for younger than it is, and its handler still runs")
{
    std::signal(SIGTERM, [](int) { signalsHandled = signalsHandled + 1; });
    noteStopSignals();
    CHECK_FALSE(stopSignalledAt());
    const TimeMs before = steadyNow();
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
    std::raise(SIGTERM);
    REQUIRE(stopSignalledAt());
    CHECK(*stopSignalledAt() == before);
    CHECK(signalsHandled == 1);
    steadyNow();
    std::raise(SIGTERM);
    CHECK(*stopSignalledAt() == before);
    CHECK(signalsHandled == 2);
}
