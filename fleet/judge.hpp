// The six rules, judged from what passed on the sockets and from nothing that a sender says of itself. It
// shares no code with the sender. Free of I/O and clocks: whoever plays the peers reports, in the order of
// time.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/scenario.hpp"

namespace petrelpond::fleet {

enum class Rule { lostText = 1, doubleEffect, drain, returning, order, wait };
std::string_view nameOf(Rule rule);

struct Breach {
    Rule rule = Rule::lostText;
    Instant at;
    std::string words;
};

// A text is known to the judge by the number of the one request that handed it in.
using RequestNo = uint32_t;

class Judge {
  public:
    explicit Judge(const Scenario& scenario);

    // ---- clients
    RequestNo handed(Instant now, int sender, uint32_t product, uint32_t destination, Instant validUntil,
                     uint64_t key);
    void taken(Instant now, RequestNo request);    // its client has read 202 or 200
    void dropped(Instant now, RequestNo request);  // refused, or the client no longer waits: owes nothing

    // ---- senders
    void started(Instant now, int sender);
    void killed(Instant now, int sender);  // by us: connections break, what is held waits for the next start
    void stopped(Instant now, int sender, bool stopped);

    // ---- the list, as written to that sender
    void told(Instant now, int sender, uint32_t endpoint, int generation, ListState state);

    // ---- calls, by a number of the judge's
    using CallNo = uint32_t;
    // firstByte: when the call began to come. `now` is when its last byte came.
    CallNo called(Instant firstByte, Instant now, int sender, uint32_t endpoint, int generation,
                  const std::vector<RequestNo>& texts);
    void ran(Instant now, CallNo call);  // its effect took place
    // Its end as written to the sender: an answer with this status, or 0 where none came whole.
    void ended(Instant now, CallNo call, int status, bool neverRan, Span wait);
    void reached(Instant now, int sender, uint32_t endpoint);  // an effort that never became a call

    // ---- the platform
    void noticed(Instant now, RequestNo request, bool nacked);

    // ---- places
    void outage(Instant now, uint32_t destination, bool begins);
    void tipped(Instant now, uint32_t destination);

    // Everything is over: what is still owed is lost.
    void finish(Instant now);
    const std::vector<Breach>& breaches() const { return breaches_; }
    std::array<int, 7> counts() const { return counts_; }  // by rule, from 1

    enum class End { open, delivered, undeliverable, nacked, dropped };
    End endOf(RequestNo request) const { return texts_[request].end; }
    Instant endedAt(RequestNo request) const { return texts_[request].endedAt; }
    int effects(RequestNo request) const { return texts_[request].effects; }
    int submits(RequestNo request) const { return texts_[request].submits; }
    size_t texts() const { return texts_.size(); }
    long calls() const { return static_cast<long>(calls_.size()); }
    long wasted() const { return wasted_; }  // calls whose every text had its effect already, or was refused

  private:
    struct Text {
        uint32_t product = 0, destination = 0;
        int sender = 0, submits = 0, effects = 0;
        std::vector<uint32_t> out;  // calls
        Instant validUntil, endedAt, firstMayHaveRun = Instant::never();
        Instant handedAt, takenAt = Instant::never();
        uint32_t ranIn = 0;
        uint64_t key = 0;
        End end = End::open;
        bool isTaken = false, deliveredUnheard = false, mayHaveRun = false, judgedLost = false;
    };
    struct Call {
        std::vector<RequestNo> texts;
        int sender = 0;
        uint32_t endpoint = 0;
        Instant began,
            secondBegan = Instant::never();  // of another call with one of its texts, while this is out
        bool over = false, ran = false;
    };
    struct PerSender {
        std::unordered_map<uint64_t, Instant> leavingSince;               // by endpoint and generation
        std::unordered_map<uint32_t, std::pair<Instant, Instant>> waits;  // told at, until; by place
        std::unordered_map<uint32_t, Instant> missed;  // by destination: last effort that failed in an outage
        std::map<uint64_t, std::vector<RequestNo>> lines;  // texts in order, by key, as taken
        Instant startedAt, stillFrom = Instant::never();
        Span still;  // how long it has been stopped in all
    };
    uint32_t placeOf(uint32_t endpoint) const;
    void breach(Rule rule, Instant at, std::string words);
    std::string nameOf(RequestNo request) const;
    void checkText(Instant now, RequestNo request, const Call& call);
    void over(Instant now, Text& text, End end);
    void secondCopy(Instant now, CallNo call);

    const Scenario& scenario_;
    std::vector<uint32_t> destinationOf_, groupOf_;  // by endpoint
    std::vector<Text> texts_;
    std::vector<Call> calls_;
    std::vector<PerSender> senders_;
    std::unordered_map<uint32_t, Instant> outSince_;
    std::unordered_map<uint32_t, std::unordered_map<int, long>>
        loads_;  // calls since an outage's end, by sender
    std::vector<Breach> breaches_;
    std::array<int, 7> counts_{};
    long wasted_ = 0;
};

}  // namespace petrelpond::fleet
