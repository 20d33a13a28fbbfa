#pragma once

#include "fakestore.h"
#include "gateway/peers/fleetview.h"
#include "gateway/peers/peerdatagrams.h"
#include "gateway/store/namedreaders.h"
#include "gatewayfixture.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>

namespace cranberry {

constexpr DurationMs FleetStep{25};
constexpr DurationMs EntriesInterval{500};
constexpr double StrongCores = 0.5;
constexpr double WeakCores = 0.12;
/// Cores used by each strong daemon, about the load at which callers use half of them.
constexpr double CoresUsed = 0.1;

/// Times by which a change must be known everywhere.
struct FleetBounds {
    DurationMs configuration{2000};
    DurationMs drain{2000};
};

/// Simulates daemons with a store and encoded datagrams, but without callers.
class FleetSimulation
{
public:
    FleetSimulation(size_t count, size_t strong, size_t engines = 0, const StoreFaults &faults = {},
                    const FleetBounds &bounds = {})
        : store_(1), random_(1), bounds_(bounds)
    {
        store_.faults = faults;
        for (size_t i = 0; i < engines; ++i)
            startEngine(i);
        configure(1);
        daemons_.resize(count);
        for (size_t i = 0; i < count; ++i) {
            daemons_[i].cores = i < strong ? StrongCores : WeakCores;
            start(i, true);
        }
    }

    void configure(uint64_t version)
    {
        std::shared_ptr<ServingConfiguration> configuration = std::make_shared<ServingConfiguration>();
        configuration->version = version;
        for (int i = 0; i < 40; ++i) {
            ServedOrganisation organisation;
            organisation.name.value = fmt::format("organisation-{}", i);
            organisation.ratePerSecond = 100'000;
            organisation.burst = 200'000;
            organisation.countsTokens = true;
            configuration->organisations.push_back(organisation);
        }
        store_.putConfiguration(configuration);
    }
    uint64_t versionAt(size_t i) const { return daemons_[i].gateway->configuration()->version; }
    /// The store does not reply; leases lapse meanwhile.
    void setStoreDown(bool down)
    {
        store_.faults.down = down;
        store_.faults.leasesLapseWhileDown = true;
    }

    void start(size_t i, bool first = false)
    {
        SimulatedDaemon &daemon = daemons_[i];
        StoreSyncSettings settings;
        settings.self = {{fmt::format("front-{}", i)},
                         {++incarnations_},
                         {"north"},
                         callerAddress(i),
                         peerAddress(i),
                         daemon.cores};
        settings.firstStart = first;
        settings.seed = incarnations_;
        settings.configurationBound = bounds_.configuration;
        settings.drainTime = bounds_.drain;
        GatewaySettings gatewaySettings;
        gatewaySettings.instance = settings.self.instance;
        gatewaySettings.incarnation = settings.self.incarnation;
        gatewaySettings.drainTime = bounds_.drain;
        daemon.sync = std::make_unique<StoreSync>(settings, log_);
        daemon.gateway = std::make_unique<Gateway>(gatewaySettings, log_);
        daemon.fleet = std::make_unique<FleetView>(*daemon.sync, *daemon.gateway);
        daemon.isUp = true;
        daemon.startedAt = now;
    }
    void kill(size_t i) { daemons_[i].isUp = false; }
    void killAll()
    {
        for (size_t i = 0; i < count(); ++i)
            kill(i);
    }
    void startAll()
    {
        for (size_t i = 0; i < count(); ++i)
            start(i);
    }
    static EndpointId engineId(size_t i) { return {fmt::format("engine-{}", i)}; }
    void startEngine(size_t i, bool leaving = false)
    {
        EndpointEntry entry;
        entry.id = engineId(i);
        entry.leaving = leaving;
        entry.service.value = "model";
        entry.address = {"10.0.1.1", static_cast<uint16_t>(FirstPort + i)};
        entry.failureDomain.value = "north";
        entry.slots = 64;
        store_.putEndpoint(entry);
    }
    void stopEngine(size_t i) { store_.remove(StoreSpace::Endpoints, fmt::format("engine-{}", i)); }
    TimeMs startedAt(size_t i) const { return daemons_[i].startedAt; }
    const Gateway &gatewayOf(size_t i) const { return *daemons_[i].gateway; }
    /// Daemons that the store's control key names as readers.
    std::vector<size_t> namedReaders() const
    {
        std::vector<size_t> out;
        for (const Address &reader : readersFromText(stored(ReadersKey)))
            out.push_back(indexOf(reader));
        return out;
    }
    size_t enginesKnownTo(size_t i) const { return daemons_[i].gateway->fleet().all().size(); }

    void advance(DurationMs duration)
    {
        for (const TimeMs until = now + duration; now < until;) {
            now = now + FleetStep;
            for (size_t i = 0; i < daemons_.size(); ++i) {
                if (daemons_[i].isUp)
                    tick(i);
            }
            for (std::pair<size_t, StoreReply> &reply : store_.replies(now)) {
                if (!daemons_[reply.first].isUp)
                    continue;
                daemons_[reply.first].sync->onReply(reply.second, now);
                takeUpdates(reply.first);
            }
            deliver();
        }
    }

    /// The store rejects every `nth` daemon; 0: none.
    void rejectClients(size_t nth)
    {
        store_.refusedClients.clear();
        for (size_t i = 0; nth > 0 && i < daemons_.size(); i += nth)
            store_.refusedClients.push_back(i);
    }
    std::string stored(const std::string &key) const
    {
        return store_.valueOf(StoreSpace::Control, key).value_or("");
    }
    void slowStore(DurationMs delay) { store_.faults.delay = delay; }
    void limitStore(uint64_t listsPerSecond) { store_.faults.listsPerSecond = listsPerSecond; }
    size_t countReady() const
    {
        size_t ready = 0;
        for (size_t i = 0; i < count(); ++i)
            ready += isReady(i) ? 1 : 0;
        return ready;
    }

    size_t count() const { return daemons_.size(); }
    bool isUp(size_t i) const { return daemons_[i].isUp; }
    bool isReady(size_t i) const { return daemons_[i].isUp && daemons_[i].gateway->isReady(now); }
    bool serves(size_t i) const { return daemons_[i].gateway->serves(); }
    std::vector<Address> entriesOf(size_t i)
    {
        const SimulatedDaemon &daemon = daemons_[i];
        return daemon.fleet->entryAddresses({callerAddress(i), daemon.cores}, coresUsed(daemon), now);
    }
    /// Reports to one daemon only that `crashes` engines, from number `first` on, crashed while they ran the
    /// request.
    void crashEngines(size_t i, RequestDigest request, int crashes = 3, int first = 0)
    {
        CrashNotice notice;
        for (int end = first; end < first + crashes; ++end)
            notice.crashes.push_back({request, {EndpointId{fmt::format("engine-{}", end)}, {}}, false});
        daemons_[i].gateway->onCrashNotice(notice, now);
    }
    /// Number of daemons that are up and have the request in quarantine.
    size_t countQuarantining(RequestDigest request)
    {
        size_t total = 0;
        for (SimulatedDaemon &daemon : daemons_) {
            if (!daemon.isUp)
                continue;
            const std::vector<QuarantinedRequest> &list = daemon.gateway->quarantine(now);
            total += std::any_of(list.begin(), list.end(), [request](const QuarantinedRequest &each) {
                return each.request == request;
            });
        }
        return total;
    }
    size_t firstServing() const
    {
        for (size_t i = 0; i < count(); ++i) {
            if (isUp(i) && serves(i))
                return i;
        }
        return 0;
    }
    void saveStore() { store_.saveCopy(); }
    void restoreStoreCopy() { store_.comeBackFromCopy(); }
    size_t members() const { return store_.keyCount(StoreSpace::Members); }
    /// Maximum number of writes sent within one second since the last `resetTraffic`.
    size_t maxWritesPerSecond() const
    {
        size_t highest = 0;
        for (const std::pair<const int64_t, size_t> &second : writes_)
            highest = std::max(highest, second.second);
        return highest;
    }
    double storeReads() const { return static_cast<double>(storeReads_); }
    uint64_t storeCalls() const { return storeCalls_; }
    uint64_t storeMegabytes() const { return store_.bytesSent() / 1'000'000; }
    /// Number of daemons that are up and advertise a daemon that is down to callers.
    size_t countAdvertisingDown()
    {
        size_t total = 0;
        for (size_t i = 0; i < daemons_.size(); ++i) {
            if (!daemons_[i].isUp)
                continue;
            const std::vector<Address> entries = entriesOf(i);
            total += std::any_of(entries.begin(), entries.end(),
                                 [this](const Address &each) { return !daemons_[indexOf(each)].isUp; });
        }
        return total;
    }
    static size_t indexOf(const Address &address) { return address.port - FirstPort; }

    /// Bytes and datagrams that a daemon sent and received since the last `resetTraffic`.
    struct Traffic {
        double bytes = 0;
        double datagrams = 0;
    };
    void resetTraffic()
    {
        storeReads_ = 0;
        storeCalls_ = 0;
        writes_.clear();
        for (SimulatedDaemon &daemon : daemons_)
            daemon.traffic = {};
    }
    Traffic trafficOf(size_t i) const { return daemons_[i].traffic; }

    TimeMs now{1'000'000};
    uint64_t lossPercent = 0;

private:
    struct SimulatedDaemon {
        double cores = WeakCores;
        std::unique_ptr<StoreSync> sync;
        std::unique_ptr<Gateway> gateway;
        std::unique_ptr<FleetView> fleet;
        TimeMs startedAt;
        TimeMs entriesAt;
        bool isUp = false;
        Traffic traffic;
    };
    struct Datagram {
        size_t from = 0;
        size_t to = 0;
        std::string text;
    };

    static constexpr uint16_t FirstPort = 1000;
    static Address callerAddress(size_t i) { return {"10.0.0.1", static_cast<uint16_t>(FirstPort + i)}; }
    static Address peerAddress(size_t i) { return {"10.0.0.2", static_cast<uint16_t>(FirstPort + i)}; }
    double coresUsed(const SimulatedDaemon &daemon) const
    {
        return daemon.cores == StrongCores ? CoresUsed : 0.002;
    }

    // Runs the same steps as the daemon at each of its ticks.
    void tick(size_t i)
    {
        SimulatedDaemon &daemon = daemons_[i];
        Gateway &gateway = *daemon.gateway;
        daemon.fleet->beforeStoreTick(now);
        daemon.sync->tick(now);
        sendPending(i);
        gateway.tick(now);
        for (const GatewayAction &action : gateway.takeActions()) {
            if (const SendToPeer *word = std::get_if<SendToPeer>(&action))
                send(i, word->to,
                     std::visit([](const auto &each) { return encodeDatagram(each); }, word->message));
        }
        if (now - daemon.entriesAt >= EntriesInterval) {
            daemon.entriesAt = now;
            entriesOf(i);
        }
        sendReports(i, daemon.fleet->dueReports(now));
    }

    void takeUpdates(size_t i)
    {
        sendReports(i, daemons_[i].fleet->takeUpdates(now));
        sendPending(i);
    }

    void sendPending(size_t i)
    {
        SimulatedDaemon &daemon = daemons_[i];
        for (const StoreCall &call : daemon.sync->takeCalls()) {
            ++storeCalls_;
            storeReads_ += call.verb == StoreVerb::List ? 1 : 0;
            const bool writes = call.verb == StoreVerb::Write || call.verb == StoreVerb::GrantLease;
            writes_[now.count / 1000] += writes ? 1 : 0;
            store_.submit(i, call, now);
        }
        for (const StoreSync::Outgoing &outgoing : daemon.sync->takeOutgoing())
            send(i, outgoing.to,
                 std::visit([](const auto &each) { return encodeDatagram(each); }, outgoing.message));
    }

    void sendReports(size_t i, const ReportSchedule::Due &due)
    {
        if (due.to.empty())
            return;
        PeerReport report = daemons_[i].gateway->report(due.isFull, now);
        report.coresUsed = coresUsed(daemons_[i]);
        const std::string text = encodeDatagram(report);
        for (const Address &to : due.to)
            send(i, to, text);
    }

    void send(size_t from, const Address &to, const std::string &text)
    {
        count(from, text);
        if (random_.below(100) >= lossPercent)
            datagrams_.push_back({from, indexOf(to), text});
    }

    void count(size_t i, const std::string &text)
    {
        daemons_[i].traffic.bytes += static_cast<double>(text.size());
        ++daemons_[i].traffic.datagrams;
    }

    void deliver()
    {
        for (const Datagram &datagram : std::exchange(datagrams_, {})) {
            SimulatedDaemon &daemon = daemons_[datagram.to];
            if (!daemon.isUp)
                continue;
            count(datagram.to, datagram.text);
            const std::optional<PeerDatagram> read = decodeDatagram(datagram.text);
            if (const PeerReport *report = std::get_if<PeerReport>(&*read)) {
                daemon.gateway->onPeerReport(*report, now);
            } else if (const CrashNotice *notice = std::get_if<CrashNotice>(&*read)) {
                daemon.gateway->onCrashNotice(*notice, now);
            } else if (const FreshnessQuery *question = std::get_if<FreshnessQuery>(&*read)) {
                daemon.sync->onFreshnessQuery(*question, peerAddress(datagram.from), now);
                sendPending(datagram.to);
            } else if (const FreshnessReply *answer = std::get_if<FreshnessReply>(&*read)) {
                daemon.sync->onFreshnessReply(*answer, now);
                takeUpdates(datagram.to);
            }
        }
    }

    RecordingLog log_;
    FakeStore store_;
    Random random_;
    FleetBounds bounds_;
    std::vector<SimulatedDaemon> daemons_;
    std::vector<Datagram> datagrams_;
    uint64_t incarnations_ = 0;
    std::map<int64_t, size_t> writes_; ///< Number of writes, by second.
    uint64_t storeReads_ = 0;
    uint64_t storeCalls_ = 0;
};

constexpr size_t StrongCount = 18;

/// The store of a whole fleet: a link of 1 Gbit/s, instances on 20 Mbit/s, and a configuration with hundreds
/// of routes and organisations.
inline StoreFaults limitedStore()
{
    StoreFaults faults;
    faults.linkBytesPerMs = 125'000;
    faults.clientBytesPerMs = 2'500;
    faults.readsPerSecond = 16'000;
    faults.writesPerSecond = 3'200;
    faults.configurationBytes = 160'000;
    return faults;
}

} // namespace cranberry
