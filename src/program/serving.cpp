#include "src/program/serving.hpp"

#include <malloc.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <random>
#include <thread>

#include "src/crewroom/room.hpp"
#include "src/program/taking_over.hpp"
#include "src/routing/operators_actor.hpp"
#include "src/routing/platform_actors.hpp"
#include "src/transport/thread.hpp"

namespace petrelpond {

namespace {

// After a SIGTERM the kill comes no sooner than 3.7 s later, and new connections come for up to 0.4 s.
constexpr Span kWatch = Span::seconds(2), kMustAskIn = Span::seconds(5);
constexpr int kForSuccessor = 40;  // descriptors that a process beside this one needs for its start
constexpr Span kAccepting = Span::millis(700), kLeaving = Span::millis(3400);

// The configuration has been replaced: discovery may have moved. The rest of it holds from the next start on.
// A file that can't be used changes nothing.
void reread(Log& log, ListActor& list, NoticeActor& notices) {
    try {
        std::string discovery = readConfig().discovery;
        if (!Address::parse(discovery)) throw Malformed("discovery is no address: '" + discovery + "'");
        list.moveTo(discovery), notices.moveTo(discovery);
        log.add(Count::configsReread, 1);
        log.say(Level::info, "configuration read again, discovery is at " + discovery);
    } catch (const std::exception& wrong) {
        log.add(Count::configsOdd, 1);
        log.say(Level::error, std::string("configuration not taken over: ").append(wrong.what()));
    }
}

}  // namespace

int serveUntilTold(Config& config, Log& log, const sigset_t& signals) {
    auto listenAddress = Address::parse(config.listen);
    std::string problem = "no address";
    Socket listener;
    bool shared = false;
    if (config.listener >= 0) {
        listener = inheritedListener(config.listener, problem);
        shared = listener.open();
        if (!shared) log.say(Level::error, "LB_FD: " + problem + "; listening at " + config.listen + " instead");
    }
    // The address may still be held by an earlier life that is just going.
    for (int i = 0; i < 30 && !shared && listenAddress && !listener.open(); ++i) {
        if (i > 0) std::this_thread::sleep_for(std::chrono::milliseconds(100));
        listener = listenAt(*listenAddress, problem);
    }
    if (!listener.open()) {
        log.say(Level::error, "cannot listen at " + config.listen + ": " + problem);
        return 1;
    }
    // An operators' address that can't be had is said, and the clients are served all the same.
    Socket opsListener;
    if (auto at = Address::parse(config.ops)) opsListener = listenAt(*at, problem = "no address");
    if (!config.ops.empty() && !opsListener.open())
        log.say(Level::error, "no calls by operators: cannot listen at " + config.ops + ": " + problem);
    // Descriptors: a few are the process's own, half of the rest the clients', half the endpoints'.
    SenderLimits room = readRoom(config.settings);
    auto free = static_cast<int>(config.sockets - 32);
    int linesMost = std::max(free / 2, 8);
    if (room.maxCalls > 0) linesMost = std::max(std::min(linesMost, 3 * room.maxCalls + 16), free / 3);
    if (opsListener.open()) free -= OperatorsActor::kCallers;
    if (!config.crewListen.empty()) free -= CrewRoom::kDescriptors;
    if (shared) free -= kForSuccessor;
    int clientsMost = std::max(free - linesMost, 8);
    // A quarter of the memory may lie in buffers. Clients and calls have pools of their own, so that clients
    // which never finish their requests keep no call from leaving.
    auto pool = static_cast<int>(
        std::max<int64_t>(config.memoryMb * 1000000 / 4 / static_cast<int64_t>(Buffers::kSize), 32));
    int forCalls = pool / 2;
    if (room.maxCalls > 0) forCalls = std::min(forCalls, room.maxCalls + 4);
    Buffers buffers(static_cast<size_t>(forCalls)), clientBuffers(static_cast<size_t>(pool - forCalls));
    // Both processes of a sender that is being replaced have its descriptors together.
    auto start = succession::startOf(generations::found(config.state), shared && config.replica.empty());
    int share = start.awaits.empty() ? 1 : 2;
    Lines lines{linesMost / share};

    auto inbox = std::make_shared<ModuleBox>(4096);
    std::unique_ptr<replica::Shipper> shipper;
    if (!config.replica.empty()) {
        replica::Shipper::Options options;
        options.to = config.replica, options.report = &log;
        std::random_device chance;
        options.session = static_cast<uint64_t>(chance()) << 32 | chance();
        options.wake = [inbox] { inbox->postHeld(SafeMail{}); };
        shipper = std::make_unique<replica::Shipper>(std::move(options));
    }
    while (start.makes && !start.refused && !generations::make(config.state, start.own) && errno == EEXIST) ++start.own;
    std::string own = generations::folderOf(config.state, start.own);
    auto store = openStore(config, own, true, inbox, log, shipper.get());
    bool works = store->works() && !start.refused;
    ModuleActor::Stock stock;
    stock.store = std::move(store), stock.own = start.own, stock.heir = succession::Heir(start.awaits);
    for (auto number : start.takes) {
        std::shared_ptr<Store> taken =
            openStore(config, generations::folderOf(config.state, number), false, inbox, log, nullptr);
        works = works && taken->works();
        stock.taken.emplace(number, std::move(taken));
    }
    Succession before(config, start.awaits, inbox, log);
    if (!works) log.say(Level::error, "no store in " + config.state + ": nothing can be taken on");
    NoticeActor notices(config.discovery, buffers, inbox, log);
    // A watch is kept short, so that one whose connection died unseen is soon replaced.
    EndpointListRule rule = readListRule(config.settings);
    Span mustAskIn = rule.maxRequestInterval;
    AskPlan plan(static_cast<uint32_t>(config.seed >> 16), readCrewSize(config.settings), rule.changesOnRequest,
                 mustAskIn > Span() ? mustAskIn : kMustAskIn, kWatch);
    ListActor list(config.discovery, config.known.revision, !config.known.members.empty(), plan, buffers,
                   inbox, log);
    Clients clients(std::move(listener), shared, clientsMost / share, room.maxNackPause, clientBuffers, inbox, log);

    ListedIds listed;
    std::string damaged;
    std::unique_ptr<operators::Ledger> ledger;
    if (opsListener.open()) ledger = std::make_unique<operators::Ledger>(config.state, damaged);
    if (!damaged.empty()) log.say(Level::error, damaged);
    ModuleActor::Ways ways;
    ways.inbox = inbox;
    if (ledger) ways.listed = [&](std::set<std::string> ids) { listed.are(std::move(ids)); };
    ReportFields reported = readReportFields(config.settings);
    auto fieldName = [&, names = config.settings.list("report.fields")](int i) {
        return i < 0 ? std::string() : std::string(names[static_cast<size_t>(i)]);
    };
    Span connectWithin = Span::micros(config.settings.integer("limits.connectTimeout", 1500000));
    EndpointLoop endpoints;
    ways.endpoints = {&endpoints,
                      &buffers,
                      &lines,
                      &log,
                      {fieldName(reported.limit), fieldName(reported.left)},
                      connectWithin,
                      readLinks(config.settings).idleTimeout,
                      [inbox](CallEnd end) { inbox->postHeld(std::move(end)); }};
    ways.notify = [&](Notice notice) { notices.notify(std::move(notice)); };
    ways.ready = [&] {
        if (!works) return;
        clients.ready();
        log.say(Level::info, config.name + " is up");
    };
    ways.report = &log;
    ways.emptied = [&](succession::Number number, std::shared_ptr<Store> emptied) {
        bool began = startThread([&, number, gone = std::move(emptied)]() mutable {
            generations::remove(config.state, number);
            gone = nullptr;
        });
        if (!began) log.say(Level::warning, "generation " + std::to_string(number) + " is empty and stays");
    };
    ways.diskMost = config.diskMb * 1000000;
    ways.elsewhere = [&before] { return before.bytesElsewhere(); };
    std::unique_ptr<Recording> recording;
    if (const char* path = std::getenv("PETRELPOND_RECORD"); path && *path) {
        const char* most = std::getenv("PETRELPOND_RECORD_MB");
        auto mb = static_cast<size_t>(most ? std::clamp(std::atol(most), 1L, 1000000L) : 64);
        recording = std::make_unique<Recording>(path, mb * 1000000, log);
    }
    ways.recording = recording.get();
    // What ten thousand destinations used while they were awake.
    ways.tidy = [&log] {
        malloc_trim(0);
        auto now = mallinfo2();
        log.say(Level::info, "memory tidied: " + std::to_string(now.uordblks / 1000) + " kB in use, " +
                                 std::to_string(now.fordblks / 1000) + " kB free between");
    };
    ways.standby = shipper.get();
    if (shipper) shipper->begin(stock.store->epoch());
    ModuleActor module(config.settings, config.seed, std::move(stock), ways);
    bool many = config.known.members.size() > 1000;
    // Without peers in the configuration there is no socket, thread or byte of it.
    std::unique_ptr<CrewRoom> crew;
    if (!config.crewListen.empty()) {
        auto seed = static_cast<uint32_t>(config.seed * 2654435761u + std::hash<std::string>()(config.name));
        crew = std::make_unique<CrewRoom>(config.crew, config.crewListen, config.state, seed, log);
        crew->publish(CrewRoom::kStanding, "serving");
        log.countersToo([&crew] { return crew->counters(); });
    }
    auto aboutCrew = [&crew](operators::Facts& facts) {
        if (!crew) return;
        CrewRoom::Snapshot now = crew->snapshot();
        auto lives = [](const crew::Seen& m) { return m.state <= crew::State::doubted; };
        facts.crew = "of the crew " + std::to_string(std::count_if(now.members.begin(), now.members.end(), lives)) +
                     " there, " + std::string(wordOf(now.phase));
        facts.members = crew->asJson();
    };
    // Orders come before the list that they bear on.
    auto hold = [&](const operators::Orders& orders) {
        if (crew) crew->publish(CrewRoom::kStanding, orders.drained ? "drained" : "serving");
        clients.drain(orders.drained);
        inbox->postHeld(OrdersMail{orders.out});
    };
    std::unique_ptr<OperatorsActor> operators;
    if (ledger) {
        hold(ledger->orders());
        auto whyNot = [&]() -> std::string {
            if (!works) return "no store";
            if (!listed.any()) return "no list of endpoints yet";
            return clients.up() ? "" : "not up";
        };
        operators = std::make_unique<OperatorsActor>(
            std::move(opsListener), OperatorsActor::Ways{ledger.get(), &listed, whyNot, hold, &log, aboutCrew});
    }
    inbox->postHeld(ListMail{std::move(config.known), true});
    config.known = MemberList();

    bool started = startThread([&] { endpoints.run(); }) && startThread([&] { module.run(); }) && startThread([&] { notices.run(); }) &&
                   startThread([&] { list.run(); }) && startThread([&] { clients.attend(); });
    auto serve = [&] {
        if (!startThread([&] { clients.accept(); })) log.say(Level::error, "no thread to accept with");
    };
    if (start.awaits.empty()) {
        serve();
    } else {
        auto alone = [&] {
            clients.allow(clientsMost), lines.left += linesMost - linesMost / share;
            log.say(Level::info, config.name + " has taken over");
        };
        log.say(Level::info, "waiting for the process before this one");
        started = started && startThread([&, alone] { before.run(serve, alone); });
    }
    if (operators) started = started && startThread([&] { operators->run(); });
    if (crew) started = started && startThread([&] { crew->run(); });
    if (!started) {
        log.say(Level::error, "the machine gives no threads");
        return 1;
    }

    if (many) malloc_trim(0);  // of the configuration, read whole
    for (int signal = 0; signal != SIGTERM && signal != SIGINT;) {
        signal = 0;
        if (sigwait(&signals, &signal) != 0) continue;
        if (signal == SIGHUP) reread(log, list, notices);
        if (signal == SIGUSR1) log.say(Level::info, std::string("counters\n").append(log.counters()));
    }
    Instant told = steadyNow();
    log.say(Level::info, config.name + " is leaving");
    if (shared && generations::newerHeld(config.state, start.own)) {
        // In each generation that is ours by now: the successor awaits them one by one.
        std::vector<generations::Notes> notes;
        for (const auto& f : generations::found(config.state)) {
            if (f.number <= start.own && before.holds(f.number))
                notes.emplace_back(generations::folderOf(config.state, f.number));
        }
        // Without a word to the crew: this sender stays, and its next process speaks at this address.
        if (crew) crew->release();
        handOver(clients, module, *inbox, notes, log);
        log.say(Level::info, std::string("counters\n").append(log.counters()));
        std::cerr.flush();
        std::_Exit(0);
    }
    if (crew) crew->publish(CrewRoom::kStanding, "leaving");
    clients.leave();
    Mailbox<bool> left(1);
    inbox->postHeld(LeavingMail{told + kLeaving, nullptr});
    sleepUntil(told + kAccepting);
    clients.stopListening();
    // First all that have asked get their answers, then what they handed in gets its time.
    while (clients.open() > 0 && steadyNow() < told + kLeaving) {
        clients.closeIdle();
        sleepUntil(steadyNow() + Span::millis(10));
    }
    inbox->postHeld(LeavingMail{told + kLeaving, [&] { left.postHeld(true); }});
    left.drain(told + kLeaving);
    clients.closeIdle();
    if (crew) crew->leave();
    for (int i = 0; crew && !crew->over() && i < 20; ++i) sleepUntil(steadyNow() + Span::millis(5));
    log.say(Level::info, std::string("counters\n").append(log.counters()));
    std::cerr.flush();
    // The actors' threads are still at work on all of this, so nothing is taken down under them.
    std::_Exit(0);
}

}  // namespace petrelpond
