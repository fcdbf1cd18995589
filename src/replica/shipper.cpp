#include "src/replica/shipper.hpp"

#include <algorithm>
#include <chrono>
#include <random>

namespace petrelpond::replica {

namespace {

constexpr Span kConnectWithin = Span::millis(500), kSilence = Span::seconds(3);
constexpr auto kStill = std::chrono::milliseconds(500);
constexpr size_t kTogether = 256 * 1024, kAhead = 4 * 1024 * 1024;
constexpr size_t kTextsARound = 256;  // so that decisions wait for no more than that

}  // namespace

Shipper::Shipper(Options options) : options_(std::move(options)) {}

Shipper::~Shipper() {
    {
        std::lock_guard lock(mutex_);
        stop_ = true;
        if (fd_ >= 0) shutDown(fd_);
    }
    come_.notify_all();
    if (thread_.joinable()) thread_.join();
}

void Shipper::begin(uint64_t epoch) {
    epoch_ = epoch;
    thread_ = std::thread([this] { run(); });
}

void Shipper::push(uint64_t sequence, const Frame& frame) {
    out_.push_back({sequence, encode(frame)});
    bytes_ += out_.back().bytes.size();
    come_.notify_one();
}

void Shipper::mirror(uint64_t sequence, std::string_view payload) {
    std::lock_guard lock(mutex_);
    // Before all that is open has begun to go, what comes is part of that; with no standby it would pile up.
    if (all_ == All::wanted || fenced_) return;
    if (bytes_ > options_.mostWaiting) {
        out_.clear(), sent_ = 0, bytes_ = 0, all_ = All::wanted, broken_ = true;
        if (fd_ >= 0) shutDown(fd_);
        return stepped(false);
    }
    push(sequence, {Frame::What::record, sequence, 0, std::string(payload)});
}

void Shipper::stepped(bool in) {
    if (inStep_.exchange(in) == in) return;
    options_.report->say(in ? Level::info : Level::warning,
                         in ? "standby " + options_.to + " holds all that is open"
                            : "standby " + options_.to + " is lost; nothing is taken on or sent without it");
}

// What has no sequence is sent anew as a whole where it is needed again, so it is not kept once it is sent.
void Shipper::trim() {
    while (sent_ > 0 && out_.front().sequence == 0) {
        bytes_ -= out_.front().bytes.size(), out_.pop_front(), --sent_;
    }
}

void Shipper::feed(Store& store) {
    std::unique_lock lock(mutex_);
    if (!connected_ || all_ == All::none) return;
    if (all_ == All::wanted) {
        all_ = All::going;
        push(0, {Frame::What::begin, 0, 0, ""});
        ids_.clear(), fed_ = 0;
        for (auto& [id, text] : store.texts()) ids_.push_back(id);
    }
    if (bytes_ > kAhead) return;
    lock.unlock();
    std::vector<std::string> payloads;
    for (size_t i = 0; i < kTextsARound && fed_ < ids_.size(); ++i) {
        for (std::string& payload : store.wholeOf(ids_[fed_++])) payloads.push_back(std::move(payload));
    }
    lock.lock();
    if (all_ != All::going) return;
    for (std::string& payload : payloads) push(0, {Frame::What::record, 0, 0, std::move(payload)});
    if (fed_ < ids_.size()) return;
    all_ = All::none, allEnds_ = store.last(), ids_.clear();
    push(store.last(), {Frame::What::end, store.last(), 0, ""});
}

void Shipper::run() {
    std::mt19937 chance(static_cast<uint32_t>(options_.session));
    auto address = Address::parse(options_.to);
    for (int failures = 0;; ++failures) {
        {
            std::unique_lock lock(mutex_);
            // Doubling, jittered, and soon again: all service waits for it.
            int most = std::min(50 << std::min(failures, 5), 1000);
            auto pause = std::chrono::milliseconds(failures == 0 ? 0 : most / 2 + static_cast<int>(chance() % static_cast<unsigned>(most)));
            come_.wait_for(lock, pause, [&] { return stop_; });
            if (stop_ || fenced_) return;
        }
        Socket socket;
        if (!address || makeSocket(socket) != Connect::up) continue;
        if (connectSocket(*address, kConnectWithin, socket) != Connect::up) continue;
        socket.sendNagless();
        socket.waitAtMost(kSilence);
        if (talk(socket)) failures = 0;
        std::lock_guard lock(mutex_);
        connected_ = false, fd_ = -1, sent_ = 0;
        stepped(false);
        options_.wake();
    }
}

// False: it came to nothing.
bool Shipper::talk(const Socket& socket) {
    if (!socket.sendAll(encode({Frame::What::hello, epoch_, options_.session, ""}))) return false;
    Frames frames;
    std::optional<Frame> answer;
    char part[4096];
    while (!answer && !frames.odd()) {
        long n = socket.receive(part, sizeof part);
        if (n <= 0) return false;
        frames.add(std::string_view(part, static_cast<size_t>(n)));
        answer = frames.next();
    }
    if (!answer) return false;
    if (answer->what == Frame::What::refused) {
        fenced_ = true;
        options_.report->say(Level::error, "standby " + options_.to + " follows epoch " +
                                               std::to_string(answer->number) + ", ours is " +
                                               std::to_string(epoch_) + ": another is primary, nothing more is sent");
        options_.wake();
        return false;
    }
    if (answer->what != Frame::What::welcome) return false;
    {
        std::lock_guard lock(mutex_);
        // It goes on where it was if what it lacks still lies here.
        bool goesOn = answer->number == 1 && answer->second >= acked_ && all_ == All::none && allEnds_ > 0;
        if (!goesOn) out_.clear(), bytes_ = 0, all_ = All::wanted;
        while (goesOn && !out_.empty() && out_.front().sequence <= answer->second) {
            bytes_ -= out_.front().bytes.size(), out_.pop_front();
        }
        sent_ = 0, connected_ = true, broken_ = false, fd_ = socket.descriptor();
        if (goesOn) acked_ = answer->second, stepped(true);
    }
    options_.wake();
    std::thread hearing([&] { hear(socket); });
    bool fine = true;
    while (fine) {
        std::string bytes;
        bool wants = false;
        {
            std::unique_lock lock(mutex_);
            come_.wait_for(lock, kStill, [&] { return stop_ || broken_ || sent_ < out_.size(); });
            if (stop_ || broken_) break;
            while (sent_ < out_.size() && bytes.size() < kTogether) bytes += out_[sent_++].bytes;
            wants = all_ == All::going;
            trim();
        }
        if (bytes.empty()) bytes = encode({Frame::What::still, 0, 0, ""});
        fine = socket.sendAll(bytes);
        if (wants) options_.wake();
    }
    shutDown(socket.descriptor());
    hearing.join();
    return true;
}

void Shipper::hear(const Socket& socket) {
    Frames frames;
    char part[4096];
    while (true) {
        long n = socket.receive(part, sizeof part);
        if (n <= 0) break;
        frames.add(std::string_view(part, static_cast<size_t>(n)));
        bool news = false;
        while (auto f = frames.next()) {
            if (f->what == Frame::What::refused) fenced_ = true, news = true;
            if (f->what != Frame::What::ack) continue;
            std::lock_guard lock(mutex_);
            // Those of `begin` have no sequence: they go with the first that has one behind them.
            size_t done = 0;
            for (size_t i = 0; i < sent_; ++i) {
                if (out_[i].sequence > 0 && out_[i].sequence <= f->number) done = i + 1;
                if (out_[i].sequence > f->number) break;
            }
            for (size_t i = 0; i < done; ++i) bytes_ -= out_[i].bytes.size();
            out_.erase(out_.begin(), out_.begin() + static_cast<long>(done));
            sent_ -= done;
            trim();
            if (f->second == 1 && all_ == All::none && f->number >= allEnds_) {
                acked_ = std::max<uint64_t>(acked_, f->number), stepped(true), news = true;
            }
            news = news || all_ == All::going;
        }
        if (news) options_.wake();
        if (frames.odd() || fenced_) break;
    }
    std::lock_guard lock(mutex_);
    broken_ = true;
    come_.notify_all();
}

}  // namespace petrelpond::replica
