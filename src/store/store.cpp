#include "src/store/store.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/store/old_format.hpp"

namespace petrelpond {

using store::blocks;
using store::Need;
using store::Trouble;

namespace {

constexpr const char* kReserve = "reserve";
constexpr size_t kMovedTogether = 256;
constexpr auto kLookAgain = std::chrono::milliseconds(500);  // after room that a disk had no more

}  // namespace

Store::Store(std::string folder, int64_t mostBytes)
    : Store(
          [&] {
              std::string problem;
              return store::realDisk(folder, true, problem);
          }(),
          [&] {
              Options options;
              options.most = mostBytes;
              return options;
          }()) {}

Store::Store(std::unique_ptr<store::Disk> disk, Options options)
    : disk_(std::move(disk)), options_(std::move(options)), keeper_(options_.most, options_.reserve) {
    uint64_t seed = options_.seed;
    if (seed == 0) {
        std::random_device chance;
        seed = static_cast<uint64_t>(chance()) << 32 | chance();
    }
    salts_.seed(seed), passSalts_.seed(seed ^ 0x5bf03635u);
    if (disk_) open();
    if (!works_) return;
    writtenTo_ = sequence_ - 1;
    growReserve();
    if (options_.beside) upkeeper_ = std::thread([this] { upkeepThread(); });
    if (options_.durability == Durability::grouped) syncer_ = std::thread([this] { syncThread(); });
}

Store::~Store() {
    {
        std::lock_guard lock(mutex_);
        stop_ = true;
    }
    told_.notify_all(), toSyncNow_.notify_all();
    if (upkeeper_.joinable()) upkeeper_.join();
    if (syncer_.joinable()) syncer_.join();
}

void Store::open() {
    store::Image image = store::readImage(*disk_);
    if (!image.refused.empty()) return say(true, "the store is left as it is: " + image.refused);
    works_ = true;
    // What an upkeep that was cut off was writing has no name yet that counts. And what the last process set
    // aside is given back first: a start on a full disk has to write.
    for (const std::string& name : disk_->list()) {
        if (name.ends_with(".new") || name == kReserve) disk_->remove(name);
    }
    int64_t aside = 0;
    for (const store::Damage& d : image.damages) {
        store::Remedy remedy = store::Keeper::remedyFor(d.kind);
        int64_t written = 0;
        bool kept = remedy.setAside && store::setAside(*disk_, d, options_.most / 20 - aside, written);
        aside += written;
        if (d.kind == store::DamageKind::torn) opening_.cut += d.bytes;
        if (d.kind == store::DamageKind::torn && d.bytes == 0) continue;  // a segment that was to be begun
        if (remedy.warn) ++damages_;
        say(remedy.warn, "store, " + inWords(d) + (kept ? ", set aside" : ""));
    }
    opening_.damages = image.damages, opening_.records = image.records;
    opening_.suspect = image.suspect.size(), opening_.orphans = image.orphans;
    if (image.suspect.size() > 0) {
        say(true, "store, damage may hide records of " + std::to_string(image.suspect.size()) +
                      " texts: taken to have run, perhaps");
    }
    if (image.orphans > 0) {
        say(true, "store, " + std::to_string(image.orphans) + " records of texts that nothing is known of");
    }
    sequence_ = image.nextSequence, nextSerial_ = image.nextSerial;
    nextNumber_ = image.nextNumber, epoch_ = image.epoch;
    bodies_ = std::make_unique<store::Bodies>(*disk_);
    texts_.reserve(image.open.size()), places_.reserve(image.open.size());
    std::vector<std::string> suspects;
    for (store::Entry& e : image.open) {
        Text t;
        t.serial = e.serial, t.destination = std::move(e.destination), t.product = std::move(e.product);
        t.mark = std::move(e.mark), t.key = std::move(e.key);
        t.validUntil = e.validUntil, t.takenAt = e.takenAt;
        store::State& s = e.state;
        t.submits = s.submits, t.out = s.out, t.mayHaveRun = s.mayHaveRun, t.startedAt = s.startedAt;
        t.firstMayHaveRun = s.firstMayHaveRun, t.startedIn = std::move(s.startedIn);
        t.ranIn = std::move(s.ranIn), t.final = s.final, t.pause = s.pause;
        if (!image.suspect.empty() && image.suspect.count(t.serial) > 0) suspects.push_back(e.id);
        places_.emplace_back(t.serial, e.where);
        live_ += store::Keeper::lifeOf(e.id.size(), e.where.bytes);
        texts_.emplace(std::move(e.id), std::move(t));
    }
    openCount_ = static_cast<int64_t>(texts_.size());
    for (const std::string& name : disk_->list()) {
        if (auto file = disk_->open(name)) total_ += blocks(file->size());
    }
    for (auto& [id, bytes] : image.files) {
        if (id.sort == store::Sort::snapshot) snapshotBytes_ = std::max(snapshotBytes_, bytes);
        if (id.sort == store::Sort::log && id.number > image.covered) {
            sealed_ = std::max(sealed_, id.number), sealedBytes_ += bytes;
        }
    }
    if (!openNext()) {
        works_ = false;
        return say(true, "the store has no room for a new segment");
    }
    // From here on a second start finds for these what this one took to be.
    for (const std::string& id : suspects) keepState(id, texts_.at(id), Need::end);
    upgrade();
}

// A folder of the format before this one. It goes once all that is open in it stands, synced, in a segment.
void Store::upgrade() {
    auto old = disk_->open(store::kOldName);
    if (!old) return;
    std::string bytes(static_cast<size_t>(old->size()), '\0');
    if (old->read(0, bytes.data(), bytes.size()) != static_cast<int64_t>(bytes.size())) {
        works_ = false;
        return say(true, "the store's file of the earlier format can't be read");
    }
    store::OldImage image = store::readOld(bytes);
    for (store::OldText& o : image.open) {
        Text t;
        const store::State& s = o.entry.state;
        t.destination = o.entry.destination, t.product = o.entry.product, t.mark = o.entry.mark;
        t.key = o.entry.key, t.validUntil = o.entry.validUntil, t.takenAt = s.startedAt;
        t.submits = s.submits, t.out = s.out, t.mayHaveRun = s.mayHaveRun, t.startedAt = s.startedAt;
        t.firstMayHaveRun = s.firstMayHaveRun, t.startedIn = s.startedIn, t.ranIn = s.ranIn;
        t.final = s.final, t.pause = s.pause;
        t.body = std::make_shared<const std::string>(std::move(o.body));
        // One that is there is of an upgrade that was cut off, perhaps before its state was written.
        auto there = texts_.find(o.entry.id);
        bool fresh = there == texts_.end();
        t.serial = fresh ? nextSerial_++ : there->second.serial;
        if ((fresh && !write(Need::end, store::takenPayload(entryOf(o.entry.id, t), *t.body))) ||
            !write(Need::end, store::statePayload(t.serial, stateOf(t)))) {
            works_ = false;
            return say(true, "no room to take over the store of the earlier format; nothing of it was changed");
        }
        if (fresh) account(t, o.entry.id, 1);
        texts_[o.entry.id] = std::move(t);
        ++opening_.upgraded;
    }
    openCount_ = static_cast<int64_t>(texts_.size());
    if (image.spoilt > 0) {
        ++damages_;
        Trouble trouble = Trouble::none;
        auto aside = disk_->create("damaged-texts", trouble);
        bool kept = aside && aside->append(bytes) == Trouble::none && aside->sync();
        say(true, "store of the earlier format: " + std::to_string(image.spoilt) + " spoilt bytes" +
                      (kept ? ", the file is set aside" : ""));
    }
    opening_.cut += image.torn;
    if (!active_->sync() || !disk_->syncFolder()) {
        works_ = false;
        return say(true, "the store of the earlier format could not be taken over");
    }
    old = nullptr;
    disk_->remove(store::kOldName);
    say(false, "store: " + std::to_string(opening_.upgraded) + " texts taken over from the earlier format");
}

store::Entry Store::entryOf(const std::string& id, const Text& t) const {
    store::Entry e;
    e.serial = t.serial, e.id = id, e.destination = t.destination, e.product = t.product;
    e.mark = t.mark, e.key = t.key, e.validUntil = t.validUntil, e.takenAt = t.takenAt;
    return e;
}
store::State Store::stateOf(const Text& t) {
    return {t.submits,   t.out,   t.mayHaveRun, t.startedAt, t.firstMayHaveRun,
            t.startedIn, t.ranIn, t.final,      t.pause};
}

void Store::account(const Text& text, const std::string& id, int sign) {
    size_t body = 0;
    if (text.body) {
        body = text.body->size();
    } else {
        std::lock_guard lock(mutex_);
        if (const store::Where* at = placeOf(text.serial)) body = at->bytes;
    }
    live_ += sign * store::Keeper::lifeOf(id.size(), body);
    openCount_ += sign;
}

bool Store::roomFor(size_t idBytes, size_t bodyBytes) {
    if (!works()) return false;
    if (owed() > 0) payOwed();
    return owed() == 0 && keeper_.takes(live_, idBytes, bodyBytes, reserve_, openCount_) &&
           keeper_.admits(Need::text, total_,
                          static_cast<int64_t>(idBytes + bodyBytes + store::kRecordHead) + 256);
}

void Store::fail(const std::string& words) {
    if (!failed_.exchange(true)) say(true, "store: " + words + "; nothing more is taken on, and nothing sent");
}

bool Store::openNext() {
    Trouble trouble = Trouble::none;
    // The thread beside has made it ahead, where it could: a name in the folder may take long. A number that
    // it is about to use is left to it.
    std::unique_ptr<store::File> file;
    uint32_t number = 0;
    {
        std::lock_guard lock(mutex_);
        file = std::move(ahead_);
        if (!file && claimed_ == nextNumber_) ++nextNumber_;
        number = nextNumber_++;
    }
    store::Header header{store::Sort::log, number, sequence_, salts_(), epoch_};
    std::string name = store::nameOf({store::Sort::log, number});
    if (!file) file = disk_->create(name, trouble);
    if (file) trouble = file->append(encode(header));
    bool synced = options_.durability == Durability::written;
    if (trouble == Trouble::none && !synced) synced = file->sync() && disk_->syncFolder();
    if (!file || trouble != Trouble::none || !synced) {
        if (file) disk_->remove(name);
        return false;
    }
    {
        std::lock_guard lock(mutex_);
        wantsAhead_ = true;
        if (active_) sealed_ = header_.number, sealedBytes_ += activeBytes_;
        active_ = std::move(file);
        if (options_.durability == Durability::grouped) toSync_.push_back(active_);
    }
    if (options_.beside) told_.notify_all();
    header_ = header;
    activeBytes_ = store::kHeaderBytes;
    total_ += blocks(activeBytes_);
    return true;
}

void Store::payOwed() {
    if (paying_ || failed_) return;
    paying_ = true;
    while (!owedOver_.empty() && write(Need::end, store::overPayload(owedOver_.back()))) owedOver_.pop_back();
    while (!owed_.empty()) {
        auto found = texts_.find(owed_.back());
        if (found != texts_.end() &&
            !write(Need::end, store::statePayload(found->second.serial, stateOf(found->second)))) {
            break;
        }
        owed_.pop_back();
    }
    paying_ = false;
}

bool Store::append(Need need, const std::string& payload) {
    if (owed() > 0) payOwed();
    return write(need, payload);
}

bool Store::write(Need need, const std::string& payload) {
    if (!works()) return false;
    auto bytes = static_cast<int64_t>(store::kRecordHead + payload.size());
    if (!keeper_.admits(need, total_, bytes)) {
        if (options_.beside) told_.notify_all();
        return false;
    }
    // Where there is no room for a new segment the old one goes on for a while.
    bool grown = activeBytes_ > store::kHeaderBytes && activeBytes_ + bytes > keeper_.segmentBytes();
    if (grown) openNext();
    std::string record = encodeRecord(header_, sequence_, payload);
    for (int i = 0; i < 2; ++i) {
        Trouble trouble = active_->append(record);
        if (trouble == Trouble::none) break;
        // Half a record would hide what comes after it.
        if (!active_->cut(activeBytes_) && !openNext()) return fail("a half record can't be cut"), false;
        if (i > 0 || trouble != Trouble::full || need == Need::text || reserve_ == 0) return false;
        // The disk is full: what was set aside is for the ends of what is held.
        if (!disk_->setAside(kReserve, 0)) return false;
        total_ -= blocks(reserve_.exchange(0));
        say(true, "store: the disk is full, its reserve is in use; new texts are refused until there is room");
    }
    total_ += blocks(activeBytes_ + bytes) - blocks(activeBytes_);
    activeBytes_ += bytes, appended_ += bytes;
    uint64_t sequence = sequence_++;
    if (options_.durability == Durability::each && !active_->sync()) {
        return fail("what was written could not be synced"), false;
    }
    if (options_.mirror) options_.mirror(sequence, payload);
    if (options_.durability == Durability::grouped) {
        {
            std::lock_guard lock(mutex_);
            writtenTo_ = sequence;
        }
        toSyncNow_.notify_one();
    }
    return true;
}

uint64_t Store::safe() const {
    return options_.durability == Durability::grouped ? synced_.load() : sequence_ - 1;
}

bool Store::taken(const std::string& id, Text text) {
    text.serial = nextSerial_++;
    if (!append(Need::text, store::takenPayload(entryOf(id, text), *text.body))) return false;
    account(text, id, 1);
    texts_[id] = std::move(text);
    return true;
}

bool Store::keepState(const std::string& id, const Text& text, Need need) {
    if (append(need, store::statePayload(text.serial, stateOf(text)))) return true;
    if (need == Need::end) owed_.push_back(id);
    return false;
}

bool Store::begun(const std::string& id, int64_t at, const std::string& zone) {
    auto found = texts_.find(id);
    if (found == texts_.end()) return false;
    Text& t = found->second;
    int64_t atBefore = std::exchange(t.startedAt, at);
    std::string inBefore = std::exchange(t.startedIn, zone);
    bool outBefore = std::exchange(t.out, true);
    ++t.submits;
    if (keepState(id, t, Need::submit)) return true;
    --t.submits, t.out = outBefore, t.startedAt = atBefore, t.startedIn = std::move(inBefore);
    return false;
}

bool Store::ended(const std::string& id, bool mayHaveRun) {
    auto found = texts_.find(id);
    if (found == texts_.end()) return false;
    Text& t = found->second;
    if (mayHaveRun && !t.mayHaveRun)
        t.mayHaveRun = true, t.firstMayHaveRun = t.startedAt, t.ranIn = t.startedIn;
    t.out = false;
    return keepState(id, t, Need::end);
}

bool Store::over(const std::string& id) {
    auto found = texts_.find(id);
    if (found == texts_.end()) return true;
    uint64_t serial = found->second.serial;
    account(found->second, id, -1);
    {
        std::lock_guard lock(mutex_);
        if (store::Where* at = placeOf(serial)) *at = {};
    }
    texts_.erase(found);
    if (append(Need::end, store::overPayload(serial))) return true;
    owedOver_.push_back(serial);
    return false;
}

bool Store::final(const std::string& id, Final final, int64_t pause) {
    auto found = texts_.find(id);
    if (found == texts_.end()) return false;
    found->second.final = final, found->second.pause = pause;
    return keepState(id, found->second, Need::end);
}

std::shared_ptr<const std::string> Store::body(const std::string& id) {
    auto found = texts_.find(id);
    if (found == texts_.end()) return nullptr;
    Text& t = found->second;
    if (t.body) return t.body;
    std::lock_guard lock(mutex_);
    store::Where* at = placeOf(t.serial);
    if (!at) return nullptr;
    auto payload = bodies_->payload(t.serial, *at);
    if (!payload) {
        ++damages_;
        store::Damage d{store::DamageKind::body, at->file, at->offset, at->bytes, 0};
        int64_t written = 0;
        store::setAside(*disk_, d, options_.most / 20, written);
        total_ += blocks(written);
        say(true, "store, " + inWords(d) + ", text " + id);
        return nullptr;
    }
    t.body = std::make_shared<const std::string>(store::read(*payload).body);
    return t.body;
}

bool Store::follow(std::string_view payload, std::string* id) {
    store::Said said = store::read(payload);
    if (followed_.empty()) {
        for (auto& [known, text] : texts_) followed_[text.serial] = known;
    }
    auto known = followed_.find(said.serial);
    if (said.what == store::Said::What::taken) {
        *id = said.entry.id;
        auto same = texts_.find(*id);
        if (same != texts_.end() && same->second.serial == said.serial) return true;
        // Of another life of the primary, under the same id.
        if (same != texts_.end() && !over(*id)) return false;
        if (!write(Need::text, std::string(payload))) return false;
        Text t;
        t.serial = said.serial, t.destination = std::move(said.entry.destination);
        t.product = std::move(said.entry.product), t.mark = std::move(said.entry.mark);
        t.key = std::move(said.entry.key), t.validUntil = said.entry.validUntil, t.takenAt = said.entry.takenAt;
        auto bytes = static_cast<int64_t>(store::kRecordHead + payload.size());
        {
            std::lock_guard lock(mutex_);
            store::Where where{{store::Sort::log, header_.number}, activeBytes_ - bytes,
                               static_cast<uint32_t>(bytes)};
            auto behind = std::upper_bound(places_.begin(), places_.end(), t.serial,
                                           [](uint64_t serial, const auto& p) { return serial < p.first; });
            places_.insert(behind, {t.serial, where});
        }
        account(t, *id, 1);
        nextSerial_ = std::max(nextSerial_, t.serial + 1);
        followed_[t.serial] = *id;
        texts_[*id] = std::move(t);
        return true;
    }
    if (said.what != store::Said::What::state && said.what != store::Said::What::over) return false;
    nextSerial_ = std::max(nextSerial_, said.serial + 1);
    if (known == followed_.end() || texts_.count(known->second) == 0) return true;
    *id = known->second;
    if (said.what == store::Said::What::over) {
        followed_.erase(known);
        return over(*id);
    }
    Text& t = texts_.at(*id);
    store::State& s = said.state;
    t.submits = s.submits, t.out = s.out, t.mayHaveRun = s.mayHaveRun, t.startedAt = s.startedAt;
    t.firstMayHaveRun = s.firstMayHaveRun, t.startedIn = std::move(s.startedIn), t.ranIn = std::move(s.ranIn);
    t.final = s.final, t.pause = s.pause;
    return write(Need::end, std::string(payload));
}

std::vector<std::string> Store::wholeOf(const std::string& id) {
    auto found = texts_.find(id);
    auto bytes = found == texts_.end() ? nullptr : body(id);
    if (!bytes) return {};
    const Text& t = found->second;
    return {store::takenPayload(entryOf(id, t), *bytes), store::statePayload(t.serial, stateOf(t))};
}

bool Store::raiseEpoch(uint64_t epoch) {
    if (epoch <= epoch_) return true;
    epoch_ = epoch;
    // It stands in the header of a new segment.
    return openNext() && active_->sync() && disk_->syncFolder();
}

bool Store::upkeepNow(bool always) {
    growReserve();
    return pass(always);
}

store::Where* Store::placeOf(uint64_t serial) {
    auto at = std::lower_bound(places_.begin(), places_.end(), serial,
                               [](const auto& p, uint64_t s) { return p.first < s; });
    return at != places_.end() && at->first == serial ? &at->second : nullptr;
}

bool Store::pass(bool always) {
    uint32_t upTo = 0;
    store::Stock stock;
    uint64_t salt = 0;
    {
        std::lock_guard lock(mutex_);
        stock = {total_, sealedBytes_, snapshotBytes_}, upTo = sealed_;
        salt = passSalts_();
    }
    if (upTo == 0 || (!always && !keeper_.upkeepDue(stock))) return false;
    store::Pass done = store::passOver(*disk_, keeper_, upTo, salt, total_, [&](const auto& moved) {
        // Some at a time, as the store's owner waits for the lock.
        for (size_t i = 0; i < moved.size(); i += kMovedTogether) {
            std::lock_guard lock(mutex_);
            if (places_.empty()) return;
            for (size_t j = i; j < std::min(moved.size(), i + kMovedTogether); ++j) {
                if (store::Where* at = placeOf(moved[j].first); at && at->bytes > 0) *at = moved[j].second;
            }
        }
    });
    for (const store::Damage& d : done.damages) {
        ++damages_;
        say(true, "store, upkeep: " + inWords(d));
    }
    {
        std::lock_guard lock(mutex_);
        for (store::FileId id : done.removed) bodies_->forget(id);
        std::erase_if(places_, [](const auto& p) { return p.second.bytes == 0; });
        total_ += done.written - done.freed, upkept_ += done.written;
        if (done.done) {
            snapshotBytes_ = done.snapshotBytes;
            if (sealed_ == upTo) sealed_ = 0, sealedBytes_ = 0;
            sealedBytes_ = std::max<int64_t>(sealedBytes_ - stock.sinceSnapshot, 0);
        }
    }
    if (done.done) ++passes_;
    if (done.trouble == Trouble::broken) say(true, "store: upkeep failed, the disk does not take its files");
    return done.done;
}

// The reserve follows what is open; where the disk has no room for it new texts are refused till it has.
void Store::growReserve() {
    int64_t wanted = keeper_.reserveFor(openCount_), has = reserve_;
    if (wanted == 0 || failed_) return;
    // Shrunk only when it is far too large: an end must never find less than it was promised.
    if (wanted <= has && has < 2 * wanted) return;
    if (!keeper_.admits(Need::submit, total_, wanted - has)) return;
    if (!disk_->setAside(kReserve, wanted)) {
        // One that was there has gone with the try.
        total_ -= blocks(has), reserve_ = 0;
        return;
    }
    total_ += blocks(wanted) - blocks(has);
    reserve_ = wanted;
}

void Store::makeAhead() {
    uint32_t number = 0;
    {
        std::lock_guard lock(mutex_);
        if (!std::exchange(wantsAhead_, false)) return;
        number = claimed_ = nextNumber_;
    }
    std::string name = store::nameOf({store::Sort::log, number});
    Trouble trouble = Trouble::none;
    auto file = disk_->create(name, trouble);
    std::lock_guard lock(mutex_);
    if (number == nextNumber_) {
        ahead_ = std::move(file);
        if (!ahead_) claimed_ = 0;
    } else if (file) {
        disk_->remove(name);
    }
}

void Store::upkeepThread() {
    std::unique_lock lock(mutex_);
    while (!stop_) {
        lock.unlock();
        growReserve();
        makeAhead();
        bool passed = pass(false);
        lock.lock();
        if (!passed && !stop_) told_.wait_for(lock, kLookAgain);
    }
}

void Store::syncThread() {
    std::unique_lock lock(mutex_);
    while (true) {
        toSyncNow_.wait(lock, [&] { return stop_ || writtenTo_ > synced_; });
        if (writtenTo_ <= synced_) return;  // stopped, and nothing is left to be synced
        if (!stop_) {
            lock.unlock();
            std::this_thread::sleep_for(std::chrono::microseconds(options_.gatherFor.inMicros()));
            lock.lock();
        }
        uint64_t to = writtenTo_;
        auto files = toSync_;
        lock.unlock();
        bool fine = !failed_;
        for (const auto& file : files) fine = fine && file->sync();
        lock.lock();
        if (!fine) {
            lock.unlock();
            fail("what was written could not be synced");
            if (options_.onSafe) options_.onSafe();
            return;
        }
        // All but the active one are sealed: nothing more comes to them.
        toSync_.erase(toSync_.begin(), toSync_.begin() + static_cast<long>(files.size()) - 1);
        synced_ = to;
        lock.unlock();
        if (options_.onSafe) options_.onSafe();
        lock.lock();
    }
}

}  // namespace petrelpond
