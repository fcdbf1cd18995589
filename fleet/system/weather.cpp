#include "fleet/system/weather.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "system/network/stream.hpp"

namespace petrelpond::range {

namespace fs = std::filesystem;

Weather::Weather(std::vector<std::string> ips, std::vector<std::string> folders,
                 std::function<void(int)> changed)
    : folders_(std::move(folders)), changed_(std::move(changed)), silent_(ips.size(), false),
      disks_(ips.size()), published_(ips.size()), files_(ips.size(), -1) {
    for (const std::string& ip : ips) addresses_.push_back(network::Address::parse(ip, 1)->ip);
}

Weather::~Weather() {
    for (int file : files_)
        if (file >= 0) ::close(file);
}

MachineWeather Weather::of(int machine) const {
    MachineWeather w;
    auto among = [](const std::vector<int>& all, int n) {
        return std::find(all.begin(), all.end(), n) != all.end();
    };
    auto share = [](double loss) { return static_cast<uint32_t>(std::clamp(loss, 0.0, 1.0) * kCut); };
    w.own = addresses_[static_cast<size_t>(machine)], w.disk = disks_[static_cast<size_t>(machine)];
    for (size_t i = 0; i < addresses_.size() && w.peers < kMostPeers; ++i) {
        int other = static_cast<int>(i);
        if (other == machine) continue;
        PeerWeather p{addresses_[i], silent_[i] ? kCut : 0, 0, 0};
        for (const LinkTrouble& t : troubles_) {
            bool out = among(t.from, machine) && among(t.to, other);
            bool in = among(t.from, other) && among(t.to, machine);
            if (t.bothWays) in = out = in || out;
            if (in) p.lossIn = std::max(p.lossIn, share(t.loss));
            if (!out) continue;
            p.delayOut = std::max(p.delayOut, static_cast<uint32_t>(t.delay.inMicros()));
            auto bytes = static_cast<uint32_t>(t.bytesPerSecond);
            if (bytes > 0) p.bytesOut = p.bytesOut > 0 ? std::min(p.bytesOut, bytes) : bytes;
        }
        if (p.lossIn || p.delayOut || p.bytesOut) w.peer[w.peers++] = p;
    }
    return w;
}

// In place and in one call. A process that reads meanwhile may see a part of it; it is told by a signal after
// this and reads again. Made anew and renamed, the files of a hundred machines kept the stage waiting for the
// host's disk.
void Weather::write(int machine, const MachineWeather& w) {
    int& file = files_[static_cast<size_t>(machine)];
    const std::string path = folders_[static_cast<size_t>(machine)] + "/" + kWeatherFile;
    if (file < 0) file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
    if (::pwrite(file, &w, sizeof w, 0) != static_cast<ssize_t>(sizeof w))
        throw std::runtime_error(path + ": " + std::strerror(errno));
}

void Weather::writeAll() {
    for (size_t i = 0; i < addresses_.size(); ++i) write(static_cast<int>(i), of(static_cast<int>(i)));
}

void Weather::begin(const LinkTrouble& t) { troubles_.push_back(t), publish(); }

void Weather::end(const LinkTrouble& t) {
    auto found = std::find(troubles_.begin(), troubles_.end(), t);
    if (found != troubles_.end()) troubles_.erase(found);
    publish();
}

void Weather::silent(int machine, bool is) {
    if (silent_[static_cast<size_t>(machine)] == is) return;
    silent_[static_cast<size_t>(machine)] = is;
    publish();
}

void Weather::publish() {
    for (size_t i = 0; i < addresses_.size(); ++i) {
        MachineWeather w = of(static_cast<int>(i));
        std::string bytes(reinterpret_cast<const char*>(&w), sizeof w);
        if (std::exchange(published_[i], bytes) == bytes) continue;
        write(static_cast<int>(i), w);
        changed_(static_cast<int>(i));
    }
}

namespace {

// One line of kNamesFile.
struct NameChange {
    char kind = 0;
    std::string folder;  // its inode
    std::string path;    // of a rename the new one
    std::string from;    // of a rename
    std::string before;  // a link to what stood there; empty: nothing
    std::string after;   // a link to what stands there now; empty: nothing, or a folder
};

std::optional<NameChange> readNameChange(const std::string& line) {
    std::istringstream text(line);
    std::vector<std::string> words{std::istream_iterator<std::string>(text), {}};
    auto link = [](const std::string& word) { return word == "-" ? std::string() : word; };
    if (words.size() < 2 || words[0].size() != 1) return {};
    const char kind = words[0][0];
    if (kind == 'S' && words.size() == 2) return NameChange{kind, words[1], {}, {}, {}, {}};
    if (kind == 'D' && words.size() == 3) return NameChange{kind, words[1], words[2], {}, {}, {}};
    if (kind == 'U' && words.size() == 4) return NameChange{kind, words[1], words[2], {}, link(words[3]), {}};
    if (kind == 'M' && words.size() == 4) return NameChange{kind, words[1], words[2], {}, {}, link(words[3])};
    if (kind == 'R' && words.size() == 6)
        return NameChange{kind, words[1], words[3], words[2], link(words[4]), link(words[5])};
    return {};
}

// The changes that no later sync of their folder covers. Those below a folder that was made anew since are of
// another one that stood there before.
std::vector<NameChange> uncertainNames(const std::string& file) {
    std::vector<NameChange> uncertain;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        const auto change = readNameChange(line);
        if (!change) continue;
        std::erase_if(uncertain, [&](const NameChange& each) {
            if (change->kind == 'D') return each.path.rfind(change->path + "/", 0) == 0;
            return change->kind == 'S' && each.folder == change->folder;
        });
        if (change->kind != 'S') uncertain.push_back(*change);
    }
    return uncertain;
}

void putLink(const std::string& from, const std::string& to) {
    std::error_code error;
    fs::remove(to, error);
    if (!from.empty()) fs::create_hard_link(from, to, error);
}

void takeBack(const NameChange& change) {
    if (change.kind == 'D') return;
    putLink(change.before, change.path);
    if (change.kind == 'R') putLink(change.after, change.from);
}

void makeAgain(const NameChange& change) {
    if (change.kind == 'D') return;
    putLink(change.after, change.path);
    if (change.kind == 'R') putLink({}, change.from);
}

// Each name that its folder's last sync does not cover is kept or lost by itself.
void forgetNames(const std::string& folder, std::mt19937_64& chance) {
    std::vector<NameChange> uncertain = uncertainNames(folder + "/" + kNamesFile);
    std::for_each(uncertain.rbegin(), uncertain.rend(), takeBack);
    std::error_code error;
    for (const NameChange& change : uncertain) {
        const bool kept = chance() % 2 != 0;
        if (kept) makeAgain(change);
        if (!kept && change.kind == 'D') fs::remove_all(change.path, error);
    }
    fs::remove(folder + "/" + kNamesFile, error), fs::remove_all(folder + "/" + kGraves, error);
}

}  // namespace

void loseDisk(const std::string& folder) {
    std::error_code error;
    for (const std::string name : {"disk", kSyncedFile, kNamesFile, kGraves})
        fs::remove_all(folder + "/" + name, error);
}

int forgetUnsynced(const std::string& folder, std::mt19937_64& chance) {
    forgetNames(folder, chance);
    std::map<uint64_t, uint64_t> synced;
    std::ifstream ledger(folder + "/" + kSyncedFile, std::ios::binary);
    SyncedEntry entry;
    while (ledger.read(reinterpret_cast<char*>(&entry), sizeof entry)) synced[entry.file] = entry.length;
    ledger.close();
    std::ofstream after(folder + "/" + kSyncedFile, std::ios::binary | std::ios::trunc);
    int struck = 0;
    std::error_code error;
    for (const auto& each : fs::recursive_directory_iterator(folder + "/disk", error)) {
        struct stat now {};
        if (!each.is_regular_file(error) || stat(each.path().c_str(), &now) != 0) continue;
        auto found = synced.find(now.st_ino);
        entry = {now.st_ino, static_cast<uint64_t>(now.st_size)};
        if (found != synced.end() && found->second < entry.length) {
            ++struck;
            uint64_t sure = found->second, rest = entry.length - sure;
            uint64_t how = chance() % 4, cut = chance() % rest;
            if (how < 3) {  // all of it is gone, or a tail
                entry.length = how < 2 ? sure : sure + cut;
                fs::resize_file(each.path(), entry.length, error);
            } else {  // the length is there, and of the bytes some
                std::fstream file(each.path(), std::ios::binary | std::ios::in | std::ios::out);
                file.seekp(static_cast<std::streamoff>(sure + cut));
                std::string nothing(1 + chance() % (rest - cut), '\0');
                file.write(nothing.data(), static_cast<std::streamsize>(nothing.size()));
            }
        }
        after.write(reinterpret_cast<const char*>(&entry), sizeof entry);
    }
    return struck;
}

}  // namespace petrelpond::range
