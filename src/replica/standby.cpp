#include "src/replica/standby.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "src/files/whole.hpp"

namespace petrelpond::replica {

namespace {

constexpr Span kSilence = Span::seconds(3);
constexpr size_t kMostConnections = 16;

}  // namespace

bool mark(const std::string& folder, bool whole) {
    return files::replaceWhole(folder + "/" + kMark, whole ? "whole\n" : "filling\n").empty();
}
std::optional<bool> marked(const std::string& folder) {
    std::ifstream file(folder + "/" + kMark);
    std::string word;
    if (!file) return std::nullopt;
    file >> word;
    return word == "whole";
}
bool unmark(const std::string& folder) { return files::removeWhole(folder + "/" + kMark).empty(); }

Standby::Standby(Store& store, std::string folder, uint64_t leastEpoch, Say say)
    : store_(store), folder_(std::move(folder)), say_(std::move(say)),
      lineage_(store.epoch(), leastEpoch, marked(folder_).value_or(false)) {
    if (!marked(folder_)) mark(folder_, false);
}

Standby::~Standby() {
    stop();
    for (std::thread& t : threads_) t.join();
}

bool Standby::promoted() {
    std::lock_guard lock(mutex_);
    return lineage_.promoted();
}
uint64_t Standby::epoch() {
    std::lock_guard lock(mutex_);
    return lineage_.epoch();
}

void Standby::stop() {
    std::lock_guard lock(mutex_);
    stop_ = true;
    if (listener_.open()) shutDown(listener_.descriptor());
    for (int fd : open_) shutDown(fd);
}

bool Standby::serve(const std::string& listen) {
    auto address = Address::parse(listen);
    std::string problem = "no address";
    {
        std::lock_guard lock(mutex_);
        if (address) listener_ = listenAt(*address, problem);
        if (!listener_.open()) return say_(true, "cannot listen at " + listen + ": " + problem), false;
    }
    for (int connection = 1;; ++connection) {
        bool lasting = false;
        Socket socket = acceptFrom(listener_, lasting);
        std::lock_guard lock(mutex_);
        if (stop_ || lineage_.promoted() || lasting) return true;
        if (!socket.open() || open_.size() >= kMostConnections) continue;
        open_.insert(socket.descriptor());
        threads_.emplace_back([this, connection, s = socket.release()] { attend(connection, Socket(s)); });
    }
}

void Standby::attend(int connection, Socket socket) {
    socket.waitAtMost(kSilence);
    socket.sendNagless();
    Frames frames;
    std::string part(256 * 1024, '\0');
    bool goes = true;
    while (goes) {
        long n = socket.receive(part.data(), part.size());
        if (n <= 0) break;
        frames.add(std::string_view(part).substr(0, static_cast<size_t>(n)));
        socket.waitAtMost(kSilence);
        std::string answer;
        {
            std::lock_guard lock(mutex_);
            while (auto f = frames.next()) {
                if (!(goes = take(*f, connection, answer))) break;
            }
            // One answer for all that came together.
            if (goes && following_ == connection) {
                answer += encode({Frame::What::ack, kept_, wholeNow_ ? 1u : 0u, ""});
            }
        }
        goes = goes && !frames.odd();
        if (!answer.empty() && !socket.sendAll(answer)) break;
    }
    std::lock_guard lock(mutex_);
    open_.erase(socket.descriptor());
    if (following_ == connection) following_ = 0, say_(true, "the primary's connection is gone");
    if (lineage_.promoted() && listener_.open()) shutDown(listener_.descriptor());
}

// False: the connection is over.
bool Standby::take(const Frame& f, int connection, std::string& answer) {
    auto refuse = [&] {
        answer += encode({Frame::What::refused, lineage_.epoch(), 0, ""});
        return false;
    };
    switch (f.what) {
        case Frame::What::hello: {
            uint64_t before = lineage_.epoch();
            if (!lineage_.follows(f.number)) {
                say_(true, "a primary of epoch " + std::to_string(f.number) + " was refused, this is " +
                               std::to_string(lineage_.epoch()));
                return refuse();
            }
            // A later primary of the same line is followed durably before it hears so.
            if (lineage_.epoch() > before && !store_.raiseEpoch(lineage_.epoch())) return false;
            bool goesOn = f.second == session_ && wholeNow_;
            if (!goesOn) session_ = f.second, kept_ = 0, wholeNow_ = false;
            following_ = connection;
            answer += encode({Frame::What::welcome, goesOn ? 1u : 0u, kept_, ""});
            say_(false, "a primary of epoch " + std::to_string(f.number) + " is followed");
            return true;
        }
        case Frame::What::promote: {
            auto epoch = lineage_.promote();
            if (!epoch) return refuse();
            following_ = 0;
            // The fence: from here on nobody of an earlier epoch is heard, also after a restart.
            if (!store_.raiseEpoch(*epoch)) return false;
            unmark(folder_);
            answer += encode({Frame::What::promoted, *epoch, 0, ""});
            return true;
        }
        case Frame::What::still:
            return true;
        default:
            break;
    }
    if (lineage_.promoted()) return refuse();
    if (following_ != connection) return false;  // a later one took its place
    if (f.what == Frame::What::begin) {
        stale_.clear();
        for (auto& [id, text] : store_.texts()) stale_.insert(id);
        return true;
    }
    if (f.what == Frame::What::record) {
        std::string id;
        // What can't be kept must not be acknowledged.
        if (!store_.follow(f.payload, &id)) return say_(true, "a record could not be kept"), false;
        if (f.number > 0) kept_ = f.number;
        if (!id.empty()) stale_.erase(id);
        return true;
    }
    if (f.what == Frame::What::end) {
        for (const std::string& id : stale_) store_.over(id);
        stale_.clear();
        if (!lineage_.whole() && !mark(folder_, true)) return false;
        kept_ = std::max(kept_, f.number), wholeNow_ = true;
        lineage_.becameWhole();
        return true;
    }
    return false;
}

std::optional<uint64_t> promoteAt(const std::string& address, std::string& problem) {
    auto at = Address::parse(address);
    Socket socket;
    if (!at || makeSocket(socket) != Connect::up || connectSocket(*at, Span::seconds(2), socket) != Connect::up) {
        return problem = address + ": no standby answers there", std::nullopt;
    }
    socket.waitAtMost(Span::seconds(5));
    socket.sendAll(encode({Frame::What::promote, 0, 0, ""}));
    Frames frames;
    char part[1024];
    for (long n; (n = socket.receive(part, sizeof part)) > 0;) {
        frames.add(std::string_view(part, static_cast<size_t>(n)));
        auto f = frames.next();
        if (f && f->what == Frame::What::promoted) return f->number;
        if (f && f->what == Frame::What::refused)
            return problem = address + ": never held all that its primary had open, so it can't take over", std::nullopt;
        if (frames.odd()) break;
    }
    return problem = address + ": no answer that makes sense", std::nullopt;
}

}  // namespace petrelpond::replica
