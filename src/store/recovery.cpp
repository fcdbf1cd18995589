#include "src/store/recovery.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace petrelpond::store {

namespace {

constexpr const char* kKindWords[] = {"an unfinished record was cut", "spoilt bytes", "missing records",
                                      "no readable header",           "one copy of a header is spoilt",
                                      "a spoilt part of the snapshot", "a body that can't be read"};

// Whether a whole block of it, or its last part of one, is zeros.
bool unwritten(std::string_view bytes, int64_t offset) {
    auto at = static_cast<size_t>((kBlock - offset % kBlock) % kBlock);
    if (at >= bytes.size()) return bytes.find_first_not_of('\0') == std::string_view::npos;
    for (; at < bytes.size(); at += kBlock) {
        if (bytes.substr(at, kBlock).find_first_not_of('\0') == std::string_view::npos) return true;
    }
    return false;
}

class Gathering {
  public:
    Gathering(Disk& disk, std::optional<uint32_t> upTo) : disk_(disk), upTo_(upTo) {}
    Image read();

  private:
    // Beside image_.open, one by one.
    struct Known {
        uint64_t last = 0;  // the sequence of its last record
        bool over = false;
    };
    struct Opened {
        std::unique_ptr<File> file;
        HeaderRead header;
    };

    std::unique_ptr<File> opened(FileId id, Header& header);
    bool readSnapshot(FileId id);
    void readLog(FileId id, bool newest, std::optional<uint64_t> nextFirst);
    // Texts that the snapshot should have and has not, out of the files with bodies.
    void searchBodies(const std::unordered_set<uint64_t>* listed);
    void apply(Said& said, FileId file, const Record& record);
    size_t place(uint64_t serial) const;
    Known* find(uint64_t serial) {
        size_t at = place(serial);
        return at < serials_.size() && serials_[at] == serial ? &known_[at] : nullptr;
    }
    void insert(Entry&& entry, Known known);
    void damaged(Damage damage, std::optional<uint64_t> sequence = std::nullopt);

    Disk& disk_;
    std::optional<uint32_t> upTo_;
    Image image_;
    std::vector<Known> known_;
    std::vector<uint64_t> serials_;  // by themselves, as they are searched for each record
    uint64_t lostAt_ = 0;  // the last sequence that was anybody's and can't be read
    std::map<FileId, HeaderRead> headers_;
};

void Gathering::damaged(Damage damage, std::optional<uint64_t> sequence) {
    if (Keeper::remedyFor(damage.kind).suspect && sequence) lostAt_ = std::max(lostAt_, *sequence);
    image_.damages.push_back(damage);
}

size_t Gathering::place(uint64_t serial) const {
    if (serials_.empty() || serials_.back() < serial) return serials_.size();
    auto at = std::lower_bound(serials_.begin(), serials_.end(), serial);
    return static_cast<size_t>(at - serials_.begin());
}

void Gathering::insert(Entry&& entry, Known known) {
    auto at = static_cast<long>(place(entry.serial));
    serials_.insert(serials_.begin() + at, entry.serial);
    image_.open.insert(image_.open.begin() + at, std::move(entry));
    known_.insert(known_.begin() + at, known);
}

void Gathering::apply(Said& said, FileId file, const Record& record) {
    ++image_.records;
    if (said.what == Said::What::taken) {
        if (find(said.serial)) return;
        Entry& e = said.entry;
        e.where = {file, record.offset, static_cast<uint32_t>(record.bytes())};
        image_.nextSerial = std::max(image_.nextSerial, said.serial + 1);
        insert(std::move(e), {record.sequence, false});
    } else if (said.what == Said::What::state || said.what == Said::What::over) {
        image_.nextSerial = std::max(image_.nextSerial, said.serial + 1);
        Known* k = find(said.serial);
        if (!k) {
            ++image_.orphans;
            return;
        }
        k->last = record.sequence;
        if (said.what == Said::What::over) k->over = true;
        if (said.what == Said::What::state) {
            image_.open[static_cast<size_t>(k - known_.data())].state = std::move(said.state);
        }
    }
}

std::unique_ptr<File> Gathering::opened(FileId id, Header& header) {
    auto file = disk_.open(nameOf(id));
    const HeaderRead& read = headers_[id];
    header = read.header;
    bool fine = read.what == Readable::fine || read.what == Readable::oneCopy;
    return fine ? std::move(file) : nullptr;
}

bool Gathering::readSnapshot(FileId id) {
    Header header;
    auto file = opened(id, header);
    if (!file) return false;
    std::vector<uint64_t> first, second;
    std::optional<SnapshotEnd> end;
    bool entries = false;
    Reader reader(*file, header);
    while (auto record = reader.next()) {
        Said said = store::read(record->payload);
        if (said.what == Said::What::entry) {
            if (!entries) known_.reserve(first.size()), image_.open.reserve(first.size());
            serials_.reserve(first.size());
            entries = true;
            image_.nextSerial = std::max(image_.nextSerial, said.serial + 1);
            insert(std::move(said.entry), {});
        } else if (said.what == Said::What::list) {
            auto& part = entries ? second : first;
            part.insert(part.end(), said.serials.begin(), said.serials.end());
        } else if (said.what == Said::What::end) {
            end = said.end;
        }
    }
    image_.covered = id.number;
    for (const Gap& gap : reader.gaps()) {
        damaged({DamageKind::snapshot, id, gap.offset, gap.bytes, 0});
    }
    uint64_t count = end ? end->entries : ~uint64_t{0};
    if (end) {
        image_.nextSequence = end->lastSequence + 1;
        image_.nextSerial = std::max(image_.nextSerial, end->nextSerial);
    }
    if (!end) {
        // The first log behind it says where it ended.
        damaged({DamageKind::snapshot, id, file->size(), 0, 0});
        image_.nextSequence = 0;
    }
    if (known_.size() == count) return true;
    std::unordered_set<uint64_t> listed;
    bool whole = first.size() == count || second.size() == count || !end;
    for (const auto& part : {first, second}) listed.insert(part.begin(), part.end());
    whole = whole && (end ? listed.size() == count : !listed.empty() && reader.gaps().size() <= 1);
    searchBodies(whole ? &listed : nullptr);
    return true;
}

void Gathering::searchBodies(const std::unordered_set<uint64_t>* listed) {
    std::vector<Entry> found;
    std::unordered_set<uint64_t> have, over;
    for (const Entry& e : image_.open) have.insert(e.serial);
    for (auto& [id, size] : image_.files) {
        bool bodies = id.sort == Sort::kept || (id.sort == Sort::log && id.number <= image_.covered);
        Header header;
        auto file = bodies ? opened(id, header) : nullptr;
        if (!file) continue;
        Reader reader(*file, header);
        while (auto record = reader.next()) {
            Said said = store::read(record->payload);
            if (said.what == Said::What::over) over.insert(said.serial);
            if (said.what != Said::What::taken || (listed && listed->count(said.serial) == 0)) continue;
            if (!have.insert(said.serial).second) continue;
            said.entry.where = {id, record->offset, static_cast<uint32_t>(record->bytes())};
            found.push_back(std::move(said.entry));
        }
    }
    for (Entry& e : found) {
        if (!listed && over.count(e.serial) > 0) continue;
        image_.suspect.insert(e.serial);
        image_.nextSerial = std::max(image_.nextSerial, e.serial + 1);
        insert(std::move(e), {});
    }
    if (listed) {
        size_t lost = 0;
        for (uint64_t serial : *listed) lost += have.count(serial) == 0;
        if (lost > 0) image_.damages.back().records = lost;
    }
}

void Gathering::readLog(FileId id, bool newest, std::optional<uint64_t> nextFirst) {
    Header header;
    auto file = opened(id, header);
    int64_t size = file ? file->size() : 0;
    if (!file) {
        for (auto& [other, bytes] : image_.files) {
            if (other == id) size = bytes;
        }
        // Created, and the process ended before its header was written.
        bool empty = size < kHeaderBytes && (newest || nextFirst == image_.nextSequence);
        damaged({empty ? DamageKind::torn : DamageKind::header, id, 0, size, 0}, image_.nextSequence);
        return;
    }
    if (headers_[id].what == Readable::oneCopy) damaged({DamageKind::oneCopy, id, 0, kHeaderBytes, 0});
    if (image_.nextSequence == 0) image_.nextSequence = header.first;
    if (header.first > image_.nextSequence) {
        damaged({DamageKind::missing, id, 0, 0, header.first - image_.nextSequence}, header.first);
    }
    Reader reader(*file, header);
    while (auto record = reader.next()) {
        if (record->sequence < image_.nextSequence) continue;
        Said said = store::read(record->payload);
        if (said.what == Said::What::odd) {
            damaged({DamageKind::spoilt, id, record->offset, record->bytes(), 1}, record->sequence);
        } else {
            apply(said, id, *record);
        }
        image_.nextSequence = record->sequence + 1;
    }
    image_.nextSequence = std::max(image_.nextSequence, reader.due());
    for (const Gap& gap : reader.gaps()) {
        Damage d{DamageKind::spoilt, id, gap.offset, gap.bytes, 0};
        if (gap.bytes == 0) d.kind = DamageKind::missing;
        if (gap.atEnd) {
            // The head of an unfinished record says that it goes on behind the file's end; or a block of it was
            // never written, and reads as zeros. If the next log goes on where the last whole record ended,
            // none is lost.
            std::string head(static_cast<size_t>(std::min<int64_t>(gap.bytes, kMostRecord)), '\0');
            file->read(gap.offset, head.data(), head.size());
            uint32_t length = 0;
            for (size_t i = 0; i < 4 && head.size() >= kRecordHead; ++i)
                length |= static_cast<uint32_t>(static_cast<unsigned char>(head[4 + i])) << (8 * i);
            std::string whole = encodeRecord(header, 0, "");
            bool marked = head.size() >= 4 && head.compare(0, 4, whole, 0, 4) == 0;
            bool unfinished =
                head.size() < kRecordHead ||
                (marked && length <= kMostRecord && gap.bytes < static_cast<int64_t>(kRecordHead + length)) ||
                unwritten(head, gap.offset);
            bool follows = nextFirst && *nextFirst == reader.due();
            if (follows || (newest && unfinished)) d.kind = DamageKind::torn;
        }
        damaged(d, gap.before);
    }
}

Image Gathering::read() {
    std::vector<FileId> logs, snapshots;
    for (const std::string& name : disk_.list()) {
        auto id = fileNamed(name);
        if (!id) continue;
        if (upTo_ && id->sort == Sort::log && id->number > *upTo_) continue;
        auto file = disk_.open(name);
        headers_[*id] = file ? readHeader(*file) : HeaderRead();
        const HeaderRead& header = headers_[*id];
        if (header.what == Readable::unknownVersion) {
            image_.refused = name + " is of format " + std::to_string(header.version) + ", this program knows " +
                             std::to_string(kVersion) + " and no later one";
            return std::move(image_);
        }
        image_.files.emplace_back(*id, file ? file->size() : 0);
        image_.epoch = std::max(image_.epoch, header.header.epoch);
        image_.nextNumber = std::max(image_.nextNumber, id->number + 1);
        if (id->sort == Sort::log) logs.push_back(*id);
        if (id->sort == Sort::snapshot) snapshots.push_back(*id);
    }
    std::sort(logs.begin(), logs.end());
    std::sort(snapshots.rbegin(), snapshots.rend());
    // Made ahead, and never begun.
    while (!logs.empty() && headers_[logs.back()].what == Readable::unreadable) {
        int64_t size = 0;
        for (auto& [id, bytes] : image_.files) {
            if (id == logs.back()) size = bytes;
        }
        if (size >= kHeaderBytes) break;
        if (size > 0) damaged({DamageKind::torn, logs.back(), 0, size, 0});
        logs.pop_back();
    }
    bool read = false;
    for (FileId id : snapshots) {
        // It was whole and synced before it got its name, and only then did older files go: one that can't be
        // read at all leaves the bodies.
        if ((read = readSnapshot(id))) break;
        damaged({DamageKind::header, id, 0, 0, 0});
        if (image_.covered == 0) image_.covered = id.number;
    }
    if (!read && !snapshots.empty()) image_.nextSequence = 0, searchBodies(nullptr);
    for (size_t i = 0; i < logs.size(); ++i) {
        if (logs[i].number <= image_.covered) continue;
        std::optional<uint64_t> nextFirst;
        for (size_t j = i + 1; j < logs.size() && !nextFirst; ++j) {
            if (headers_[logs[j]].header.first > 0) nextFirst = headers_[logs[j]].header.first;
        }
        readLog(logs[i], i + 1 == logs.size(), nextFirst);
    }
    if (image_.nextSequence == 0) image_.nextSequence = 1;
    std::map<FileId, int64_t> sizes(image_.files.begin(), image_.files.end());
    size_t kept = 0;
    for (size_t i = 0; i < known_.size(); ++i) {
        if (known_[i].over) continue;
        Entry& e = image_.open[i];
        if (known_[i].last < lostAt_) image_.suspect.insert(e.serial);
        bool suspect = !image_.suspect.empty() && image_.suspect.count(e.serial) > 0;
        if (suspect && !e.state.mayHaveRun && e.state.final == Final::none) {
            e.state.mayHaveRun = true;
            e.state.firstMayHaveRun = e.state.startedAt > 0 ? std::min(e.state.startedAt, e.takenAt) : e.takenAt;
            e.state.ranIn = e.state.startedIn;
        }
        auto size = sizes.find(e.where.file);
        bool there = size != sizes.end() && e.where.offset + e.where.bytes <= size->second;
        if (!there && e.where.bytes > 0) {
            damaged({DamageKind::body, e.where.file, e.where.offset, 0, 0});
            e.where.bytes = 0;
        }
        if (kept != i) image_.open[kept] = std::move(e);
        ++kept;
    }
    image_.open.resize(kept);
    return std::move(image_);
}

}  // namespace

std::string inWords(const Damage& d) {
    std::string words = nameOf(d.file) + ": " + kKindWords[static_cast<int>(d.kind)];
    if (d.bytes > 0) words += ", " + std::to_string(d.bytes) + " bytes";
    words += " at " + std::to_string(d.offset);
    if (d.records > 0) words += ", " + std::to_string(d.records) + " records lost";
    return words;
}

Image readImage(Disk& disk, std::optional<uint32_t> upTo) { return Gathering(disk, upTo).read(); }

bool setAside(Disk& disk, const Damage& damage, int64_t most, int64_t& written) {
    written = 0;
    std::string name = "damaged-" + nameOf(damage.file) + "-" + std::to_string(damage.offset);
    for (const std::string& other : disk.list()) {
        if (other == name) return true;
    }
    auto from = disk.open(nameOf(damage.file));
    if (!from || damage.bytes > most) return false;
    std::string bytes(static_cast<size_t>(damage.bytes), '\0');
    if (from->read(damage.offset, bytes.data(), bytes.size()) != damage.bytes) return false;
    Trouble trouble = Trouble::none;
    auto to = disk.create(name, trouble);
    if (to && to->append(bytes) == Trouble::none && to->sync()) return written = damage.bytes, true;
    disk.remove(name);
    return false;
}

std::optional<std::string> Bodies::payload(uint64_t serial, const Where& where) {
    if (where.bytes == 0) return std::nullopt;
    auto [found, fresh] = files_.try_emplace(where.file);
    Open& open = found->second;
    if (fresh) {
        open.file = disk_.open(nameOf(where.file));
        if (open.file) open.header = readHeader(*open.file).header;
    }
    if (!open.file) return std::nullopt;
    auto payload = readRecord(*open.file, open.header, where.offset);
    if (!payload) return std::nullopt;
    Said said = read(*payload);
    return said.what == Said::What::taken && said.serial == serial ? std::move(payload) : std::nullopt;
}

}  // namespace petrelpond::store
