// A crew in simulated time: the real cores of its members, simulated links between them, one thread, one seed.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fleet/links.hpp"
#include "src/crew/members.hpp"

namespace petrelpond::fleet {

struct CrewSetup {
    int members = 5, seeds = 3;  // how many others each is told; 0: all
    crew::Settings each;         // but for names and addresses
    std::vector<LinkFault> links;
    Span hop = Span::micros(200);                    // one way
    Span startWithin = Span::seconds(1);             // all of them
    bool onWire = false;                             // every message encoded and read, as on sockets
    std::vector<double> clockRates;                  // of members' clocks; empty: all 1
    uint64_t seed = 1;
};

class CrewModel {
  public:
    explicit CrewModel(CrewSetup setup);

    void start(int member, bool folderLost = false);
    void startAs(int member, int name);  // a second process under another's name
    void kill(int member);
    void stop(int member);  // and go(): as SIGSTOP and SIGCONT
    void go(int member);
    void leave(int member);  // by word, then its process ends
    void diskFails(int member, bool fails) { processes_[index(member)].diskFails = fails; }
    void runUntil(Instant until);

    Instant now() const { return now_; }
    const crew::Members* core(int member) const { return processes_[index(member)].core.get(); }
    crew::Members* core(int member) { return processes_[index(member)].core.get(); }
    Instant localNow(int member) const { return local(member, now_); }
    bool stopped(int member) const { return processes_[index(member)].stopped; }
    Instant since(int member) const { return processes_[index(member)].since; }  // it runs or not, stopped or not
    int members() const { return setup_.members; }
    static std::string nameOf(int member) { return "m" + std::to_string(member); }
    Links& links() { return links_; }
    std::function<void(int member)> afterStep;  // something came or was due there

    long steps() const { return steps_; }
    long bytesOut(int member) const { return processes_[index(member)].bytes; }
    long told(int member) const { return processes_[index(member)].told; }
    const std::vector<std::string>& words() const { return words_; }

  private:
    struct Process {
        std::unique_ptr<crew::Members> core;
        bool stopped = false, diskFails = false;
        uint64_t kept = 0;  // in its folder
        uint64_t life = 0;  // counts its processes
        Instant since, wakeAt = Instant::never();
        std::deque<std::pair<crew::Message, std::string>> unread;  // came while it was stopped
        long bytes = 0, told = 0;
        int name = 0;
    };
    enum class What { wake, datagram, asked, answered, unanswered };
    struct Event {
        Instant at;
        uint64_t serial = 0;
        What what = What::wake;
        int to = 0, from = 0;
        uint64_t life = 0;
        std::shared_ptr<const crew::Message> message;
        bool operator<(const Event& o) const { return std::pair(at, serial) > std::pair(o.at, o.serial); }
    };
    static size_t index(int member) { return static_cast<size_t>(member); }
    static std::string addressOf(int member);
    int memberAt(const std::string& address) const;
    Instant local(int member, Instant at) const;
    void push(Instant at, What what, int to, int from, std::shared_ptr<const crew::Message> message);
    void happen(const Event& event);
    void pull(int member);
    void transmit(int from, int to, crew::Message message);
    void meet(int from, int to, crew::Message table);
    long bytesOf(const crew::Message& message) const;

    CrewSetup setup_;
    Links links_;
    std::mt19937_64 chance_;
    Instant now_;
    std::vector<Process> processes_;
    std::priority_queue<Event> events_;
    std::vector<std::string> words_;
    uint64_t serial_ = 0;
    long steps_ = 0;
};

}  // namespace petrelpond::fleet
