#include "src/program/store_tool.hpp"

#include <pthread.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <ostream>

#include "src/protocol/base64.hpp"
#include "src/protocol/json.hpp"
#include "src/store/old_format.hpp"
#include "src/replica/standby.hpp"
#include "src/store/store.hpp"
#include "src/transport/socket.hpp"

namespace petrelpond {

namespace {

constexpr int kFine = 0, kDamaged = 1, kWrong = 2, kRefused = 3;
constexpr const char* kUsage =
    "petrelpond store verify|inspect|export|compact DIR\n"
    "  verify   reads every record and body and names what can't be read\n"
    "  inspect  open texts by destination, product and age\n"
    "  export   open texts as JSON, one a line, bodies in Base64\n"
    "  compact  one pass of upkeep\n"
    "petrelpond store promote HOST:PORT|DIR\n"
    "  has a standby take over: from then on its earlier primary can't submit\n"
    "On the folder of a sender that has ended, or a copy of it. Ends with 0 (all can be read), 1 (damage was\n"
    "found), 2 (wrong words, no such folder), 3 (a format of a later program, or the folder is in use).\n";

int64_t nowMicros() {
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

struct Folder {
    std::unique_ptr<store::Disk> disk;
    store::Image image;
    std::vector<store::OldText> old;
    int64_t oldSpoilt = 0;
    bool hasOld = false;
};

int readFolder(const std::string& at, Folder& f, std::ostream& err) {
    std::string problem;
    f.disk = store::realDisk(at, false, problem);
    if (!f.disk) return err << problem << "\n", kWrong;
    f.image = store::readImage(*f.disk);
    if (!f.image.refused.empty()) return err << at << ": " << f.image.refused << "\n", kRefused;
    if (auto file = f.disk->open(store::kOldName)) {
        std::string bytes(static_cast<size_t>(file->size()), '\0');
        if (file->read(0, bytes.data(), bytes.size()) < 0) return err << at << "/texts: can't be read\n", kWrong;
        auto old = store::readOld(bytes);
        f.old = std::move(old.open), f.oldSpoilt = old.spoilt, f.hasOld = true;
    }
    bool empty = f.image.files.empty() && !f.hasOld;
    if (empty) return err << at << ": no store\n", kWrong;
    return kFine;
}

// Bad bodies among the open texts; each is told.
long checkBodies(Folder& f, std::ostream& out, const std::function<void(const store::Entry&, std::string)>& each) {
    store::Bodies bodies(*f.disk);
    long bad = 0;
    bool terminal = isatty(STDERR_FILENO) != 0;
    size_t done = 0;
    for (const store::Entry& e : f.image.open) {
        auto payload = bodies.payload(e.serial, e.where);
        if (!payload) {
            ++bad;
            out << "body lost: " << e.id << ", " << nameOf(e.where.file) << " at " << e.where.offset << "\n";
        } else if (each) {
            each(e, std::string(store::read(*payload).body));
        }
        if (terminal && ++done % 10000 == 0) fprintf(stderr, "\r%zu of %zu bodies", done, f.image.open.size());
    }
    if (terminal && done >= 10000) fprintf(stderr, "\r\033[K");
    return bad;
}

int verify(const std::string& at, std::ostream& out, std::ostream& err) {
    Folder f;
    if (int code = readFolder(at, f, err)) return code;
    bool damaged = f.oldSpoilt > 0;
    for (const store::Damage& d : f.image.damages) {
        out << inWords(d) << "\n";
        damaged = damaged || store::Keeper::remedyFor(d.kind).warn;
    }
    if (f.hasOld) out << "texts, of the earlier format: " << f.old.size() << " open, " << f.oldSpoilt << " bytes spoilt\n";
    long bad = checkBodies(f, out, nullptr);
    int64_t bytes = 0;
    for (auto& [id, size] : f.image.files) bytes += size;
    out << f.image.files.size() << " files, " << bytes << " bytes, " << f.image.open.size() << " texts open, "
        << f.image.suspect.size() << " of them may have run because records are lost, " << f.image.orphans
        << " records of unknown texts, " << bad << " bodies lost\n";
    return damaged || bad > 0 || f.image.orphans > 0 ? kDamaged : kFine;
}

std::string aged(int64_t micros) {
    int64_t s = std::max<int64_t>(micros, 0) / 1000000;
    return s < 120     ? std::to_string(s) + " s"
           : s < 7200  ? std::to_string(s / 60) + " min"
           : s < 86400 ? std::to_string(s / 3600) + " h"
                       : std::to_string(s / 86400) + " d";
}

int inspect(const std::string& at, std::ostream& out, std::ostream& err) {
    Folder f;
    if (int code = readFolder(at, f, err)) return code;
    struct Group {
        long texts = 0, out = 0, mayHaveRun = 0, told = 0, expired = 0;
        int64_t oldest = 0, newest = 0;
    };
    std::map<std::pair<std::string, std::string>, Group> groups;
    int64_t now = nowMicros();
    auto add = [&](const store::Entry& e) {
        Group& g = groups[{e.destination, e.product}];
        ++g.texts, g.out += e.state.out, g.mayHaveRun += e.state.mayHaveRun;
        g.told += e.state.final != store::Final::none, g.expired += e.validUntil < now;
        if (e.takenAt > 0) {
            g.oldest = g.oldest == 0 ? e.takenAt : std::min(g.oldest, e.takenAt);
            g.newest = std::max(g.newest, e.takenAt);
        }
    };
    for (const store::Entry& e : f.image.open) add(e);
    for (const store::OldText& o : f.old) add(o.entry);
    out << "destination\tproduct\ttexts\tout\tmay have run\tanswer owed\tpast validity\toldest\tnewest\n";
    for (auto& [key, g] : groups) {
        out << key.first << "\t" << key.second << "\t" << g.texts << "\t" << g.out << "\t" << g.mayHaveRun << "\t"
            << g.told << "\t" << g.expired << "\t" << (g.oldest > 0 ? aged(now - g.oldest) : "?") << "\t"
            << (g.newest > 0 ? aged(now - g.newest) : "?") << "\n";
    }
    return f.image.damages.empty() && f.oldSpoilt == 0 ? kFine : verify(at, err, err);
}

int exportTexts(const std::string& at, std::ostream& out, std::ostream& err) {
    Folder f;
    if (int code = readFolder(at, f, err)) return code;
    auto line = [&](const store::Entry& e, const std::string& body) {
        const char* finals[] = {"", "nacked", "undeliverable"};
        out << "{\"id\":" << json::quote(e.id) << ",\"destination\":" << json::quote(e.destination)
            << ",\"product\":" << json::quote(e.product) << ",\"mark\":" << json::quote(e.mark)
            << ",\"key\":" << json::quote(e.key) << ",\"taken_at_us\":" << e.takenAt
            << ",\"valid_until_us\":" << e.validUntil << ",\"submits\":" << e.state.submits
            << ",\"out\":" << (e.state.out ? "true" : "false")
            << ",\"may_have_run\":" << (e.state.mayHaveRun ? "true" : "false") << ",\"answer_owed\":\""
            << finals[static_cast<int>(e.state.final) % 3] << "\",\"body\":\"" << base64(body) << "\"}\n";
    };
    long bad = checkBodies(f, err, line);
    for (const store::OldText& o : f.old) line(o.entry, o.body);
    bool damaged = bad > 0 || f.oldSpoilt > 0;
    for (const store::Damage& d : f.image.damages) damaged = damaged || store::Keeper::remedyFor(d.kind).warn;
    return out.flush() ? (damaged ? kDamaged : kFine) : (err << "the output can't be written\n", kWrong);
}

int compact(const std::string& at, std::ostream& out, std::ostream& err) {
    std::string problem;
    auto disk = store::realDisk(at, true, problem);
    if (!disk) return err << problem << "\n", problem.find("in use") != std::string::npos ? kRefused : kWrong;
    if (disk->list().empty()) return err << at << ": no store\n", kWrong;
    Store::Options options;
    options.most = int64_t{1} << 50, options.beside = false;
    options.say = [&](bool, const std::string& words) { err << words << "\n"; };
    Store store(std::move(disk), std::move(options));
    if (!store.works()) return kRefused;
    int64_t before = store.size();
    bool done = store.upkeepNow(true);
    out << store.texts().size() << " texts open, " << before << " bytes before, " << store.size() << " after"
        << (done ? "\n" : ", nothing to be done\n");
    return store.damages() > 0 ? kDamaged : kFine;
}

std::unique_ptr<Store> openFolder(const std::string& at, int64_t most, Durability durability, std::ostream& err) {
    std::string problem;
    auto disk = store::realDisk(at, true, problem);
    if (!disk) return err << problem << "\n", nullptr;
    Store::Options options;
    options.most = most, options.durability = durability;
    options.say = [&err](bool, const std::string& words) { err << words << std::endl; };
    auto store = std::make_unique<Store>(std::move(disk), std::move(options));
    return store->works() ? std::move(store) : nullptr;
}

int promote(const std::string& at, std::ostream& out, std::ostream& err) {
    std::string problem;
    if (Address::parse(at)) {
        auto epoch = replica::promoteAt(at, problem);
        bool nobody = problem.find("no standby answers") != std::string::npos;
        if (!epoch) return err << problem << "\n", nobody ? kWrong : kRefused;
        out << "promoted to epoch " << *epoch << "; start a sender on its folder, and its standby with --least-epoch "
            << *epoch << "\n";
        return kFine;
    }
    // The standby's process is gone: its folder is promoted where it lies.
    auto whole = replica::marked(at);
    if (!whole) return err << at << ": no standby's folder\n", kWrong;
    if (!*whole) return err << at << ": never held all that its primary had open\n", kRefused;
    auto store = openFolder(at, int64_t{1} << 50, Durability::written, err);
    if (!store) return kRefused;
    replica::Lineage lineage(store->epoch(), 0, true);
    auto epoch = lineage.promote();
    if (!store->raiseEpoch(*epoch) || !replica::unmark(at)) return err << at << ": can't be written\n", kWrong;
    out << "promoted to epoch " << *epoch << "\n";
    return kFine;
}

}  // namespace

int standbyProgram(const std::vector<std::string>& words, std::ostream& out, std::ostream& err) {
    std::vector<std::string> plain;
    uint64_t least = 0;
    int64_t megabytes = 1024;
    Durability durability = Durability::written;
    bool fine = true;
    auto number = [&](const std::string& word) {
        fine = fine && !word.empty() && word.size() < 10 && word.find_first_not_of("0123456789") == std::string::npos;
        return fine ? std::stoll(word) : 0;
    };
    for (size_t i = 0; i < words.size() && fine; ++i) {
        bool more = i + 1 < words.size();
        if (words[i] == "--least-epoch" && more) {
            least = static_cast<uint64_t>(number(words[++i]));
        } else if (words[i] == "--disk-mb" && more) {
            megabytes = number(words[++i]);
        } else if (words[i] == "--synced") {
            durability = Durability::each;
        } else {
            fine = !words[i].starts_with("-");
            plain.push_back(words[i]);
        }
    }
    if (!fine || plain.size() != 2 || !Address::parse(plain[0]) || megabytes < 1) {
        return err << "petrelpond standby HOST:PORT DIR [--least-epoch N] [--disk-mb 1024] [--synced]\n", kWrong;
    }
    sigset_t signals;
    sigemptyset(&signals);
    for (int s : {SIGTERM, SIGINT}) sigaddset(&signals, s);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    auto store = openFolder(plain[1], megabytes * 1000000, durability, err);
    if (!store) return kRefused;
    if (!store->texts().empty() && !replica::marked(plain[1])) {
        return err << plain[1] << ": a sender's own folder with open texts; a standby begins with an empty one\n",
               kWrong;
    }
    replica::Standby standby(*store, plain[1], least, [&](bool, const std::string& w) { err << w << std::endl; });
    std::atomic<bool> done = false;
    std::thread ending([&] {
        timespec often{0, 100000000};
        while (!done) {
            if (sigtimedwait(&signals, nullptr, &often) > 0) return standby.stop();
        }
    });
    bool served = standby.serve(plain[0]);
    done = true;
    ending.join();
    if (standby.promoted()) out << "promoted to epoch " << standby.epoch() << std::endl;
    return served ? kFine : kWrong;
}

int storeTool(const std::vector<std::string>& words, std::ostream& out, std::ostream& err) {
    if (words.size() != 2) return err << kUsage, kWrong;
    if (words[0] == "verify") return verify(words[1], out, err);
    if (words[0] == "inspect") return inspect(words[1], out, err);
    if (words[0] == "export") return exportTexts(words[1], out, err);
    if (words[0] == "compact") return compact(words[1], out, err);
    if (words[0] == "promote") return promote(words[1], out, err);
    return err << "petrelpond store: no such command: " << words[0] << "\n" << kUsage, kWrong;
}

}  // namespace petrelpond
