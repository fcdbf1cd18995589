#include "src/store/upkeep.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace petrelpond::store {

namespace {

constexpr size_t kTogether = 64 * 1024;
const std::string kUnfinished = ".new";

// Records of one new file, written some together.
class Output {
  public:
    Output(Disk& disk, std::string name, const Header& header) : disk_(disk), name_(std::move(name)), header_(header) {
        file_ = disk_.create(name_, trouble_);
        pending_ = encode(header_);
    }
    // Where it stands.
    int64_t add(std::string_view payload) {
        int64_t at = bytes_ + static_cast<int64_t>(pending_.size());
        pending_ += encodeRecord(header_, header_.first + records_++, payload);
        if (pending_.size() >= kTogether) flush();
        return at;
    }
    bool finish() {
        flush();
        if (trouble_ == Trouble::none && !file_->sync()) trouble_ = Trouble::broken;
        return trouble_ == Trouble::none;
    }
    void undo() {
        file_ = nullptr;
        disk_.remove(name_);
    }
    Trouble trouble() const { return trouble_; }
    int64_t bytes() const { return bytes_; }

  private:
    void flush() {
        if (trouble_ == Trouble::none && file_) trouble_ = file_->append(pending_);
        bytes_ += static_cast<int64_t>(pending_.size());
        pending_.clear();
    }
    Disk& disk_;
    std::string name_, pending_;
    Header header_;
    std::unique_ptr<File> file_;
    uint64_t records_ = 0;
    int64_t bytes_ = 0;
    Trouble trouble_ = Trouble::none;
};

}  // namespace

Pass passOver(Disk& disk, const Keeper& keeper, uint32_t upTo, uint64_t salt, int64_t total,
              const std::function<void(const std::vector<std::pair<uint64_t, Where>>&)>& onMoved) {
    Pass pass;
    Image image = readImage(disk, upTo);
    if (!image.refused.empty() || image.covered >= upTo) return pass;
    for (const Damage& d : image.damages) {
        if (!Keeper::remedyFor(d.kind).warn) continue;
        int64_t written = 0;
        if (Keeper::remedyFor(d.kind).setAside) setAside(disk, d, keeper.segmentBytes() * 2, written);
        pass.written += blocks(written);
        pass.damages.push_back(d);
    }
    Stock stock;
    stock.total = total;
    std::map<FileId, FileStock> files;
    for (auto& [id, bytes] : image.files) {
        if (id.sort == Sort::snapshot) stock.snapshot = std::max(stock.snapshot, bytes);
        if (id.sort != Sort::snapshot) files[id] = {id, bytes, 0};
    }
    for (const Entry& e : image.open) {
        if (e.where.bytes > 0) files[e.where.file].live += e.where.bytes;
    }
    std::vector<FileStock> all;
    for (auto& [id, f] : files) all.push_back(f);
    auto chosen = keeper.emptied(all, stock);
    std::set<FileId> emptied(chosen.begin(), chosen.end());

    auto fail = [&](Output& out) {
        pass.trouble = out.trouble();
        out.undo();
        return pass;
    };
    FileId keptId{Sort::kept, upTo}, openId{Sort::snapshot, upTo};
    Bodies bodies(disk);
    std::optional<Output> kept;
    if (!emptied.empty()) kept.emplace(disk, nameOf(keptId), Header{Sort::kept, upTo, 1, salt, image.epoch});
    for (Entry& e : image.open) {
        if (!kept || emptied.count(e.where.file) == 0 || e.where.bytes == 0) continue;
        auto payload = bodies.payload(e.serial, e.where);
        if (!payload) {
            Damage d{DamageKind::body, e.where.file, e.where.offset, e.where.bytes, 0};
            int64_t written = 0;
            setAside(disk, d, keeper.segmentBytes() * 2, written);
            pass.written += blocks(written), pass.damages.push_back(d);
            e.where.bytes = 0;
        } else {
            e.where = {keptId, kept->add(*payload), e.where.bytes};
        }
        pass.moved.emplace_back(e.serial, e.where);
        if (kept->trouble() != Trouble::none) return fail(*kept);
    }
    if (kept && !kept->finish()) return fail(*kept);

    Output snapshot(disk, nameOf(openId) + kUnfinished,
                    Header{Sort::snapshot, upTo, 1, salt * 0x9e3779b97f4a7c15u + 1, image.epoch});
    std::vector<uint64_t> serials;
    for (const Entry& e : image.open) serials.push_back(e.serial);
    auto list = listPayloads(serials);
    for (const std::string& part : list) snapshot.add(part);
    for (const Entry& e : image.open) snapshot.add(entryPayload(e));
    for (const std::string& part : list) snapshot.add(part);
    snapshot.add(endPayload(image.nextSequence - 1, image.nextSerial, image.open.size()));
    if (!snapshot.finish()) {
        if (kept) kept->undo();
        return fail(snapshot);
    }
    // The names of what the snapshot speaks of hold before its own does.
    if (kept && !disk.syncFolder()) {
        pass.trouble = Trouble::broken;
        return pass;
    }
    if (!disk.rename(nameOf(openId) + kUnfinished, nameOf(openId)) || !disk.syncFolder()) {
        // Which of the two names holds is not known, so nothing older may go.
        pass.trouble = Trouble::broken;
        return pass;
    }
    pass.snapshotBytes = snapshot.bytes();
    pass.written += blocks(snapshot.bytes()) + (kept ? blocks(kept->bytes()) : 0);
    onMoved(pass.moved);
    std::set<FileId> needed;
    for (const Entry& e : image.open) {
        if (e.where.bytes > 0) needed.insert(e.where.file);
    }
    for (auto& [id, bytes] : image.files) {
        if (needed.count(id) > 0 || id == openId || id == keptId) continue;
        if (!disk.remove(nameOf(id))) continue;
        pass.freed += blocks(bytes), pass.removed.push_back(id);
    }
    pass.done = true;
    return pass;
}

}  // namespace petrelpond::store
