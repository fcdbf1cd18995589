#include "src/crewroom/room.hpp"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "src/routing/mailbox.hpp"

namespace petrelpond {

namespace {

constexpr Span kStreamWithin = Span::seconds(2), kBindAgain = Span::millis(100), kSayAfter = Span::seconds(5),
               kShowEvery = Span::millis(100);
constexpr int kDatagramsAtOnce = 512;
constexpr size_t kFrameHead = 4, kWordsMost = 256;

std::string framed(const std::string& bytes) {
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(bytes.size() >> shift & 255);
    return out + bytes;
}

}  // namespace

CrewRoom::CrewRoom(crew::Settings settings, std::string listen, std::string folder, uint32_t seed, Report& report)
    : settings_(std::move(settings)), listen_(std::move(listen)), folder_(std::move(folder)), seed_(seed),
      report_(report), wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    streams_.reserve(kStreams);
    shown_.name = settings_.name, shown_.crew = settings_.crew;
}

CrewRoom::~CrewRoom() {
    if (wake_ >= 0) ::close(wake_);
}

void CrewRoom::wake() {
    uint64_t one = 1;
    if (::write(wake_, &one, sizeof one) < 0) return;  // it looks by itself soon
}

void CrewRoom::end(int how) {
    end_ = how;
    wake();
}

void CrewRoom::publish(std::string topic, std::string bytes) { tell("", std::move(topic), std::move(bytes)); }

void CrewRoom::tell(std::string name, std::string topic, std::string bytes) {
    std::lock_guard lock(mutex_);
    if (toSay_.size() >= kWordsMost) return void(++unsaid_);
    toSay_.push_back({std::move(name), std::move(topic), std::move(bytes)});
    wake();
}

// What is published before we take part, or while another process holds our name, is said once we do.
void CrewRoom::say(Instant now) {
    std::vector<Word> words;
    {
        std::lock_guard lock(mutex_);
        words.swap(toSay_);
    }
    for (Word& w : words) {
        if (!w.to.empty() && !core_->tell(now, w.to, w.topic, w.bytes)) ++unsaid_;
        if (w.to.empty()) toPublish_[std::move(w.topic)] = std::move(w.bytes);
    }
    if (core_->phase() != crew::Phase::in) return;
    for (auto& [topic, bytes] : std::exchange(toPublish_, {})) {
        if (!core_->publish(now, topic, bytes)) ++unsaid_;
    }
}

// The process before this one may still be there: two processes of one sender are one member, and the address is
// what says which of them speaks.
bool CrewRoom::bind() {
    auto at = Address::parse(listen_);
    std::string problem = "no address";
    Instant began = steadyNow();
    bool said = false;
    while (end_ == 0) {
        if (at) listener_ = listenAt(*at, problem);
        if (listener_.open()) datagrams_ = datagramsAt(*at, problem);
        if (datagrams_.open()) break;
        listener_.close();
        if (!said && steadyNow() - began > kSayAfter) {
            report_.say(Level::warning, "crew: cannot listen at " + listen_ + ": " + problem + "; it is tried on");
            said = true;
        }
        pollfd woken{wake_, POLLIN, 0};
        ::poll(&woken, 1, static_cast<int>(kBindAgain.inMicros() / 1000));
    }
    if (!datagrams_.open()) return false;
    neverWait(listener_);
    return true;
}

void CrewRoom::run() {
    if (!bind()) return void(over_ = true);
    std::string problem;
    uint64_t kept = keptIncarnation(folder_, problem);
    if (!problem.empty()) report_.say(Level::error, "crew: " + problem);
    std::random_device chance;
    uint64_t life = static_cast<uint64_t>(chance()) << 32 | chance();
    core_ = std::make_unique<crew::Members>(settings_, life, kept, seed_, steadyNow());
    report_.say(Level::info, "crew " + settings_.crew + ": listening at " + listen_);
    std::vector<pollfd> waits;
    Instant showAt;
    while (end_ == 0) {
        Instant now = steadyNow(), due = std::min(core_->due(), showAt);
        for (const Stream& s : streams_) due = std::min(due, s.until);
        int64_t wait = std::clamp<int64_t>((due - now).inMicros(), 0, 1000000);
        waits.assign({{wake_, POLLIN, 0}, {datagrams_.descriptor(), POLLIN, 0},
                      {listener_.descriptor(), static_cast<short>(streams_.size() < kStreams ? POLLIN : 0), 0}});
        for (const Stream& s : streams_) {
            bool writes = (s.ours && !s.up) || s.sent < s.out.size();
            waits.push_back({s.socket.descriptor(), static_cast<short>(writes ? POLLOUT : POLLIN), 0});
        }
        ::poll(waits.data(), waits.size(), static_cast<int>((wait + 999) / 1000));
        uint64_t woken = 0;
        if (waits[0].revents != 0 && ::read(wake_, &woken, sizeof woken) < 0) woken = 0;
        now = steadyNow();
        // What came is heard before any moment that has come: an answer that lies there is no missed one.
        datagrams(now);
        for (size_t i = 0; i < streams_.size(); ++i) {
            bool goes = waits[3 + i].revents != 0 && !serve(now, streams_[i]);
            if (goes || now >= streams_[i].until) finish(now, streams_[i]);
        }
        std::erase_if(streams_, [](const Stream& s) { return !s.socket.open(); });
        if (waits[2].revents != 0) accept(now);
        say(now);
        pull(now);
        if (now >= showAt) show(now), showAt = now + kShowEvery;
    }
    if (end_ == 1) {
        core_->leave(steadyNow());
        pull(steadyNow());
    }
    datagrams_.close(), listener_.close(), streams_.clear();
    over_ = true;
}

void CrewRoom::pull(Instant now) {
    while (auto action = core_->next(now)) {
        if (auto* send = std::get_if<crew::Members::Send>(&*action)) {
            std::string bytes = crew::encode(send->message);
            auto to = Address::parse(send->to);
            if (to && sendDatagram(datagrams_, *to, bytes)) bytesOut_ += static_cast<long>(bytes.size());
        } else if (auto* meet = std::get_if<crew::Members::Meet>(&*action)) {
            Stream s;
            if (auto to = Address::parse(meet->at); to && streams_.size() < kStreams) s.socket = beginStream(*to);
            if (!s.socket.open()) {
                core_->notMet(now, meet->at);
                continue;
            }
            s.ours = true, s.at = meet->at, s.out = framed(crew::encode(meet->table)), s.until = now + kStreamWithin;
            streams_.push_back(std::move(s));
        } else if (auto* kept = std::get_if<crew::Members::Keep>(&*action)) {
            keep(kept->incarnation);
        } else if (auto* say = std::get_if<crew::Members::Say>(&*action)) {
            report_.say(say->warning ? Level::warning : Level::info, "crew: " + say->words);
        } else if (auto* told = std::get_if<crew::Members::Told>(&*action); told && onTold) {
            onTold(*told);
        }
    }
}

// A full disk takes nobody out of the crew: should this process restart, the others' word raises its count.
void CrewRoom::keep(uint64_t incarnation) {
    std::string problem = keepIncarnation(folder_, incarnation);
    if (problem.empty()) return void(keepFails_ = false);
    ++notKept_;
    if (!std::exchange(keepFails_, true))
        report_.say(Level::error, "crew: the incarnation can't be kept in " + folder_ + ": " + problem);
}

void CrewRoom::datagrams(Instant now) {
    char bytes[crew::kDatagram + 1];
    std::string from;
    for (int i = 0; i < kDatagramsAtOnce; ++i) {
        long got = receiveDatagram(datagrams_, bytes, sizeof bytes, from);
        if (got < 0) return;
        bytesIn_ += got;
        crew::Message message;
        std::string_view all(bytes, static_cast<size_t>(got));
        auto why = all.size() > crew::kDatagram ? crew::Unreadable::header
                                                : crew::decode(all, settings_.crew, message);
        if (why != crew::Unreadable::none) unreadable(why);
        if (why == crew::Unreadable::none) core_->heard(now, message, from);
    }
}

void CrewRoom::accept(Instant now) {
    while (streams_.size() < kStreams) {
        bool lasting = false;
        Stream s;
        s.socket = acceptFrom(listener_, lasting);
        if (!s.socket.open()) return;
        neverWait(s.socket);
        s.up = true, s.until = now + kStreamWithin;
        streams_.push_back(std::move(s));
    }
    ++streamsTurnedAway_;
}

bool CrewRoom::serve(Instant now, Stream& s) {
    if (!s.up) {
        if (!cameUp(s.socket)) return false;
        s.up = true;
    }
    if (s.sent < s.out.size()) {
        long sent = sendSome(s.socket, std::string_view(s.out).substr(s.sent));
        if (sent < 0) return false;
        s.sent += static_cast<size_t>(sent), bytesOut_ += sent;
        if (s.sent == s.out.size() && s.answered) return s.socket.endSending(), false;
        return true;
    }
    return readFrame(now, s);
}

bool CrewRoom::readFrame(Instant now, Stream& s) {
    char part[16 * 1024];
    long got = s.socket.receive(part, sizeof part);
    if (got == 0) return false;
    if (got < 0) return !s.socket.peerGone();
    bytesIn_ += got;
    s.in.append(part, static_cast<size_t>(got));
    if (s.in.size() < kFrameHead) return true;
    size_t size = 0;
    for (size_t i = 0; i < kFrameHead; ++i) size = size << 8 | static_cast<uint8_t>(s.in[i]);
    if (size > crew::kTable || s.in.size() > kFrameHead + size) return unreadable(crew::Unreadable::header), false;
    if (s.in.size() < kFrameHead + size) return true;
    crew::Message message;
    auto why = crew::decode(std::string_view(s.in).substr(kFrameHead), settings_.crew, message);
    bool fits = message.kind == (s.ours ? crew::Kind::answer : crew::Kind::table);
    if (why == crew::Unreadable::none && !fits) why = crew::Unreadable::form;
    if (why != crew::Unreadable::none) return unreadable(why), false;
    s.in.clear();
    if (s.ours) return core_->met(now, message), s.answered = true, false;
    core_->heard(now, message, "");
    s.out = framed(crew::encode(core_->tableFor(now, crew::Kind::answer))), s.answered = true;
    return true;
}

void CrewRoom::finish(Instant now, Stream& s) {
    s.socket.close();
    if (s.ours && !s.answered) core_->notMet(now, s.at);
}

void CrewRoom::show(Instant now) {
    Snapshot next{core_->phase(), core_->health(), core_->incarnation(), core_->view(now),
                  core_->items(now, kStanding), settings_.name, settings_.crew};
    std::lock_guard lock(mutex_);
    shown_ = std::move(next);
    for (size_t i = 0; i < counted_.size(); ++i) counted_[i] = core_->count(static_cast<crew::Counted>(i));
}

CrewRoom::Snapshot CrewRoom::snapshot() const {
    std::lock_guard lock(mutex_);
    return shown_;
}

std::string CrewRoom::asJson() const {
    Snapshot s = snapshot();
    nlohmann::json members = nlohmann::json::array();
    for (const crew::Seen& m : s.members) {
        auto word = std::find_if(s.words.begin(), s.words.end(), [&](const crew::Item& i) { return i.origin == m.name; });
        nlohmann::json one = {{"name", m.name}, {"address", m.address}, {"state", wordOf(m.state)},
                              {"since_ms", m.since.inMicros() / 1000}, {"incarnation", m.incarnation}};
        if (m.ever) one["heard_ms"] = m.heard.inMicros() / 1000;
        if (m.state == crew::State::doubted) one["doubters"] = m.doubters, one["doubters_wanted"] = m.doubtersWanted;
        if (word != s.words.end()) one["says"] = word->bytes, one["said_ms"] = word->ageMs;
        members.push_back(std::move(one));
    }
    return nlohmann::json{{"crew", s.crew}, {"name", s.name}, {"phase", wordOf(s.phase)}, {"health", s.health},
                          {"members", std::move(members)}}.dump();
}

std::string CrewRoom::counters() const {
    static constexpr const char* names[] = {
#define X(name) #name,
        PETRELPOND_CREW_COUNTS(X)
#undef X
    };
    std::array<long, static_cast<size_t>(crew::State::left) + 1> in{};
    std::string lines;
    auto line = [&](std::string name, long value) { lines += "crew." + std::move(name) + " " + std::to_string(value) + "\n"; };
    Snapshot s = snapshot();
    for (const crew::Seen& m : s.members) ++in[static_cast<size_t>(m.state)];
    for (size_t i = 0; i < in.size(); ++i) line(std::string(wordOf(static_cast<crew::State>(i))), in[i]);
    line("takesPart", s.phase == crew::Phase::in), line("health", s.health);
    {
        std::lock_guard lock(mutex_);
        for (size_t i = 0; i < counted_.size(); ++i) line(names[i], counted_[i]);
    }
    for (size_t i = 1; i < unread_.size(); ++i)
        line("unreadable." + std::string(wordOf(static_cast<crew::Unreadable>(i))), unread_[i]);
    line("bytesIn", bytesIn_), line("bytesOut", bytesOut_), line("streamsTurnedAway", streamsTurnedAway_);
    line("notKept", notKept_), line("unsaid", unsaid_);
    return lines;
}

}  // namespace petrelpond
