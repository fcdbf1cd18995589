// The crew's sockets: one thread for datagrams, short streams and the core's moments. What it believes others read
// as a snapshot; nothing else of it is shared.
#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "src/crew/members.hpp"
#include "src/routing/report.hpp"
#include "src/transport/datagram.hpp"

namespace petrelpond {

class CrewRoom {
  public:
    static constexpr int kStreams = 12;             // at once, theirs and ours
    static constexpr int kDescriptors = kStreams + 3;
    struct Snapshot {
        crew::Phase phase = crew::Phase::seeking;
        int health = 0;
        uint64_t incarnation = 0;
        std::vector<crew::Seen> members;
        std::vector<crew::Item> words;  // of all members, on kStanding
        std::string name, crew;
    };
    static constexpr const char* kStanding = "standing";  // the topic on which each says how it stands

    CrewRoom(crew::Settings settings, std::string listen, std::string folder, uint32_t seed, Report& report);
    ~CrewRoom();
    CrewRoom(const CrewRoom&) = delete;
    CrewRoom& operator=(const CrewRoom&) = delete;

    void run();  // until leave() or release(); the caller's thread
    // From any thread. leave(): by word, then no more. release(): without a word, for who takes over here.
    void leave() { end(1); }
    void release() { end(2); }
    bool over() const { return over_; }

    // From any thread: the newest word on a topic, to all; and one message to one member. Both are bounded in
    // size by the core, and what can't be said is counted.
    void publish(std::string topic, std::string bytes);
    void tell(std::string name, std::string topic, std::string bytes);
    // What others said, on the room's thread; set before run().
    std::function<void(const crew::Members::Told&)> onTold;

    Snapshot snapshot() const;
    std::string asJson() const;    // the same in one line
    std::string counters() const;  // a line each

  private:
    struct Stream {
        Socket socket;
        bool ours = false, up = false, answered = false;
        std::string at, out, in;
        size_t sent = 0;
        Instant until;
    };
    struct Word {
        std::string to, topic, bytes;  // to: empty for all
    };
    void end(int how);
    void wake();
    void say(Instant now);
    bool bind();
    void pull(Instant now);
    void datagrams(Instant now);
    void accept(Instant now);
    bool serve(Instant now, Stream& stream);  // false: it is over
    void finish(Instant now, Stream& stream);
    bool readFrame(Instant now, Stream& stream);
    void keep(uint64_t incarnation);
    void show(Instant now);
    void unreadable(crew::Unreadable why) { ++unread_[static_cast<size_t>(why)]; }

    crew::Settings settings_;
    std::string listen_, folder_;
    uint32_t seed_;
    Report& report_;
    std::unique_ptr<crew::Members> core_;
    Socket datagrams_, listener_;
    std::vector<Stream> streams_;
    int wake_ = -1;
    std::vector<Word> toSay_;                                // from other threads
    std::map<std::string, std::string> toPublish_;           // not said yet, as we take no part
    std::atomic<int> end_ = 0;
    std::atomic<bool> over_ = false;
    bool keepFails_ = false;
    std::array<std::atomic<long>, static_cast<size_t>(crew::Unreadable::count)> unread_{};
    std::atomic<long> bytesIn_ = 0, bytesOut_ = 0, streamsTurnedAway_ = 0, notKept_ = 0, unsaid_ = 0;
    mutable std::mutex mutex_;  // of what is shown, and of what is to be said
    Snapshot shown_;
    std::array<long, static_cast<size_t>(crew::Counted::kinds)> counted_{};
};

// The highest incarnation that this folder's sender has used; 0 where none is there or it can't be read.
uint64_t keptIncarnation(const std::string& folder, std::string& problem);
std::string keepIncarnation(const std::string& folder, uint64_t incarnation);  // what went wrong

}  // namespace petrelpond
