#include "gateway/io/stopsignal.h"

#include "gateway/io/clocksource.h"

#include <array>
#include <atomic>
#include <csignal>

namespace cranberry {

namespace {

struct WatchedSignal {
    int number = 0;
    struct sigaction previous = {};
};

std::array<WatchedSignal, 2> watched{{{SIGTERM, {}}, {SIGINT, {}}}};
constexpr int64_t NoSignal = -1;
std::atomic<int64_t> signalledAtMs{NoSignal};

// The clock's newest reading, not a new one: the process may have waited for the processor since the signal.
void onStopSignal(int number)
{
    int64_t none = NoSignal;
    signalledAtMs.compare_exchange_strong(none, newestSteadyTime().count);
    for (const WatchedSignal &each : watched) {
        if (each.number == number && each.previous.sa_handler != SIG_DFL
            && each.previous.sa_handler != SIG_IGN)
            each.previous.sa_handler(number);
    }
}

} // namespace

void noteStopSignals()
{
    steadyNow(); // A signal that comes before the first tick has a time, too.
    for (WatchedSignal &each : watched) {
        // The new handler may run before the call that installs it returns.
        ::sigaction(each.number, nullptr, &each.previous);
        struct sigaction action = {};
        action.sa_handler = onStopSignal;
        ::sigfillset(&action.sa_mask);
        ::sigaction(each.number, &action, nullptr);
    }
}

std::optional<TimeMs> stopSignalledAt()
{
    const int64_t at = signalledAtMs.load();
    return at == NoSignal ? std::nullopt : std::optional<TimeMs>(TimeMs{at});
}

} // namespace cranberry
