// The store against damage, lost power, full disks and its own upkeep.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "bench/old_store.hpp"
#include "src/program/store_tool.hpp"
#include "src/store/old_format.hpp"
#include "src/store/store.hpp"
#include "tests/simulated_disk.hpp"

using namespace petrelpond;
using namespace petrelpond::store;
using Fault = SimulatedDisk::Fault;

namespace {

struct Folder {
    std::string path;
    Folder() {
        char made[] = "/tmp/petrelpond-store-XXXXXX";
        path = mkdtemp(made);
    }
    ~Folder() { std::filesystem::remove_all(path); }
    uintmax_t bytes() const {
        uintmax_t sum = 0;
        std::error_code gone;  // upkeep removes files meanwhile
        for (auto& f : std::filesystem::directory_iterator(path)) {
            uintmax_t bytes = f.file_size(gone);
            if (!gone) sum += bytes;
        }
        return sum;
    }
};

petrelpond::Store::Text text(const std::string& body = "body") {
    petrelpond::Store::Text t;
    t.destination = "7", t.product = "order", t.validUntil = 99, t.takenAt = 11;
    t.body = std::make_shared<const std::string>(body);
    return t;
}
petrelpond::Store::Options options(Durability durability, int64_t most = 200000) {
    petrelpond::Store::Options o;
    o.most = most, o.durability = durability, o.beside = false, o.seed = 5;
    return o;
}

// What a text comes to, in words, so that two of them can be held against each other.
std::string words(petrelpond::Store& s, const std::string& id) {
    auto found = s.texts().find(id);
    if (found == s.texts().end()) return "none";
    const auto& t = found->second;
    auto body = s.body(id);
    std::ostringstream out;
    out << t.destination << t.product << t.submits << t.out << t.mayHaveRun << ' ' << t.startedAt << ' '
        << t.firstMayHaveRun << t.startedIn << t.ranIn << static_cast<int>(t.final) << ' ' << t.pause << ' '
        << (body ? *body : "no body");
    return out.str();
}
using Books = std::map<std::string, std::string>;
Books books(petrelpond::Store& s) {
    Books all;
    std::vector<std::string> ids;
    for (auto& [id, t] : s.texts()) ids.push_back(id);
    for (auto& id : ids) all[id] = words(s, id);
    return all;
}

void differing(const Books& wanted, const Books& found) {
    for (auto& [id, w] : wanted) {
        auto f = found.find(id);
        if (f == found.end() || f->second != w) {
            UNSCOPED_INFO("wanted " << id << ": " << w.substr(0, 60));
            UNSCOPED_INFO("found  " << id << ": " << (f == found.end() ? "none" : f->second.substr(0, 60)));
        }
    }
    for (auto& [id, w] : found) {
        if (wanted.count(id) == 0) UNSCOPED_INFO("back again " << id << ": " << w.substr(0, 60));
    }
}

// Drawn steps of a sender's life; `before` and `after` are what a crash within the last one may leave.
struct Life {
    std::mt19937 chance;
    Books before, after;
    std::vector<std::string> held;
    int next = 0;
    explicit Life(uint32_t seed) : chance(seed) {}
    void step(petrelpond::Store& s, int upkeepEach = 12) {
        before = after;
        unsigned what = chance() % 10;
        std::string id = held.empty() ? "" : held[chance() % held.size()];
        auto follow = [&](auto act) {
            // What it will come to is reckoned on a store of its own that never fails.
            SimulatedDisk calm;
            petrelpond::Store twin(calm.disk(), options(Durability::written));
            auto t = s.texts().at(id);
            t.body = s.body(id);
            bool copied = twin.taken(id, t);
            act(twin);
            after[id] = words(twin, id);
            if (after[id] == "none" || !copied) after.erase(id);
            return act(s);
        };
        if (held.empty() || (what < 4 && held.size() < 12)) {
            id = "t" + std::to_string(next++);
            std::string body(20 + chance() % 700, static_cast<char>('a' + chance() % 26));
            auto fresh = text(body);
            after[id] = "7order000 0 0" + std::string("0 0 ") + body;
            if (!s.taken(id, fresh)) {
                after.erase(id);
            } else {
                held.push_back(id);
            }
        } else if (what < 6) {
            auto was = after[id];
            if (!follow([&](auto& at) { return at.begun(id, 50 + next, "east"); })) after[id] = was;
        } else if (what < 8) {
            bool may = chance() % 2;
            follow([&](auto& at) { return at.ended(id, may); });
        } else if (what == 8) {
            follow([&](auto& at) { return at.final(id, petrelpond::Store::Final::nacked, 7); });
        } else {
            std::erase(held, id);
            after.erase(id);
            s.over(id);
        }
        if (chance() % static_cast<unsigned>(upkeepEach) == 0) s.upkeepNow(true);
    }
};

// Lives that are cut off at each of their disk's steps in turn; what is left must be what was acknowledged.
void atEachStep(Fault fault, Durability durability, uint32_t seed, int lives, bool powerGoes) {
    long steps = 0;
    {
        SimulatedDisk disk;
        petrelpond::Store s(disk.disk(), options(durability));
        Life life(seed);
        for (int i = 0; i < lives; ++i) life.step(s);
        steps = disk.steps();
    }
    REQUIRE(steps > lives / 2);
    for (long at = 0; at < steps; ++at) {
        SimulatedDisk disk;
        std::mt19937 chance(static_cast<uint32_t>(at) * 7 + seed);
        Life life(seed);
        disk.strike(fault, at);
        bool lost = false, worked = true;
        Books last;
        try {
            petrelpond::Store s(disk.disk(), options(durability));
            if (!s.works()) continue;
            for (int i = 0; i < lives && s.works(); ++i) life.step(s);
            if (fault != Fault::power) {
                disk.mend();
                s.payOwed();
                CHECK((s.owed() == 0 || !s.works()));
            }
            last = books(s), worked = s.works();
        } catch (const PowerLost&) {
            lost = true;
        }
        powerGoes ? disk.restart(chance) : disk.killed();
        petrelpond::Store again(disk.disk(), options(durability));
        INFO("step " << at << " of " << steps);
        REQUIRE(again.works());
        Books now = books(again);
        if (lost) {
            bool kept = now == life.before || now == life.after;
            if (!kept) differing(life.after, now);
            REQUIRE(kept);
            CHECK(again.opening().suspect == 0);
        } else if (worked) {
            bool same = now == last;
            if (!same) differing(last, now);
            REQUIRE(same);
        }
    }
}

void fill(petrelpond::Store& s, int from, int to, size_t body) {
    for (int i = from; i < to; ++i) {
        REQUIRE(s.taken("k" + std::to_string(i), text(std::string(body, static_cast<char>('a' + i % 26)))));
    }
}

}  // namespace

TEST_CASE("store: what was written comes back, over many starts, without its torn tail") {
    Folder folder;
    {
        petrelpond::Store s(folder.path, 1000000);
        REQUIRE(s.taken("a", text()));
        REQUIRE(s.taken("b", text("second")));
        REQUIRE(s.taken("c", text()));
        REQUIRE(s.begun("a", 50, "east"));
        REQUIRE(s.ended("a", false));
        REQUIRE(s.begun("a", 60, "west"));
        REQUIRE(s.begun("b", 70, "east"));
        REQUIRE(s.ended("b", true));
        REQUIRE(s.final("b", petrelpond::Store::Final::nacked, 1234));
        REQUIRE(s.over("c"));
        petrelpond::Store second(folder.path, 1000000);
        CHECK_FALSE(second.works());  // one process at a time
    }
    std::ofstream(folder.path + "/log-00000001", std::ios::app) << "half";
    for (int i = 0; i < 3; ++i) {
        petrelpond::Store s(folder.path, 1000000);
        REQUIRE(s.texts().size() == 2);
        const auto &a = s.texts().at("a"), &b = s.texts().at("b");
        CHECK((a.out && !a.mayHaveRun && a.submits == 2 && a.startedAt == 60 && a.startedIn == "west"));
        CHECK((b.mayHaveRun && b.firstMayHaveRun == 70 && b.ranIn == "east" && b.pause == 1234));
        CHECK((b.final == petrelpond::Store::Final::nacked && a.serial < b.serial && a.takenAt == 11));
        CHECK((*s.body("b") == "second" && *s.body("a") == "body"));
        CHECK((s.damages() == 0 && s.opening().cut == 4 && s.opening().suspect == 0));
    }
}

TEST_CASE("store: upkeep keeps to the bound beside the appends, and what is held can always end") {
    Folder folder;
    int held = 0;
    {
        petrelpond::Store s(folder.path, 100000);
        REQUIRE(s.taken("keep", text()));
        REQUIRE(s.begun("keep", 5, "east"));
        int refused = 0;
        for (int i = 0; i < 400; ++i) {
            std::string id = std::to_string(i);
            // Where upkeep is behind a text is refused, never written past the bound.
            while (!s.roomFor(id.size(), 2000) || !s.taken(id, text(std::string(2000, 'x')))) {
                REQUIRE(++refused < 5000);
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            REQUIRE(s.over(id));
            REQUIRE(folder.bytes() < 100000);
        }
        CHECK(s.compactions() > 5);
        CHECK(s.texts().at("keep").out);
        auto until = std::chrono::steady_clock::now() + std::chrono::seconds(3);
        while (held < 1000 && std::chrono::steady_clock::now() < until) {
            if (s.roomFor(3, 2000) && s.taken("h" + std::to_string(held), text(std::string(2000, 'x')))) ++held;
            if (held > 13) break;
        }
        CHECK(held > 5);
        CHECK(held < 20);
        for (int i = 0; i < 4000; ++i) s.ended("keep", true);
        for (int i = 0; i < 2000 && s.owed() > 0; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            s.payOwed();
        }
        CHECK(s.owed() == 0);
        CHECK(folder.bytes() < 100000);
    }
    petrelpond::Store again(folder.path, 100000);
    CHECK(again.texts().size() == static_cast<size_t>(held) + 1);
    CHECK(again.texts().at("keep").mayHaveRun);
    CHECK_FALSE(petrelpond::Store(folder.path + "/none", 100000).roomFor(1, 1));
}

TEST_CASE("store: killed at each step, all that it wrote is there") {
    atEachStep(Fault::power, Durability::written, GENERATE(1u, 2u, 3u), 60, false);
}
TEST_CASE("store: power lost at each step, all that was synced is there, in order or out of it") {
    atEachStep(Fault::power, Durability::each, GENERATE(11u, 12u, 13u, 14u), 60, true);
}
TEST_CASE("store: a disk that is full, writes short or breaks at each step loses nothing that was told") {
    Fault fault = GENERATE(Fault::full, Fault::shortWrite, Fault::broken);
    atEachStep(fault, Durability::written, 21, 50, false);
}

TEST_CASE("store: a failed sync is final") {
    SimulatedDisk disk;
    petrelpond::Store s(disk.disk(), options(Durability::each));
    REQUIRE(s.taken("a", text()));
    disk.strike(Fault::noSync, 1);  // the sync after the next append
    CHECK_FALSE(s.taken("b", text()));
    CHECK_FALSE(s.works());
    disk.mend();
    CHECK_FALSE(s.begun("a", 1, "east"));
    CHECK_FALSE(s.roomFor(1, 1));
}

TEST_CASE("store: power lost while it recovers from lost power") {
    for (uint32_t seed = 0; seed < 12; ++seed) {
        SimulatedDisk disk;
        std::mt19937 chance(seed);
        Life life(seed + 40);
        disk.strike(Fault::power, 90 + seed * 3);
        try {
            petrelpond::Store s(disk.disk(), options(Durability::each));
            while (true) life.step(s);
        } catch (const PowerLost&) {
        }
        for (long at = 0; at < 6; ++at) {
            disk.restart(chance);
            disk.strike(Fault::power, at);
            try {
                petrelpond::Store s(disk.disk(), options(Durability::each));
                break;
            } catch (const PowerLost&) {
            }
        }
        disk.restart(chance);
        petrelpond::Store s(disk.disk(), options(Durability::each));
        Books now = books(s);
        INFO("seed " << seed);
        bool kept = now == life.before || now == life.after;
        if (!kept) differing(life.after, now);
        CHECK(kept);
    }
}

TEST_CASE("store: each byte spoilt and each prefix cut is seen; nothing is lost without a word") {
    SimulatedDisk disk;
    Books whole;
    {
        petrelpond::Store s(disk.disk(), options(Durability::written, 100000));
        fill(s, 0, 8, 300);
        for (int i = 0; i < 6; ++i) REQUIRE(s.over("k" + std::to_string(i)));
        REQUIRE(s.begun("k7", 4, "east"));
        fill(s, 8, 14, 700);  // seals the first
        REQUIRE(s.upkeepNow(true));
        fill(s, 20, 23, 40);
        REQUIRE(s.ended("k7", true));
        REQUIRE(s.begun("k20", 9, "west"));
        REQUIRE(s.over("k21"));
        whole = books(s);
    }
    auto saved = disk.contents();
    REQUIRE(saved.count("open-00000001") + saved.count("open-00000002") == 1);
    long seen = 0, same = 0;
    for (auto& [name, bytes] : saved) {
        for (size_t at = 0; at < bytes.size(); ++at) {
            disk.replace(saved);
            disk.flip(name, at, 0x41);
            petrelpond::Store s(disk.disk(), options(Durability::written, 100000));
            INFO(name << " at " << at);
            // The version is one of them: with its check sum spoilt too it is a spoilt header, no later format.
            REQUIRE(s.works());
            Books now = books(s);
            bool told = s.damages() > 0 || s.opening().cut > 0;
            now == whole ? ++same : ++seen;
            REQUIRE((now == whole || told));
            for (auto& [id, w] : now) REQUIRE((whole.count(id) > 0 || told));
        }
        for (size_t cut = 0; cut < bytes.size(); cut += name.starts_with("log") ? 1 : 7) {
            auto shorter = saved;
            shorter[name] = bytes.substr(0, cut);
            disk.replace(shorter);
            petrelpond::Store s(disk.disk(), options(Durability::written, 100000));
            REQUIRE(s.works());
            INFO(name << " cut at " << cut);
            bool newest = name == std::prev(saved.lower_bound("open"))->first;
            bool told = s.damages() > 0 || s.opening().cut > 0;
            // Whole records off the newest segment's end leave nothing that could tell.
            REQUIRE((books(s) == whole || told || newest));
        }
    }
    CHECK(seen > 500);
    CHECK(same > 0);
}

TEST_CASE("store: behind spoilt bytes all is read; texts whose records may lie in them may have run") {
    SimulatedDisk disk;
    {
        petrelpond::Store s(disk.disk(), options(Durability::written, 4000000));
        fill(s, 0, 300, 100);
        REQUIRE(s.begun("k5", 4, "east"));
        REQUIRE(s.ended("k5", false));
        REQUIRE(s.begun("k6", 5, "east"));  // this record is spoilt below
        fill(s, 300, 310, 100);
        REQUIRE(s.begun("k7", 6, "east"));
        REQUIRE(s.ended("k7", false));
    }
    std::string name = "log-00000001", bytes = disk.contents().at(name);
    HeaderRead header = readHeader(*disk.disk()->open(name));
    auto file = disk.disk()->open(name);
    Reader reader(*file, header.header);
    int64_t at = 0;
    while (auto r = reader.next()) {
        Said said = read(r->payload);
        if (said.what == Said::What::state && said.state.startedAt == 5) at = r->offset;
    }
    REQUIRE(at > 0);
    disk.flip(name, static_cast<size_t>(at) + kRecordHead + 3, 1);
    for (int i = 0; i < 2; ++i) {
        petrelpond::Store s(disk.disk(), options(Durability::written, 4000000));
        REQUIRE(s.texts().size() == 310);
        CHECK(s.damages() == 1);
        CHECK(s.texts().at("k6").mayHaveRun);
        CHECK(s.texts().at("k5").mayHaveRun);
        CHECK_FALSE(s.texts().at("k7").mayHaveRun);   // a later record says all of it
        CHECK_FALSE(s.texts().at("k305").mayHaveRun);  // taken after it
        CHECK(s.texts().at("k6").firstMayHaveRun <= 11);
        if (i == 0) CHECK(s.opening().suspect == 299);
        if (i == 1) CHECK(s.opening().suspect == 0);  // the first start has written down what it took them for
        CHECK(disk.contents().count("damaged-" + name + "-" + std::to_string(at)) == 1);
    }
}

TEST_CASE("store: a record forged in a body is not taken for one behind spoilt bytes") {
    SimulatedDisk disk;
    {
        petrelpond::Store s(disk.disk(), options(Durability::written));
        // The bytes of a record of another segment, whose salt the forger knows.
        Header other{Sort::log, 1, 1, 77, 1};
        REQUIRE(s.taken("a", text("x" + encodeRecord(other, 9, overPayload(2)) + "x")));
        REQUIRE(s.taken("b", text()));
    }
    disk.flip("log-00000001", kHeaderBytes + 30, 1);
    petrelpond::Store s(disk.disk(), options(Durability::written));
    CHECK(s.texts().count("b") == 1);
    CHECK(s.texts().size() == 1);
    CHECK(s.damages() == 1);
}

TEST_CASE("store: any bytes at all are read to an end, in a folder or a payload") {
    std::mt19937 chance(9);
    Header header{Sort::log, 1, 1, 99, 1};
    std::vector<std::string> known = {takenPayload({1, "id", "7", "p", "m", "k", 5, 6, {}, {}}, "body"),
                                      statePayload(1, {}), overPayload(300), listPayloads({1, 5, 9})[0],
                                      entryPayload({}), endPayload(1, 2, 3)};
    long understood = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string payload = known[chance() % known.size()];
        for (unsigned j = 0; j <= chance() % 3; ++j) payload[chance() % payload.size()] = static_cast<char>(chance());
        if (chance() % 4 == 0) payload.resize(chance() % (payload.size() + 1));
        understood += read(payload).what != Said::What::odd;
    }
    CHECK((understood > 1000 && understood < 19000));
    for (int i = 0; i < 60; ++i) {
        std::map<std::string, std::string> files;
        for (const char* name : {"log-00000003", "open-00000002", "kept-00000002", "log-00000001", "texts"}) {
            std::string bytes = chance() % 3 > 0 ? encode(header) : "";
            uint64_t sequence = chance() % 3;
            for (unsigned j = 0; j < chance() % 40; ++j) {
                if (chance() % 3 == 0) bytes += std::string(chance() % 50, static_cast<char>(chance()));
                bytes += encodeRecord(header, sequence += chance() % 3, known[chance() % known.size()]);
            }
            files[name] = bytes;
        }
        SimulatedDisk disk;
        disk.replace(files);
        petrelpond::Store s(disk.disk(), options(Durability::written));
        books(s);
        s.upkeepNow(true);
        SimulatedDisk again;
        again.replace(disk.contents());
        petrelpond::Store second(again.disk(), options(Durability::written));
        CHECK(second.works() == s.works());
        CHECK((!s.works() || second.texts().size() == s.texts().size()));
    }
}

TEST_CASE("store: a later format is refused and left as it is") {
    SimulatedDisk disk;
    { petrelpond::Store(disk.disk(), options(Durability::written)).payOwed(); }
    auto all = disk.contents();
    std::string& bytes = all.at("log-00000001");
    Header h = readHeader(*disk.disk()->open("log-00000001")).header;
    std::string next = encodeAs(9, h);
    bytes.replace(0, next.size(), next);
    disk.replace(all);
    std::string said;
    auto o = options(Durability::written);
    o.say = [&](bool, const std::string& w) { said += w; };
    petrelpond::Store s(disk.disk(), o);
    CHECK_FALSE(s.works());
    CHECK(said.find("log-00000001 is of format 9") != std::string::npos);
    CHECK(disk.contents() == all);
}

TEST_CASE("store: a body that can't be read any more is told, its text's records stand") {
    SimulatedDisk disk;
    {
        petrelpond::Store s(disk.disk(), options(Durability::written));
        fill(s, 0, 30, 600);
        REQUIRE(s.upkeepNow(true));
    }
    // A snapshot covers the first log, so a start does not read its bodies.
    disk.flip("log-00000001", kHeaderBytes + 200, 1);
    petrelpond::Store s(disk.disk(), options(Durability::written));
    CHECK(s.texts().size() == 30);
    CHECK(s.damages() == 0);
    CHECK_FALSE(s.body("k0"));
    CHECK(s.damages() == 1);
    CHECK(*s.body("k1") == std::string(600, 'b'));
}

TEST_CASE("store: a full disk leaves room for the ends of what is held, and service comes back by itself") {
    SimulatedDisk disk;
    auto o = options(Durability::written, 8000000);
    o.reserve = true;
    petrelpond::Store s(disk.disk(), o);
    int held = 0;
    disk.most = 900000;
    for (; s.roomFor(4, 3000) && held < 1000; ++held) {
        if (!s.taken("k" + std::to_string(held), text(std::string(3000, 'x')))) break;
    }
    REQUIRE(held > 50);
    CHECK(held < 300);
    for (int i = 0; i < held; ++i) {
        std::string id = "k" + std::to_string(i);
        REQUIRE(s.begun(id, 5, "east"));
        REQUIRE(s.ended(id, true));
        REQUIRE(s.final(id, petrelpond::Store::Final::undeliverable, 0));
    }
    CHECK(s.owed() == 0);
    CHECK_FALSE(s.roomFor(4, 3000));
    disk.most = 9000000;
    s.upkeepNow(true);  // as the thread beside does
    CHECK(s.roomFor(4, 3000));
    petrelpond::Store again(disk.disk(), o);
    CHECK(again.texts().size() == static_cast<size_t>(held));
    CHECK(again.texts().at("k0").final == petrelpond::Store::Final::undeliverable);
}

TEST_CASE("store: synced in groups, a record is safe only once it is synced") {
    Folder folder;
    std::string problem;
    petrelpond::Store::Options o;
    o.most = 1000000, o.durability = Durability::grouped, o.gatherFor = Span::millis(20);
    std::atomic<int> told = 0;
    o.onSafe = [&] { ++told; };
    petrelpond::Store s(realDisk(folder.path, true, problem), std::move(o));
    auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < 50; ++i) REQUIRE(s.taken(std::to_string(i), text()));
    uint64_t last = s.last();
    CHECK(s.safe() < last);
    while (s.safe() < last && std::chrono::steady_clock::now() - began < std::chrono::seconds(5)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(s.safe() == last);
    CHECK(std::chrono::steady_clock::now() - began >= std::chrono::milliseconds(19));
    CHECK(told <= 3);  // fifty records, few syncs
}

TEST_CASE("store: a folder of the earlier format is taken over, whole, whenever power is lost") {
    Folder folder;
    {
        OldStore old(folder.path, 1000000);
        for (int i = 0; i < 5; ++i) {
            OldStore::Text t;
            t.destination = "7", t.product = "order", t.validUntil = 99, t.mark = "m", t.key = "k";
            t.body = std::make_shared<const std::string>("body " + std::to_string(i));
            REQUIRE(old.taken("o" + std::to_string(i), t));
        }
        REQUIRE(old.begun("o1", 50, "east"));
        REQUIRE(old.ended("o1", true));
        REQUIRE(old.begun("o2", 60, "west"));
        REQUIRE(old.over("o3"));
        REQUIRE(old.final("o4", OldStore::Final::nacked, 5));
    }
    std::string bytes = (std::ostringstream() << std::ifstream(folder.path + "/texts").rdbuf()).str();
    auto right = [](petrelpond::Store& s) {
        REQUIRE(s.texts().size() == 4);
        CHECK((s.texts().at("o1").mayHaveRun && s.texts().at("o1").firstMayHaveRun == 50));
        CHECK((s.texts().at("o2").out && s.texts().at("o2").startedIn == "west"));
        CHECK((s.texts().at("o4").final == petrelpond::Store::Final::nacked && s.texts().at("o4").pause == 5));
        CHECK((*s.body("o0") == "body 0" && s.texts().at("o0").key == "k"));
    };
    for (long at = 0; at < 30; ++at) {
        SimulatedDisk disk;
        disk.replace({{"texts", bytes}});
        std::mt19937 chance(static_cast<uint32_t>(at));
        disk.strike(Fault::power, at);
        bool done = false;
        try {
            petrelpond::Store s(disk.disk(), options(Durability::each));
            done = true;
            right(s);
        } catch (const PowerLost&) {
        }
        disk.restart(chance);
        petrelpond::Store s(disk.disk(), options(Durability::each));
        right(s);
        if (done) CHECK(disk.contents().count("texts") == 0);
    }
    // One spoilt byte near its front takes one text with it, not all that follow.
    std::string spoilt = bytes;
    spoilt[40] = static_cast<char>(spoilt[40] ^ 1);
    SimulatedDisk disk;
    disk.replace({{"texts", spoilt}});
    petrelpond::Store s(disk.disk(), options(Durability::written));
    CHECK(s.texts().size() == 3);
    CHECK(s.damages() == 1);
    CHECK(s.texts().at("o1").submits == 1);
    CHECK(disk.contents().at("damaged-texts") == spoilt);
}

TEST_CASE("store: its tools tell, and end by what they found") {
    Folder folder;
    {
        petrelpond::Store s(folder.path, 1000000);
        fill(s, 0, 40, 900);
        REQUIRE(s.begun("k3", 1, "east"));
        std::ostringstream out, err;
        CHECK(storeTool({"compact", folder.path}, out, err) == 3);  // in use
    }
    auto run = [&](const char* word, std::string& out) {
        std::ostringstream o, e;
        int code = storeTool({word, folder.path}, o, e);
        out = o.str() + e.str();
        return code;
    };
    std::string out;
    CHECK(run("verify", out) == 0);
    CHECK(out.find("40 texts open") != std::string::npos);
    CHECK(run("inspect", out) == 0);
    CHECK(out.find("7\torder\t40\t1\t0\t0\t40\t") != std::string::npos);
    CHECK(run("export", out) == 0);
    CHECK(std::count(out.begin(), out.end(), '\n') == 40);
    CHECK(run("compact", out) == 0);
    CHECK(run("verify", out) == 0);
    CHECK(out.find("40 texts open") != std::string::npos);
    // Spoil a body that a snapshot covers.
    std::string log = folder.path + "/log-00000001";
    std::fstream(log, std::ios::in | std::ios::out).seekp(500).write("\xff\xfe", 2);
    CHECK(run("verify", out) == 1);
    CHECK(out.find("body lost") != std::string::npos);
    CHECK(run("nothing", out) == 2);
    std::ostringstream o, e;
    CHECK(storeTool({"verify", folder.path + "/none"}, o, e) == 2);
}

TEST_CASE("keeper: what is refused first, and which files are emptied") {
    Keeper keeper(1000000);
    CHECK(keeper.admits(Need::text, 700000, 1000));
    CHECK_FALSE(keeper.admits(Need::text, 820000, 1000));
    CHECK(keeper.admits(Need::submit, 820000, 1000));
    CHECK_FALSE(keeper.admits(Need::submit, 900000, 1000));
    CHECK(keeper.admits(Need::end, 900000, 1000));
    CHECK_FALSE(keeper.upkeepDue({900000, 0, 0}));  // nothing sealed, nothing to be done
    CHECK(keeper.upkeepDue({600000, 1000, 0}));
    CHECK_FALSE(keeper.upkeepDue({100000, 30000, 0}));
    CHECK(keeper.upkeepDue({300000, 130000, 100000}));
    CHECK_FALSE(keeper.upkeepDue({400000, 130000, 200000}));
    std::vector<FileStock> files = {{{Sort::log, 1}, 30000, 29000}, {{Sort::log, 2}, 30000, 0},
                                    {{Sort::kept, 1}, 30000, 12000}, {{Sort::log, 3}, 30000, 20000}};
    CHECK(keeper.emptied(files, {200000, 0, 0}) == std::vector<FileId>{{Sort::kept, 1}});
    CHECK(keeper.emptied(files, {600000, 0, 0}) == std::vector<FileId>{{Sort::kept, 1}, {Sort::log, 3}});
    CHECK(keeper.emptied(files, {965000, 0, 0}).empty());  // no room to move anything
    Keeper careful(1000000, true);
    CHECK_FALSE(careful.takes(0, 8, 100, 0, 0));
    CHECK(careful.takes(0, 8, 100, careful.reserveFor(0), 0));
}
