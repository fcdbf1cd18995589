// The store at size against the one before it, and under kills. Prints what it measured; `kills` ends with 1
// where a text was lost or doubled.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <thread>

#include "bench/old_store.hpp"
#include "src/store/store.hpp"

using namespace petrelpond;
using Clock = std::chrono::steady_clock;

namespace {

double seconds(Clock::time_point from) { return std::chrono::duration<double>(Clock::now() - from).count(); }

struct Folder {
    std::string path;
    explicit Folder(const std::string& under) {
        path = under + "/petrelpond-bench-XXXXXX";
        if (!mkdtemp(path.data())) throw std::runtime_error("no folder under " + under);
    }
    ~Folder() { std::filesystem::remove_all(path); }
    double megabytes() const {
        double sum = 0;
        for (auto& f : std::filesystem::directory_iterator(path)) sum += static_cast<double>(f.file_size());
        return sum / 1e6;
    }
};

template <class S>
typename S::Text textOf(int i) {
    typename S::Text t;
    t.destination = std::to_string(i % 1000), t.product = "order", t.validUntil = 1;
    t.body = std::make_shared<const std::string>(200 + i % 200, static_cast<char>('a' + i % 26));
    return t;
}
std::string idOf(int i) {
    char id[24];
    snprintf(id, sizeof id, "%016x", static_cast<unsigned>(i));
    return id;
}
constexpr int64_t kMost = int64_t{4} << 30;

std::unique_ptr<Store> openNew(const std::string& path, Durability durability, int64_t most = kMost,
                               bool beside = true) {
    Store::Options o;
    o.most = most, o.durability = durability, o.beside = beside;
    o.say = [](bool warning, const std::string& words) {
        if (warning) std::cerr << words << "\n";
    };
    std::string problem;
    auto disk = store::realDisk(path, true, problem);
    if (!disk) throw std::runtime_error(problem);
    return std::make_unique<Store>(std::move(disk), std::move(o));
}

// Each text's whole life but its end for some: taken, begun, ended, over.
template <class S>
void traffic(S& s, int from, int to, int open, std::vector<double>* micros) {
    auto timed = [&](auto act) {
        auto began = Clock::now();
        act();
        if (micros) micros->push_back(seconds(began) * 1e6);
    };
    for (int i = from; i < to; ++i) {
        std::string id = idOf(i);
        timed([&] { (void)s.taken(id, textOf<S>(i)); });
        timed([&] { (void)s.begun(id, 5, "east"); });
        timed([&] { s.ended(id, false); });
        if (i - from >= open || micros) timed([&] { s.over(id); });
    }
}

void say(const char* what, std::vector<double>& micros) {
    std::sort(micros.begin(), micros.end());
    double median = micros[micros.size() / 2];
    std::cout << std::fixed << std::setprecision(1) << what << ": median " << median << " us, p99.9 "
              << micros[micros.size() * 999 / 1000] << ", longest " << micros.back() << " ("
              << micros.back() / median << " times the median) over " << micros.size() << " appends\n";
}

void size(const std::string& under, int open) {
    {
        // What a write takes here when nothing else is done: no compaction, no upkeep, nothing open.
        Folder folder(under);
        std::vector<double> micros;
        OldStore s(folder.path, kMost);
        traffic(s, 0, 300000, 0, &micros);
        std::cout << "floor: " << s.compactions() << " compactions\n";
        say("floor, appends with nothing beside them", micros);
    }
    {
        Folder folder(under);
        std::vector<double> micros;
        {
            OldStore s(folder.path, 250'000'000 + int64_t{open} * 1500);
            traffic(s, 0, open, open, nullptr);
            long before = s.compactions();
            for (int round = 0; s.compactions() < before + 2 && round < 300; ++round)
                traffic(s, open + round * 20000, open + round * 20000 + 20000, 0, &micros);
            std::cout << "before: " << s.compactions() - before << " compactions while measured\n";
        }
        say("before, appends under compaction", micros);
        auto began = Clock::now();
        OldStore again(folder.path, kMost);
        std::cout << "before, start with " << again.texts().size() << " open: " << seconds(began) << " s\n";
    }
    Folder folder(under);
    std::vector<double> micros;
    {
        auto s = openNew(folder.path, Durability::written);
        traffic(*s, 0, open, open, nullptr);
        long before = s->compactions();
        int64_t appended = s->bytesAppended(), upkept = s->bytesByUpkeep();
        auto began = Clock::now();
        int round = 0;
        for (; s->compactions() < before + 3 && round < 300; ++round)
            traffic(*s, open + round * 20000, open + round * 20000 + 20000, 0, &micros);
        std::cout << "now: " << s->compactions() - before << " passes while measured, "
                  << static_cast<double>(micros.size()) / seconds(began) << " appends a second, upkeep wrote "
                  << std::setprecision(2)
                  << static_cast<double>(s->bytesByUpkeep() - upkept) /
                         static_cast<double>(s->bytesAppended() - appended)
                  << " bytes for each one appended\n";
    }
    say("now, appends under upkeep", micros);
    std::cout << "now, on disk for an open text: " << folder.megabytes() * 1e6 / open << " bytes (bodies 300)\n";
    auto began = Clock::now();
    auto again = openNew(folder.path, Durability::written);
    std::cout << std::setprecision(3) << "now, start with " << again->texts().size()
              << " open: " << seconds(began) << " s\n";
    began = Clock::now();
    size_t bytes = 0;
    for (int i = 0; i < 1000; ++i) {
        auto body = again->body(idOf(i * std::max(open / 1000, 1)));
        bytes += body ? body->size() : 0;
    }
    std::cout << std::setprecision(1) << "now, a body read when needed: " << seconds(began) * 1e3 << " us ("
              << bytes / 1000 << " bytes)\n";
}

void levels(const std::string& under) {
    for (auto [durability, name] : {std::pair{Durability::written, "written"},
                                    {Durability::grouped, "grouped, 2 ms"},
                                    {Durability::each, "each"}}) {
        Folder folder(under);
        auto s = openNew(folder.path, durability);
        auto began = Clock::now();
        int i = 0;
        for (; seconds(began) < 2; i += 10) traffic(*s, i, i + 10, 0, nullptr);
        uint64_t last = s->last();
        while (s->safe() < last) std::this_thread::sleep_for(std::chrono::microseconds(50));
        std::cout << std::fixed << std::setprecision(0) << name << ": " << 4.0 * i / seconds(began)
                  << " appends a second\n";
    }
}

// ---- kills

struct Known {
    int submits = 0;
    bool out = false, mayHaveRun = false;
    int final = 0;
    bool operator==(const Known&) const = default;
};
struct Step {
    char what = 0;  // t b e E f o; '+' says that the one before is acknowledged
    int id = 0;
};

[[noreturn]] void live(const std::string& path, int to, uint32_t seed, int next) {
    // Every second one is in upkeep without a pause, so that kills strike within a pass; the others as in service.
    bool always = seed % 2 == 0;
    auto s = openNew(path, Durability::written, 3'000'000, !always);
    if (always) {
        std::thread([&s] {
            while (true) s->upkeepNow(true);
        }).detach();
    }
    std::mt19937 chance(seed);
    std::vector<int> held;
    for (auto& [id, t] : s->texts()) held.push_back(static_cast<int>(strtol(id.c_str(), nullptr, 16)));
    auto tell = [&](char what, int id) {
        Step step{what, id};
        if (::write(to, &step, sizeof step) != sizeof step) _exit(3);
    };
    while (true) {
        unsigned what = chance() % 10;
        if (held.empty() || (what < 4 && held.size() < 400)) {
            int id = next++;
            if (!s->roomFor(16, 400)) continue;
            tell('t', id);
            if (!s->taken(idOf(id), textOf<Store>(id))) continue;
            held.push_back(id), tell('+', id);
            continue;
        }
        size_t at = chance() % held.size();
        int id = held[at];
        char step = what < 6 ? 'b' : what == 6 ? 'e' : what == 7 ? 'E' : what == 8 ? 'f' : 'o';
        tell(step, id);
        bool fine = true;
        if (step == 'b') fine = s->begun(idOf(id), 5, "east");
        if (step == 'e' || step == 'E') s->ended(idOf(id), step == 'E');
        if (step == 'f') s->final(idOf(id), Store::Final::nacked, 0);
        if (step == 'o') s->over(idOf(id)), held[at] = held.back(), held.pop_back();
        if (fine) tell('+', id);
    }
}

void follow(std::map<int, Known>& books, Step s) {
    Known& k = books[s.id];
    if (s.what == 'b') ++k.submits, k.out = true;
    if (s.what == 'e' || s.what == 'E') k.out = false, k.mayHaveRun = k.mayHaveRun || s.what == 'E';
    if (s.what == 'f') k.final = 1;
    if (s.what == 'o') books.erase(s.id);
}

int kills(const std::string& under, int count) {
    Folder folder(under);
    std::mt19937 chance(7);
    std::map<int, Known> books;
    long steps = 0, passes = 0, halfway = 0;
    int next = 0;
    for (int k = 0; k < count; ++k) {
        int ends[2];
        if (pipe(ends) != 0) return 2;
        pid_t child = fork();
        if (child == 0) {
            close(ends[0]);
            live(folder.path, ends[1], static_cast<uint32_t>(k), next);
        }
        close(ends[1]);
        // Killed after a drawn number of steps, or a drawn moment later: within a write of upkeep's as well.
        long quota = 1 + static_cast<long>(chance() % 3000);
        std::optional<Step> pending;
        Step step;
        auto take = [&] {
            if (step.what == 't') next = std::max(next, step.id + 1);
            if (step.what == '+' && pending) follow(books, *pending), pending = std::nullopt, ++steps;
            if (step.what != '+') pending = step;
        };
        bool told = false;
        while (::read(ends[0], &step, sizeof step) == sizeof step) {
            take();
            if (--quota <= 0 && !told) {
                std::this_thread::sleep_for(std::chrono::microseconds(chance() % 1500));
                kill(child, SIGKILL), told = true;
            }
        }
        close(ends[0]);
        int status = 0;
        waitpid(child, &status, 0);
        if (!WIFSIGNALED(status)) return std::cerr << "the child ended by itself\n", 2;
        bool halfPass = false;
        for (auto& f : std::filesystem::directory_iterator(folder.path))
            halfPass = halfPass || f.path().extension() == ".new";
        halfway += halfPass;
        std::map<int, Known> found;
        {
            auto s = openNew(folder.path, Durability::written, 3'000'000);
            for (auto& [id, t] : s->texts()) {
                int i = static_cast<int>(strtol(id.c_str(), nullptr, 16));
                found[i] = {t.submits, t.out, t.mayHaveRun, static_cast<int>(t.final)};
                auto body = s->body(id);
                if (!body || *body != *textOf<Store>(i).body) return std::cerr << "text " << id << ": its body is gone\n", 1;
            }
            if (s->damages() > 0) return std::cerr << "damage after kill " << k << "\n", 1;
            passes += s->compactions();
        }
        if (found != books) {
            if (pending) follow(books, *pending);
            if (found != books) {
                for (auto& [id, known] : books) {
                    if (found.count(id) == 0) std::cerr << "lost: " << idOf(id) << "\n";
                    else if (!(found[id] == known)) std::cerr << "otherwise: " << idOf(id) << "\n";
                }
                for (auto& [id, known] : found)
                    if (books.count(id) == 0) std::cerr << "back again: " << idOf(id) << "\n";
                return std::cerr << "after kill " << k << " the store is not what was acknowledged\n", 1;
            }
        }
        if (isatty(STDERR_FILENO)) std::cerr << "\r" << k + 1 << " of " << count << std::flush;
    }
    std::cout << count << " kills, " << steps << " acknowledged steps, " << halfway
              << " kills found a snapshot half written; none lost, none doubled\n";
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    std::string word = argc > 1 ? argv[1] : "";
    int n = argc > 2 ? atoi(argv[2]) : 0;
    std::string under = argc > 3 ? argv[3] : std::filesystem::temp_directory_path().string();
    if (word == "size" && n > 0) return size(under, n), 0;
    if (word == "start" && argc > 2) {
        auto began = Clock::now();
        auto s = openNew(argv[2], Durability::written);
        return std::cout << s->texts().size() << " open in " << seconds(began) << " s\n", 0;
    }
    if (word == "fill" && n > 0) {
        auto s = openNew(under, Durability::written);
        return traffic(*s, 0, n, n, nullptr), 0;
    }
    if (word == "levels") return levels(argc > 2 ? argv[2] : under), 0;
    if (word == "kills" && n > 0) return kills(under, n);
    std::cerr << "store_bench size TEXTS [FOLDER] | levels [FOLDER] | kills COUNT [FOLDER]\n";
    return 2;
}
