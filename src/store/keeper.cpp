#include "src/store/keeper.hpp"

#include <algorithm>

namespace petrelpond::store {

namespace {

// A text's later records and its line in two snapshots: a dozen states of some 60 bytes, without long ids.
constexpr int64_t kLife = 1024;
constexpr int64_t kReserveStep = 256 * 1024;

}  // namespace

int64_t Keeper::lifeOf(size_t idBytes, size_t bodyBytes) {
    return kLife + static_cast<int64_t>(8 * idBytes + bodyBytes);
}

// Small against the whole, as one segment more than needed lies there at any time; not so small that headers
// and names count, nor so large that one reading of it takes long.
int64_t Keeper::segmentBytes() const { return std::clamp<int64_t>(most_ / 32, 4096, 8 * 1024 * 1024); }

// Upkeep writes anew what is live beside what was there, so what is live may take less than half.
bool Keeper::takes(int64_t live, size_t idBytes, size_t bodyBytes, int64_t setAside, int64_t open) const {
    if (reserve_ && setAside < (open + 1) * kLife) return false;
    return live + lifeOf(idBytes, bodyBytes) < most_ * 9 / 20;
}

// In the order of what may be refused: a new text is told when to return, a submit not begun goes later, and
// an end that can't be written is owed.
bool Keeper::admits(Need need, int64_t total, int64_t bytes) const {
    int64_t share = need == Need::text ? 80 : need == Need::submit ? 88 : 95;
    return total + bytes <= most_ / 100 * share;
}

// A snapshot is written about once for each time that the logs have grown by its own size, so that a byte
// logged costs about one more; sooner where room runs out.
bool Keeper::upkeepDue(const Stock& stock) const {
    if (stock.sinceSnapshot == 0) return false;
    return stock.sinceSnapshot >= std::max(4 * segmentBytes(), stock.snapshot) || stock.total > most_ / 2;
}

std::vector<FileId> Keeper::emptied(std::vector<FileStock> files, const Stock& stock) const {
    bool pressed = stock.total > most_ / 2;
    std::sort(files.begin(), files.end(), [](const FileStock& a, const FileStock& b) {
        return a.live * std::max<int64_t>(b.bytes, 1) < b.live * std::max<int64_t>(a.bytes, 1);
    });
    // What moves lies twice until the old files go: no more than has room, nor than is written in a short time.
    int64_t room = std::min(most_ / 100 * 97 - stock.total - stock.snapshot, 16 * segmentBytes());
    std::vector<FileId> chosen;
    for (const FileStock& f : files) {
        if (f.live == 0) continue;  // goes by itself
        // Half empty: then a body is moved on at most each time that what lay round it has halved.
        if (f.live * 100 > f.bytes * (pressed ? 80 : 50)) break;
        if ((room -= f.live) < 0) break;
        chosen.push_back(f.file);
    }
    return chosen;
}

int64_t Keeper::reserveFor(int64_t open) const {
    if (!reserve_) return 0;
    // Grown in steps ahead of need, as a text that comes is not to wait for it.
    int64_t wanted = (open + open / 8) * kLife + segmentBytes() + kReserveStep;
    return wanted / kReserveStep * kReserveStep;
}

Remedy Keeper::remedyFor(DamageKind kind) {
    switch (kind) {
        case DamageKind::torn:
            return {false, false, false};
        case DamageKind::spoilt:
        case DamageKind::header:
            return {true, true, true};
        case DamageKind::missing:
            return {false, true, true};
        case DamageKind::snapshot:
            return {true, false, true};
        case DamageKind::body:
            return {true, false, true};
        case DamageKind::oneCopy:
            return {false, false, true};
    }
    return {};
}

}  // namespace petrelpond::store
