// What this sender has taken on, in files that outlast the process. Owned by the module's actor; upkeep and
// syncs are done beside it on threads of the store's own.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

#include "petrelpond/time.hpp"
#include "src/store/disk.hpp"
#include "src/store/events.hpp"
#include "src/store/keeper.hpp"
#include "src/store/recovery.hpp"
#include "src/store/upkeep.hpp"

namespace petrelpond {

// When a record counts as kept: once it is written (a killed process loses nothing), once it is synced with
// all that came within a span (lost power loses nothing), or each by itself.
enum class Durability { written, grouped, each };

class Store {
  public:
    using Final = store::Final;
    struct Text {
        uint64_t serial = 0;  // the order in which they were taken on
        std::string destination, product, mark, key;
        int64_t validUntil = 0, takenAt = 0;      // Unix time in microseconds, as all times here
        std::shared_ptr<const std::string> body;  // null after a restart, until it is asked for
        int submits = 0;
        bool out = false, mayHaveRun = false;
        int64_t startedAt = 0,
                firstMayHaveRun = 0;   // of the submit that is out; of the first that may have run
        std::string startedIn, ranIn;  // their zones
        Final final = Final::none;
        int64_t pause = 0;
    };
    using Texts = std::unordered_map<std::string, Text>;
    struct Options {
        int64_t most = 0;  // bytes of all files
        Durability durability = Durability::written;
        Span gatherFor = Span::millis(2);  // how long a sync waits for others, grouped
        bool reserve = false;              // room for all ends is set aside on the disk
        bool beside = true;                // upkeep on a thread of its own; else by upkeepNow()
        uint64_t seed = 0;                 // of the salts; 0: the system's chance
        std::function<void()> onSafe;      // safe() has moved; from another thread
        std::function<void(bool warning, const std::string& words)> say;
        // Every record's bytes go there too, in order, before append returns.
        std::function<void(uint64_t sequence, std::string_view payload)> mirror;
    };
    struct Opening {  // what the start found
        uint64_t suspect = 0, records = 0, upgraded = 0, orphans = 0;
        int64_t cut = 0;
        std::vector<store::Damage> damages;
    };

    Store(std::string folder, int64_t mostBytes);
    Store(std::unique_ptr<store::Disk> disk, Options options);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    const Texts& texts() const { return texts_; }
    // Null where it can't be read any more.
    std::shared_ptr<const std::string> body(const std::string& id);
    // Whether a text may still be taken on, so that its whole life fits.
    bool roomFor(size_t idBytes, size_t bodyBytes);
    // False: it was not written, and the text was not taken on, or its submit must not leave.
    [[nodiscard]] bool taken(const std::string& id, Text text);
    [[nodiscard]] bool begun(const std::string& id, int64_t at, const std::string& zone);
    // These hold at once; false: there was no room to write them, they are owed and written when there is.
    bool ended(const std::string& id, bool mayHaveRun);
    // Delivered, over elsewhere, or told to the platform: nothing is owed any more.
    bool over(const std::string& id);
    bool final(const std::string& id, Final final, int64_t pause);
    void payOwed();  // writes what is owed, as far as there is room
    size_t owed() const { return owed_.size() + owedOver_.size(); }

    // As a standby: a payload of the primary's store is kept as it is. What is known already, or of a text that
    // is not, changes nothing. id: of its text. False: it could not be written, or makes no sense.
    [[nodiscard]] bool follow(std::string_view payload, std::string* id);
    // A text as payloads: what it is with its body, and its state. Empty where it is not open or can't be read.
    std::vector<std::string> wholeOf(const std::string& id);
    [[nodiscard]] bool raiseEpoch(uint64_t epoch);  // holds, synced, once it is true

    void limit(int64_t most) { keeper_.limit(most); }  // bytes of all files from now on
    uint64_t last() const { return sequence_ - 1; }  // the sequence of the last record written
    uint64_t safe() const;                           // up to which they are kept, by the durability asked for
    int64_t size() const { return total_; }          // bytes on the disk, in whole blocks
    long compactions() const { return passes_; }
    long damages() const { return damages_; }
    bool works() const { return works_ && !failed_; }
    const Opening& opening() const { return opening_; }
    uint64_t epoch() const { return epoch_; }
    int64_t bytesAppended() const { return appended_; }
    int64_t bytesByUpkeep() const { return upkept_; }
    bool upkeepNow(bool always = false);  // a pass, if one is due

  private:
    void open();
    void upgrade();
    bool append(store::Need need, const std::string& payload);
    bool write(store::Need need, const std::string& payload);
    bool openNext();
    void account(const Text& text, const std::string& id, int sign);
    store::Entry entryOf(const std::string& id, const Text& text) const;
    static store::State stateOf(const Text& text);
    bool keepState(const std::string& id, const Text& text, store::Need need);
    void fail(const std::string& words);
    void say(bool warning, const std::string& words) const {
        if (options_.say) options_.say(warning, words);
    }
    bool pass(bool always);
    void upkeepThread();
    void syncThread();
    void growReserve();
    store::Where* placeOf(uint64_t serial);
    void makeAhead();

    std::unique_ptr<store::Disk> disk_;
    Options options_;
    store::Keeper keeper_;
    Texts texts_;
    Opening opening_;
    std::shared_ptr<store::File> active_;
    store::Header header_;
    int64_t activeBytes_ = 0, live_ = 0, appended_ = 0;
    uint64_t sequence_ = 1, nextSerial_ = 1, epoch_ = 1;
    uint32_t nextNumber_ = 1;
    std::unordered_map<uint64_t, std::string> followed_;  // ids by serial, of a standby
    std::vector<std::string> owed_;       // ids whose state is not written
    std::vector<uint64_t> owedOver_;      // serials that are over, not written
    bool works_ = false, paying_ = false;
    std::mt19937_64 salts_, passSalts_;

    // Of the threads beside.
    mutable std::mutex mutex_;
    std::condition_variable told_, toSyncNow_;
    std::vector<std::pair<uint64_t, store::Where>> places_;  // of bodies not in memory, by serial
    std::unique_ptr<store::Bodies> bodies_;
    std::vector<std::shared_ptr<store::File>> toSync_;  // the active log last
    std::unique_ptr<store::File> ahead_;  // the next log, without its header yet
    uint32_t claimed_ = 0, sealed_ = 0;
    bool wantsAhead_ = false;
    int64_t sealedBytes_ = 0, snapshotBytes_ = 0;
    bool stop_ = false;
    std::atomic<int64_t> total_ = 0, reserve_ = 0, upkept_ = 0, openCount_ = 0;
    std::atomic<long> passes_ = 0, damages_ = 0;
    std::atomic<uint64_t> synced_ = 0, writtenTo_ = 0;
    std::atomic<bool> failed_ = false;
    std::thread upkeeper_, syncer_;
};

}  // namespace petrelpond
