// What a loss of power leaves of a disk, what each machine is told of the weather, and the drawn storms.
#include "fleet/system/weather.hpp"

#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>

#include "fleet/system/plan.hpp"

using namespace petrelpond;
using namespace petrelpond::range;
namespace fs = std::filesystem;

namespace {

struct Folder {
    std::string path = (fs::temp_directory_path() / "weather-XXXXXX").string();
    Folder() {
        REQUIRE(mkdtemp(path.data()));
        fs::create_directories(path + "/disk/consensus"), fs::create_directories(path + "/" + kGraves);
    }
    ~Folder() { fs::remove_all(path); }
    std::string at(const std::string& name) const { return path + "/disk/consensus/" + name; }
    uint64_t inode(const std::string& of) const {
        struct stat is {};
        return stat(of.c_str(), &is) == 0 ? is.st_ino : 0;
    }
    void file(const std::string& name, const std::string& text, int synced) {
        std::ofstream(at(name)) << text;
        if (synced < 0) return;
        SyncedEntry entry{inode(at(name)), static_cast<uint64_t>(synced)};
        std::ofstream(path + "/" + kSyncedFile, std::ios::app | std::ios::binary)
            .write(reinterpret_cast<const char*>(&entry), sizeof entry);
    }
    void name(const std::string& line) { std::ofstream(path + "/" + kNamesFile, std::ios::app) << line; }
    std::string read(const std::string& name) const {
        std::ifstream in(at(name));
        return {std::istreambuf_iterator<char>(in), {}};
    }
};

MachineWeather told(const std::string& folder) {
    MachineWeather w;
    std::ifstream(folder + "/" + kWeatherFile, std::ios::binary).read(reinterpret_cast<char*>(&w), sizeof w);
    return w;
}

}  // namespace

TEST_CASE("a loss of power keeps what was synced and forgets or tears the rest") {
    std::set<std::string> left;
    for (uint64_t seed = 1; seed < 60; ++seed) {
        Folder f;
        f.file("log", "promised|maybe-and-more", 9), f.file("whole", "all of it", 9);
        f.file("new", "never synced", 0), f.file("old", "of a life before", -1);
        std::mt19937_64 chance(seed);
        CHECK(forgetUnsynced(f.path, chance) == 2);
        CHECK(f.read("log").substr(0, 9) == "promised|");
        CHECK(f.read("whole") == "all of it");
        CHECK(f.read("old") == "of a life before");
        left.insert(f.read("log").substr(9));
        // What has outlasted one loss outlasts the next.
        std::string log = f.read("log");
        CHECK(forgetUnsynced(f.path, chance) == 0);
        CHECK(f.read("log") == log);
    }
    CHECK(left.count("") == 1);
    CHECK(left.size() > 5);  // tails and holes of many lengths
}

TEST_CASE("a loss of power takes back names whose folder was not synced, each by itself") {
    std::set<std::string> left;
    for (uint64_t seed = 1; seed < 400; ++seed) {
        Folder f;
        std::string in = std::to_string(f.inode(f.path + "/disk/consensus")), graves = f.path + "/" + kGraves;
        f.file("CURRENT", "two", -1), std::ofstream(graves + "/1") << "one";
        std::ofstream(graves + "/2") << "log one";
        fs::create_hard_link(f.at("CURRENT"), graves + "/3");
        f.file("log2", "log two", -1), fs::create_hard_link(f.at("log2"), graves + "/4");
        f.name("U " + in + " " + f.at("before") + " " + graves + "/1\nD 9 " + f.path +
               "/disk/consensus\nS 9\n");
        f.name("R 7 " + f.at("gone") + " " + f.at("nowhere") + " - -\nS 7\n");  // synced: stays
        f.name("M " + in + " " + f.at("log2") + " " + graves + "/4\n");
        f.name("M " + in + " " + f.at("tmp") + " " + graves + "/3\n");
        f.name("R " + in + " " + f.at("tmp") + " " + f.at("CURRENT") + " " + graves + "/1 " + graves +
               "/3\n");
        f.name("U " + in + " " + f.at("log1") + " " + graves + "/2\n");
        std::mt19937_64 chance(seed);
        forgetUnsynced(f.path, chance);
        CHECK(f.read("before") == "");  // of a folder of this name that is no more
        const bool renamed = f.read("CURRENT") == "two";
        CHECK((!renamed || f.read("tmp").empty()));
        CHECK((renamed || f.read("CURRENT") == "one"));
        CHECK((f.read("tmp").empty() || f.read("tmp") == "two"));
        left.insert(f.read("CURRENT") + "," + f.read("log1") + "," + f.read("log2"));
    }
    std::set<std::string> all;
    for (const std::string current : {"one", "two"})
        for (const std::string first : {"", "log one"})
            for (const std::string second : {"", "log two"}) all.insert(current + "," + first + "," + second);
    CHECK(left == all);
}

TEST_CASE("each machine is told of what is said to it, and only of that") {
    Folder a, b, c;
    std::vector<int> changed;
    Weather w({"127.1.1.1", "127.1.1.2", "127.1.1.3"}, {a.path, b.path, c.path},
              [&](int n) { changed.push_back(n); });
    LinkTrouble cut{{0}, {1}, false, 1, Span(), 0};
    w.publish(), changed.clear();
    w.begin(cut);
    CHECK(changed == std::vector<int>{1});
    CHECK((told(b.path).peers == 1 && told(b.path).peer[0].ip == 0x7f010101));
    CHECK(told(b.path).peer[0].lossIn == kCut);
    CHECK(told(a.path).peers == 0);
    LinkTrouble slow{{0}, {1, 2}, true, 0.5, Span::millis(20), 1000};
    w.begin(slow), w.end(cut);
    CHECK((told(a.path).peers == 2 && told(c.path).peers == 1 && told(b.path).peers == 1));
    CHECK((told(b.path).peer[0].lossIn > kCut / 3 && told(b.path).peer[0].lossIn < kCut));
    CHECK((told(c.path).peer[0].delayOut == 20000 && told(c.path).peer[0].bytesOut == 1000));
    w.end(slow), w.silent(2, true);
    CHECK((told(a.path).peer[0].lossIn == kCut && told(b.path).peer[0].lossIn == kCut));
    CHECK(told(c.path).peers == 0);
    w.silent(2, false);
    CHECK((told(a.path).peers == 0 && told(b.path).peers == 0));
}

TEST_CASE("a storm is the same for the same seed and never takes more than is to be borne") {
    for (int cores : {3, 5}) {
        StormPlan s{80, 6, cores, 5};
        Plan plan = stormPlan(s), again = stormPlan(s);
        REQUIRE(plan.faults.size() == again.faults.size());
        std::map<range::Kind, int> kinds;
        Span wiped;
        for (size_t i = 0; i < plan.faults.size(); ++i) {
            const FaultPlan& f = plan.faults[i];
            CHECK((f.kind == again.faults[i].kind && f.at == again.faults[i].at));
            CHECK(f.at < plan.lasts);
            ++kinds[f.kind];
            if (f.kind != range::Kind::wipe && f.kind != range::Kind::afterAckWipe) continue;
            CHECK(static_cast<int>(f.machines.size()) <= (cores - 1) / 2);
            CHECK((wiped == Span() || f.at > wiped + Span::seconds(5)));
            wiped = f.at;
        }
        CHECK(kinds[range::Kind::wipe] + kinds[range::Kind::afterAckWipe] == 10);
        CHECK(kinds[range::Kind::linkCut] == 10);
        CHECK(kinds[range::Kind::powerLost] + kinds[range::Kind::afterAckPower] >= 20);
    }
}
