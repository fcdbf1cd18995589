// Many destinations: the index structures compared with plain models, and the bounds that the module keeps at scale.
#include "src/index/in_flight.hpp"
#include "src/index/wait_queues.hpp"
#include "src/index/endpoint_registry.hpp"
#include "src/index/delivery_history.hpp"
#include "tests/helpers.hpp"

using namespace petrelpond;

namespace {

struct LoadedEndpoint {
    EndpointCore core;
};
struct LoadedDestination {
    DestinationCore core;
    std::vector<uint32_t> endpoints;
};
struct GroupRecord {
    struct Core {
        double listedRate = 0;
    } core;
};
struct EndpointRecord {
    EndpointCore core;
    InFlightCalls inFlight;
};
// Endpoints of kind 1 have a limit group each.
struct Records : EndpointRegistry<GroupRecord, EndpointRecord> {
    using EndpointRegistry::destination, EndpointRegistry::forgetDestination, EndpointRegistry::removeIfUnused,
        EndpointRegistry::endpoints_, EndpointRegistry::groupOf, EndpointRegistry::groups_;
    void apply(ListScope scope, const std::vector<ListEntry>& entries) {
        applyList(scope, entries, true, [](KindIndex kind) { return kind == KindIndex(1u); });
    }
};

Set settingsFor(int calls, int held) {
    Set set;
    set.products = {{Span::seconds(3), Span::seconds(20), Effect::idempotent, Span(), false, 1, 0.3}};
    set.kinds = {{1, false}};
    set.room = {calls, held, 8, true, Span::millis(5), Span::seconds(2)};
    return set;
}

// A simulation in which every call ends after 20 ms with the result chosen for its destination.
struct Simulation : Rig {
    std::multimap<Instant, std::pair<Submit, SubmitStatus>> ends;
    std::function<SubmitStatus(uint32_t destination)> resultOf = [](uint32_t) { return SubmitStatus::delivered; };
    std::map<SubmitStatus, long> ended;
    long retries = 0, nacked = 0, maxInFlight = 0;
    std::map<uint32_t, long> inFlightOf, nackedOf;

    Simulation(Set s, uint32_t destinations) : Rig(std::move(s)) {
        std::vector<ListEntry> entries;
        for (uint32_t d = 0; d < destinations; ++d) {
            entries.push_back(
                {EndpointIndex(d), DestinationIndex(d), ZoneIndex(0u), KindIndex(0u), ListState::active, 0});
        }
        list(entries, ListScope::complete);
    }
    void step() {
        pull();
        for (const Submit& s : submits) {
            uint32_t d = s.endpoint.value;
            retries += count[s.text] > 1;
            maxInFlight = std::max(maxInFlight, ++inFlightOf[d]);
            ends.emplace(now + Span::millis(20), std::pair(s, resultOf(d)));
        }
        for (const Decision& d : others) {
            const auto* nack = std::get_if<Nack>(&d);
            if (nack) ++nacked, ++nackedOf[rules.rows.at(nack->text).arrival.destination.value];
        }
        while (!ends.empty() && ends.begin()->first <= now) {
            auto [submit, end] = ends.begin()->second;
            ends.erase(ends.begin());
            --inFlightOf[submit.endpoint.value], ++ended[end];
            Rig::end(submit, end);
        }
    }
    void runFor(
        Span span, const std::function<void()>& each = [] {}) {
        for (Instant until = now + span; now < until; now = now + Span::millis(5)) each(), step();
    }
};

}  // namespace

TEST_CASE("NameTable agrees with a plain map over random interning and releasing") {
    std::mt19937 random(3);
    NameTable<DestinationIndex> table;
    std::map<std::string, DestinationIndex> model;
    for (int i = 0; i < 20000; ++i) {
        std::string name = "n" + std::to_string(random() % 700);
        if (random() % 2 == 0) {
            DestinationIndex ix = table.intern(name);
            if (auto known = model.find(name); known != model.end()) CHECK(known->second == ix);
            for (int k = 0; k < 3 && i % 100 == 0; ++k) CHECK(table.name(ix) == name);
            model[name] = ix;
        } else if (auto known = model.find(name); known != model.end()) {
            CHECK(table.find(name) == known->second);
            table.release(known->second);
            model.erase(known);
        } else {
            CHECK(!table.find(name).isKnown());
        }
    }
    std::set<DestinationIndex> indices;
    for (const auto& [name, ix] : model) CHECK((table.find(name) == ix && indices.insert(ix).second));
    CHECK(model.size() > 200);
}

TEST_CASE("WaitQueues hold an index once, and RoundRobinSet visits all of its indices") {
    std::mt19937 random(4);
    WaitQueues queues;
    std::map<uint32_t, WaitReason> model;
    std::vector<uint32_t> turn;
    for (int i = 0; i < 5000; ++i) {
        uint32_t ix = random() % 300;
        auto row = static_cast<WaitReason>(random() % 5);
        queues.park(ix, row);
        model[ix] = row;
        if (i % 500 == 0) {
            queues.releaseAll(WaitReason::key);
            for (auto& [k, r] : model) r = r == WaitReason::key ? WaitReason::ready : r;
        }
    }
    for (WaitReason row : {WaitReason::ready, WaitReason::slot, WaitReason::credit, WaitReason::key}) {
        std::vector<uint32_t> want;
        for (auto& [k, r] : model) {
            if (r == row) want.push_back(k);
        }
        queues.queue(row).nextBatch(1000, turn);
        CHECK(turn == want);
    }
    RoundRobinSet set;
    for (uint32_t i = 0; i < 1000; ++i) set.insert(3 * i);
    std::set<uint32_t> met;
    for (int i = 0; i < 16; ++i) {
        set.nextBatch(64, turn);
        CHECK(turn.size() == 64);
        met.insert(turn.begin(), turn.end());
    }
    CHECK(met.size() == 1000);
}

TEST_CASE("endpoints of a destination share a limit group unless routes are separate, and removed ones are dropped") {
    auto entry = [](size_t e, size_t d, size_t kind, ListState state = ListState::active) {
        return ListEntry{EndpointIndex(e), DestinationIndex(d), ZoneIndex(0u), KindIndex(kind), state, 5.0};
    };
    Records all;
    all.apply(ListScope::complete, {entry(0, 0, 0), entry(1, 0, 0), entry(2, 1, 1), entry(3, 1, 1)});
    CHECK(all.groupOf(EndpointIndex(0u)) == all.groupOf(EndpointIndex(1u)));
    CHECK(all.groupOf(EndpointIndex(2u)) != all.groupOf(EndpointIndex(3u)));
    CHECK(all.groups_.core(all.groupOf(EndpointIndex(3u))).listedRate == 5);
    CHECK(all.destination(DestinationIndex(1u)).endpoints == std::vector<uint32_t>{2, 3});

    // An endpoint missing from a complete list is kept until its last call in flight has ended.
    all.endpoints_[2].inFlight.starts.insert(Instant());
    all.apply(ListScope::complete, {entry(0, 0, 0), entry(3, 1, 1)});
    CHECK(all.destination(DestinationIndex(0u)).endpoints == std::vector<uint32_t>{0});
    CHECK(all.destination(DestinationIndex(1u)).endpoints == std::vector<uint32_t>{2, 3});
    uint32_t freed = all.groupOf(EndpointIndex(2u));
    all.endpoints_[2].inFlight.starts.clear(), all.removeIfUnused(2);
    CHECK(all.destination(DestinationIndex(1u)).endpoints == std::vector<uint32_t>{3});
    CHECK(all.groups_.core(freed).listedRate == 0);
    all.apply(ListScope::changes, {entry(4, 2, 0)});
    CHECK(all.groupOf(EndpointIndex(4u)) == freed);

    // A cached list removes nothing for good.
    all.apply(ListScope::cached, {entry(3, 1, 1)});
    CHECK(!all.endpoints_.core(0).usable());
    CHECK(all.destination(DestinationIndex(0u)).endpoints == std::vector<uint32_t>{0});
    all.apply(ListScope::changes, {entry(4, 2, 0, ListState::removed)}), all.forgetDestination(DestinationIndex(2u));
    all.apply(ListScope::changes, {entry(5, 3, 0)});
    CHECK(all.groupOf(EndpointIndex(5u)) == freed);
}

TEST_CASE("endpoint chains agree with plain lists") {
    std::mt19937 random(5);
    LazyTable<LoadedEndpoint, EndpointCore> endpoints;
    LazyTable<LoadedDestination, DestinationCore> destinations;
    std::map<uint32_t, std::vector<uint32_t>> model;
    std::map<uint32_t, uint32_t> home;
    destinations.ensureSize(19);
    for (int i = 0; i < 5000; ++i) {
        uint32_t e = random() % 200, d = random() % 20;
        if (auto at = home.find(e); at != home.end()) {
            unlink(endpoints, destinations, e);
            std::erase(model[at->second], e);
            home.erase(at);
        } else {
            link(endpoints, destinations, e, {DestinationIndex(d), ZoneIndex(), KindIndex(), 0, kNone, true, false});
            model[d].push_back(e), home[e] = d;
        }
        if (random() % 10 == 0)
            destinations[d].endpoints = endpointChain(endpoints, destinations.core(d).first);
        if (random() % 10 == 0) destinations.unload(d);
        CHECK(endpointChain(endpoints, destinations.core(d).first) == model[d]);
        if (const auto* whole = destinations.find(d)) CHECK(whole->endpoints == model[d]);
    }
}

TEST_CASE("DeliveryHistory agrees with counting each delivery") {
    std::mt19937 random(6);
    DeliveryHistory history;
    std::vector<Instant> all;
    Instant now = Instant::atMicros(0);
    for (int i = 0; i < 3000; ++i) {
        now = now + Span::millis(random() % 60);
        if (random() % 3 > 0) history.add(now), all.push_back(now);
        for (Span over : {Span::seconds(2), Span::seconds(20)}) {
            auto within = std::count_if(all.begin(), all.end(), [&](Instant at) { return now - at <= over; });
            CHECK(history.rate(now, over) == Approx(static_cast<double>(within) / over.inSeconds()));
        }
    }
}

TEST_CASE("after a minute in which all destinations are overloaded, all new texts are delivered") {
    Simulation sim(settingsFor(256, 0), 300);
    bool full = true;
    sim.resultOf = [&](uint32_t) { return full ? SubmitStatus::overloaded : SubmitStatus::delivered; };
    auto arrive = [&] { sim.text(sim.nextText * 7919 % 300, 0); };
    sim.runFor(Span::seconds(60), arrive);
    long before = sim.ended[SubmitStatus::overloaded];
    // Bound of the wasted submits: all slots once at first, then once in four seconds; the first submit of each text.
    CHECK(sim.retries < 256 + 256 * 60 / 4 + 300);
    CHECK(before < 12000 + sim.retries + 1);
    full = false;
    sim.runFor(Span::seconds(25));
    uint32_t first = sim.nextText;
    sim.runFor(Span::seconds(5), arrive);
    sim.runFor(Span::seconds(3));
    long late = 0;
    for (uint32_t t = first; t < sim.nextText; ++t) late += !sim.rules.rows.at(TextIndex(t)).over;
    CHECK(late == 0);
    CHECK(sim.ended[SubmitStatus::delivered] >= static_cast<long>(sim.nextText - first));
}

TEST_CASE("when a large share of destinations fails, retries stay within what others deliver") {
    Simulation sim(settingsFor(64, 0), 2000);
    sim.resultOf = [](uint32_t d) { return d < 1800 ? SubmitStatus::unreachable : SubmitStatus::delivered; };
    sim.runFor(Span::seconds(20), [&] {
        sim.text(sim.nextText * 7919 % 2000, 0), sim.text(sim.nextText * 104729 % 2000, 0);
    });
    long delivered = sim.ended[SubmitStatus::delivered];
    CHECK(delivered > 700);
    CHECK(sim.retries < delivered + 64 + 64 * 20 / 4 + 64);
    // The healthy destinations lose nothing by it.
    long waits = 0;
    for (const auto& [ix, row] : sim.rules.rows) {
        waits += row.arrival.destination.value >= 1800 && !row.over &&
                 sim.now - (row.arrival.validUntil - Span::seconds(20)) > Span::seconds(1);
    }
    CHECK(waits == 0);
}

TEST_CASE("with 20,000 texts for one hung destination, all others are delivered and its backlog is bounded") {
    Simulation sim(settingsFor(32, 4000), 50);
    sim.resultOf = [](uint32_t d) { return d == 0 ? SubmitStatus::timeout : SubmitStatus::delivered; };
    uint32_t n = 0;
    sim.runFor(Span::seconds(10), [&] {
        for (int i = 0; i < 10; ++i) sim.text(0, 0);
        sim.text(1 + n++ % 49, 0);
    });
    sim.runFor(Span::seconds(1));
    long held = 0, otherTexts = 0;
    for (const auto& [ix, row] : sim.rules.rows) {
        if (row.over) continue;
        (row.arrival.destination.value == 0 ? held : otherTexts) += 1;
    }
    CHECK(otherTexts == 0);
    CHECK(held <= 2000 + 32);  // half of the store
    CHECK(sim.nackedOf[0] > 17000);
    CHECK(sim.nacked == sim.nackedOf[0]);
}

TEST_CASE("5,000 idle destinations that get texts at once are all served, none above its initial limit") {
    Simulation sim(settingsFor(256, 0), 5000);
    sim.runFor(Span::seconds(1), [&] { sim.text(sim.nextText * 7919 % 5000, 0); });
    sim.runFor(Span::seconds(90));  // all records are unloaded
    sim.inFlightOf.clear(), sim.maxInFlight = 0;
    uint32_t first = sim.nextText;
    for (uint32_t d = 0; d < 5000; ++d) sim.text(d, 0), sim.text(d, 0);
    sim.runFor(Span::seconds(8));
    long open = 0;
    for (uint32_t t = first; t < sim.nextText; ++t) open += !sim.rules.rows.at(TextIndex(t)).over;
    CHECK(open == 0);
    CHECK(sim.maxInFlight <= 2);
}

TEST_CASE("a requested wait and an outage outlive the unloading of a destination, but not its removal") {
    Simulation sim(settingsFor(64, 0), 4);
    SubmitStatus end = SubmitStatus::unreachable;
    sim.resultOf = [&](uint32_t d) { return d == 1 ? end : SubmitStatus::delivered; };
    // Destination 0 asks for a wait of 150 s, 1 is down, 2 and 3 are healthy.
    sim.text(0, 0);
    sim.pull();
    REQUIRE(sim.submits.size() == 1);
    sim.end(sim.submits[0], SubmitStatus::overloaded, Span::seconds(150));
    sim.runFor(Span::seconds(4), [&] { sim.text(1, 0), sim.text(2, 0); });
    sim.runFor(Span::seconds(110));  // longer than a text is valid, and long enough to be unloaded
    sim.ended.clear();
    for (uint32_t d = 0; d < 3; ++d) {
        for (int i = 0; i < 10; ++i) sim.text(d, 0);
    }
    sim.pull();
    std::map<uint32_t, int> sent;
    for (const Submit& s : sim.submits) ++sent[s.endpoint.value];
    CHECK(sent[0] == 0);  // the rules model would fail as well
    CHECK(sent[1] <= 1);
    CHECK(sent[2] > 1);
    for (const Submit& s : sim.submits) sim.end(s, SubmitStatus::delivered);
    // Its endpoint and its name are removed, and the index is reused.
    sim.runFor(Span::seconds(21));
    sim.list({{EndpointIndex(1), DestinationIndex(1), ZoneIndex(0u), KindIndex(0u), ListState::removed, 0}});
    sim.sender->onDestinationRemoved(sim.now, DestinationIndex(1));
    sim.list({{EndpointIndex(1), DestinationIndex(1), ZoneIndex(0u), KindIndex(0u), ListState::active, 0}});
    for (int i = 0; i < 10; ++i) sim.text(1, 0);
    sim.pull();
    CHECK(sim.submits.size() > 1);
}

TEST_CASE("a clock that jumps between two rounds breaks no rule and stalls nothing") {
    Simulation sim(settingsFor(64, 500), 100);
    sim.resultOf = [&](uint32_t d) { return d % 5 == 0 ? SubmitStatus::overloaded : SubmitStatus::delivered; };
    for (int i = 0; i < 12; ++i) {
        sim.runFor(Span::seconds(1), [&] { sim.text(sim.nextText * 31 % 100, 0); });
        sim.now = sim.now + Span::seconds(i % 3 == 0 ? 7 : 1);
    }
    uint32_t first = sim.nextText;
    for (uint32_t d = 1; d < 100; d += 5) sim.text(d, 0);
    sim.runFor(Span::seconds(1));
    long open = 0;
    for (uint32_t t = first; t < sim.nextText; ++t) open += !sim.rules.rows.at(TextIndex(t)).over;
    CHECK(open == 0);
}
