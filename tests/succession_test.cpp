// One process of a sender takes over from another: who owns and who may submit, against a plain model with deaths
// at every step; and the program itself, replaced and killed.
#include <fcntl.h>

#include <set>

#include "src/succession/succession.hpp"
#include "tests/helpers.hpp"

using namespace petrelpond;
using namespace petrelpond::succession;

TEST_CASE("succession: a start goes on in the newest generation, or makes one beside those that are held") {
    Start alone = startOf({{0, false}, {2, false}}, true);
    CHECK(alone.own == 2);
    CHECK_FALSE(alone.makes);
    CHECK(alone.takes == std::vector<Number>{0});
    Start beside = startOf({{0, true}, {1, false}}, true);
    CHECK(beside.own == 2);
    CHECK(beside.makes);
    CHECK(beside.takes == std::vector<Number>{1});
    CHECK(beside.awaits == std::vector<Number>{0});
    CHECK(startOf({{0, true}}, false).refused);
}

TEST_CASE("succession: lines come back as they were put; one that was cut off is odd") {
    std::string line = learnedLine("e-1", {0.1, -1e6, 3});
    Line read = readLine(std::string_view(line).substr(0, line.size() - 1));
    CHECK(read.what == Line::What::learned);
    CHECK(read.endpoint == "e-1");
    CHECK(read.numbers == std::vector<double>{0.1, -1e6, 3});
    for (size_t n = 0; n + 1 < line.size(); ++n) CHECK(readLine(line.substr(0, n)).what == Line::What::odd);
    CHECK(readLine("handed .").what == Line::What::handed);
    CHECK(readLine("learned e nan .").what == Line::What::odd);
    std::mt19937 chance(4);
    for (int i = 0; i < 20000; ++i) {
        std::string odd(chance() % 200, ' ');
        for (char& c : odd) c = static_cast<char>(chance() % 3 == 0 ? ' ' : chance());
        readLine(odd);
    }
}

// Processes come, are told to leave, die at any step. A plain model: a generation is whose lock it is; whoever
// neither handed over nor died may start calls.
TEST_CASE("succession: of all processes one at most may start calls, and no generation is left to nobody") {
    struct Process {
        Number own;
        Heir heir{{}};
        std::set<Number> holds;
        std::optional<Leaver> leaver;
        bool handed = false, alive = true, accepts = true;
        int calls = 0;
    };
    for (uint32_t seed = 1; seed <= 300; ++seed) {
        std::mt19937 chance(seed);
        std::vector<Process> all;
        std::set<Number> exist = {0};
        Instant now = Instant::atMicros(0);
        auto holder = [&](Number n) -> Process* {
            for (auto& p : all) {
                if (p.alive && p.holds.count(n) > 0) return &p;
            }
            return nullptr;
        };
        for (int step = 0; step < 200; ++step) {
            now = now + Span::millis(chance() % 300);
            if (chance() % 12 == 0) {
                std::vector<Found> found;
                for (Number n : exist) found.push_back({n, holder(n) != nullptr});
                Start start = startOf(found, true);
                Process p;
                p.own = start.own, p.heir = Heir(start.awaits), p.holds = {start.takes.begin(), start.takes.end()};
                CHECK(holder(start.own) == nullptr);
                p.holds.insert(start.own), exist.insert(start.own);
                // Everybody who is told to leave has a successor from then on.
                for (auto& old : all) {
                    if (old.alive && !old.leaver && chance() % 3 > 0) old.leaver.emplace(now);
                }
                all.push_back(p);
            }
            for (auto& p : all) {
                if (!p.alive) continue;
                if (chance() % 40 == 0) p.alive = false;  // killed
                for (Number n : std::set<Number>(exist)) {
                    if (!p.alive || !p.heir.awaits(n)) continue;
                    Process* other = holder(n);
                    if (!other) p.heir.gone(n), p.holds.insert(n);
                    if (other && other->handed) p.heir.handed(n);
                }
                bool starts = p.alive && p.heir.serves() && !p.handed;
                if (starts) p.calls = static_cast<int>(chance() % 3);
                if (!p.alive || !p.leaver) continue;
                Leaver::Sight sight{p.accepts, !p.handed && chance() % 2 == 0, p.calls, static_cast<int>(chance() % 2)};
                p.accepts = false;
                Leaver::Step did = p.leaver->next(now, sight);
                if (did == Leaver::Step::handOver) p.handed = true;
                if (did == Leaver::Step::end) p.alive = false;
                if (p.handed && chance() % 2 == 0) p.calls = 0;
            }
            int starting = 0;
            std::map<Number, int> owners;
            for (auto& p : all) {
                if (!p.alive) continue;
                starting += p.heir.serves() && !p.handed;
                for (Number n : p.holds) ++owners[n];
            }
            CHECK(starting <= 1);
            for (auto& [n, count] : owners) CHECK(count == 1);
            // One that has all that was before it is in turn with all of it.
            for (auto& p : all) {
                if (p.alive && p.heir.complete()) CHECK(p.heir.inTurn(p.own));
            }
        }
    }
}

TEST_CASE("succession: told to leave it waits for what is out, and no longer than it may") {
    Leaver leaver(Instant::atMicros(0));
    auto at = [](int ms) { return Instant::atMicros(ms * 1000); };
    CHECK(leaver.next(at(1), {true, true, 2, 1}) == Leaver::Step::wait);
    CHECK(leaver.next(at(2), {false, true, 2, 1}) == Leaver::Step::wait);
    CHECK(leaver.next(at(3), {false, false, 2, 1}) == Leaver::Step::handOver);
    CHECK(leaver.next(at(4), {false, false, 2, 0}) == Leaver::Step::wait);
    CHECK(leaver.next(at(5), {false, false, 0, 1}) == Leaver::Step::wait);
    CHECK(leaver.next(at(6), {false, false, 0, 0}) == Leaver::Step::end);
    Leaver slow(Instant::atMicros(0));
    slow.next(at(1), {false, false, 2, 1});
    CHECK(slow.next(at(3300), {false, false, 1, 0}) == Leaver::Step::wait);
    CHECK(slow.next(at(3400), {false, false, 1, 0}) == Leaver::Step::end);
}

namespace {

// The platform holds the clients' listener, as descriptor 77 of every process that it starts.
struct Held {
    Socket listener;
    std::string address;
    Held() {
        address = freeAddress();
        std::string problem;
        listener = listenAt(*Address::parse(address), problem);
    }
    void give(Program& one, const Platform& platform) const {
        one.stop(SIGKILL);
        one.address = address, one.inherits = listener.descriptor();
        one.configure(platform.peer.address);
        one.start();
        REQUIRE(one.up);
    }
};

}  // namespace

TEST_CASE("succession: replaced under load, killed at any moment, no text is lost, no once-only one doubled") {
    for (int round = 0; round < 4; ++round) {
        Platform platform;
        Peer partner([](const std::string&) { return pause(60), ok(); });
        Held held;
        Program one(platform.peer.address, member("e1", partner.address, 7), 3, 1024, freeAddress());
        held.give(one, platform);
        using Clock = std::chrono::steady_clock;
        struct Spell {
            Clock::time_point from, to;
            int status = 0;  // of a text handed in
        };
        std::atomic<bool> stop = false;
        std::set<std::string> taken;
        std::vector<Spell> notTaken, kills;
        std::thread program([&] {
            for (int i = 0; !stop; ++i, pause(8)) {
                std::string id = "r" + std::to_string(round) + "-" + std::to_string(i);
                const auto from = Clock::now();
                const int status = one.hand(id, i % 3 == 0 ? "order" : "status");
                if (status == 202)
                    taken.insert(id);
                else
                    notTaken.push_back({from, Clock::now(), status});
            }
        });
        for (int upgrade = 0; upgrade < 3; ++upgrade) {
            pause(120);
            pid_t old = one.beside(freeAddress());
            CHECK(eventually([&] { return one.order("status\n").rfind("SUCCESS", 0) == 0; }));
            ::kill(old, SIGTERM);
            pause(upgrade * 25 + round * 7);
            if (upgrade != 1 || round % 2 == 1) {
                const auto from = Clock::now();
                ::kill(old, SIGKILL);
                kills.push_back({from, Clock::now()});
            }
            int status = 0;
            waitpid(old, &status, 0);
        }
        pause(300);
        stop = true;
        program.join();
        // Nobody was turned away at the door; what a kill cut off hears that its connection ended, and nothing else.
        for (const Spell& each : notTaken) {
            CHECK(each.status == 0);
            CHECK(std::count_if(kills.begin(), kills.end(), [&](const Spell& kill) {
                      return each.from <= kill.to && kill.from <= each.to;
                  }) == 1);
        }
        CHECK(notTaken.size() <= kills.size());
        auto ends = [&](const std::string& id) {
            return partner.count("Request-Id: " + id + "\r") + platform.peer.count("\"" + id + "\"");
        };
        for (const std::string& id : taken) {
            CHECK(eventually([&] { return ends(id) >= 1; }));
            // A once-only text whose call was cut by the kill is given up, not sent again.
            if (std::stoi(id.substr(id.find('-') + 1)) % 3 == 0) CHECK(partner.count("Request-Id: " + id + "\r") <= 1);
        }
    }
}

TEST_CASE("succession: a told wait and a ban reach the process that takes over") {
    Platform platform;
    std::atomic<bool> full = true;
    Peer partner([&](const std::string&) {
        return full ? ok("", "Wait-Ms: 1500\r\n", "429 No") : ok();
    });
    Peer other([](const std::string&) { return ok(); });
    Held held;
    Program one(platform.peer.address, member("e1", partner.address, 7) + "," + member("e2", other.address, 8), 3,
                1024, freeAddress());
    held.give(one, platform);
    CHECK(one.order("maint-on e2\n").rfind("SUCCESS", 0) == 0);
    CHECK(one.hand("w1") == 202);
    CHECK(one.hand("x1", "status", 8) == 202);
    CHECK(eventually([&] { return partner.requests().size() == 1; }));
    auto told = std::chrono::steady_clock::now();
    full = false;
    pid_t old = one.beside(freeAddress());
    CHECK(eventually([&] { return one.order("status\n").rfind("SUCCESS", 0) == 0; }));
    ::kill(old, SIGTERM);
    waitpid(old, nullptr, 0);
    CHECK(one.hand("w2") == 202);
    CHECK(eventually([&] { return partner.requests().size() >= 2; }));
    CHECK(std::chrono::steady_clock::now() - told > std::chrono::milliseconds(1400));
    CHECK(eventually([&] { return partner.count("w1") == 2 && partner.count("w2") == 1; }));
    CHECK(other.requests().empty());
    CHECK(one.order("maint-off e2\n").rfind("SUCCESS", 0) == 0);
    CHECK(eventually([&] { return other.count("x1") == 1; }));
}

TEST_CASE("succession: a new process that dies before it serves changes nothing; a bad descriptor is one clear line") {
    Platform platform;
    Peer partner([](const std::string&) { return ok(); });
    Held held;
    Program one(platform.peer.address, member("e1", partner.address, 7), 3, 1024, freeAddress());
    held.give(one, platform);
    std::string ops = one.ops;
    pid_t old = one.beside(freeAddress());
    pause(30);
    one.stop(SIGKILL);
    one.take(old, ops);
    CHECK(one.hand("d1") == 202);
    CHECK(eventually([&] { return partner.count("d1") == 1; }));
    CHECK(one.stop(SIGTERM) == 0);
    one.settings = {"LB_FD=9999"};
    one.inherits = -1, one.address = freeAddress();
    one.configure(platform.peer.address);
    one.start();
    CHECK(one.up);
    CHECK(one.log().find("LB_FD: descriptor 9999 is no listening socket") != std::string::npos);
}
