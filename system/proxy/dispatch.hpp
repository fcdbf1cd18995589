// Which request goes to which instance now, which waits, and which is told at once that it has not run: the
// decisions of one proxy, without I/O, clocks or threads. Inputs carry `now`; outputs are pulled by next().
//
// Per service (the destination) the design's bound one-token bucket paces the starts. It binds when a request
// is held: the function's concurrency is taken, or its instance boots; or when an instance answers full.
// Slots of instances are this proxy's own, as the holder of the startup duty granted them.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "petrelpond/time.hpp"
#include "src/policy/answer_times.hpp"
#include "src/policy/token_bucket.hpp"
#include "system/proxy/budget.hpp"
#include "system/scaler/messages.hpp"

namespace petrelpond::proxy {

using RequestId = uint64_t;
using InstanceIx = uint32_t;

struct ServiceSpec {
    std::string name;
    int maxConcurrency = 1;
    Span boot;
    int maxConnections = 0;  // that one instance takes from all senders together; 0: not known
};

struct Arrival {
    RequestId id = 0;
    std::string service;
    bool repeatable = false;
    int priority = 2;     // 0 is highest
    int maxAttempts = 1;  // endpoints that it may be sent to
    Instant deadline;     // the client's or the route's, whichever is sooner
    Span target;          // the time within which it earns its full worth
    Span timeout;         // the route's; with the fields above it tells kinds of request apart
};

// How a request that was sent ended. One place says what that means for running it again: mayHaveRun().
enum class Ending : uint8_t {
    passed,       // an answer that is the client's
    failed,       // the endpoint's own failure (5xx), which counts as run
    notRun,       // the endpoint says that it did not run it: full
    misdirected,  // 421: another endpoint has the address
    unconnected,  // no connection came up; nothing was sent
    unsent,       // the connection ended before any byte of the request had left
    broken,       // reset, closed, or bytes that are no answer, after something was sent
    silent,       // given up by us after something was sent
};
bool mayHaveRun(Ending);

struct SendTo {
    RequestId id;
    InstanceIx at;
    Span patience;  // give it up as silent after this; zero: at its deadline
};
struct Refuse {  // has not run and never will
    RequestId id;
    int status;
    Span comeBack;
};
struct GiveUp {  // may have run: 502 or 504, or the endpoint's own failure where there is one
    RequestId id;
    int status;
};
struct PassOn {  // the answer that the host holds for this request
    RequestId id;
};
struct Probe {  // see whether it takes a connection
    InstanceIx at;
};
struct Drop {  // no slot of it is ours any more
    InstanceIx at;
    size_t mayKeep;  // so many idle connections to it may stay open, as a slot may come back
};
struct Tell {
    scaler::Report report;
};
using Output = std::variant<SendTo, Refuse, GiveUp, PassOn, Probe, Drop, Tell>;

struct InstanceView {
    std::string id, address, zone;
};

struct Counters {
    uint64_t arrived = 0, sent = 0, passed = 0, refusedAtOnce = 0, refusedHeld = 0, again = 0, gaveUp = 0;
    uint64_t full = 0, misdirected = 0, broken = 0, silent = 0, unconnected = 0, probes = 0, reports = 0;
    uint64_t borrowed = 0, borrowedFull = 0;  // sent without a slot of ours; turned away as full
};

class Dispatch {
  public:
    struct Options {
        uint32_t chance = 1;
        std::string zone;
        double budgetRatio = 0.2, budgetSlack = 50;
        Span budgetWindow = Span::seconds(10);
        // An earlier life may have made further sends that nobody here remembers.
        bool forgot = false;
    };
    Dispatch(Instant now, Options);

    // So many may wait at most. Beyond, who can't be sent at once is told so: those who wait hold a
    // connection each, and where none is left a client is reset without a word of when to come back.
    void bound(size_t mostHeld) { mostHeld_ = mostHeld; }
    void configured(Instant now, const std::vector<ServiceSpec>&);
    // The holder that is reported to, and the number of living senders. A new term or link asks for all anew.
    void standing(Instant now, uint64_t term, bool linked, uint32_t senders);
    void unlinked() { linked_ = false; }  // the way to the holder is broken
    // Nothing is heard of the holder: who waits without a slot may borrow one, see borrow().
    void holderSilent(Instant now, bool);
    void granted(Instant now, const scaler::Grants&);
    void arrived(Instant now, const Arrival&);
    void withdrawn(Instant now, RequestId);  // its client has gone; nothing is answered
    void ended(Instant now, RequestId, Ending);
    // Whether a request that was sent with patience may be given up now that it is over.
    bool mayGiveUp(Instant now, RequestId);
    void probed(Instant now, InstanceIx, bool up);
    void leaving(Instant now);
    void turnAway(Instant now);  // all that wait are told that they have not run; the process is about to end
    void tick(Instant now);
    Instant wakeAt() const { return wakeAt_; }
    std::optional<Output> next();

    const InstanceView* instance(InstanceIx) const;
    bool waits(RequestId id) const;
    const Counters& counters() const { return counters_; }
    size_t held() const { return held_; }  // requests that wait

  private:
    struct Kind {  // requests alike: their answer times are learned together, as rare functions see few
        policy::AnswerTimes times;
        double mean = 0;  // seconds; of answers
    };
    struct Instance {
        InstanceView view;
        uint32_t service = 0;
        uint32_t slots = 0, busy = 0;
        bool up = false, probing = false, dropped = false;
        Instant upAt;  // when its start is thought to be over
        Instant probeAt = Instant::longAgo();
        Instant restsUntil = Instant::longAgo();  // it just refused: not before
        Instant idleSince;
        int misses = 0;  // failed connects and breaks since it last answered
        bool deadTold = false;
        bool ends = false;  // as the holder said
        Instant deadToldAt = Instant::longAgo();
    };
    // An instance that had a slot of ours not long ago.
    struct Former {
        InstanceView view;
        Instant until;  // then it is forgotten
    };
    struct Service {
        ServiceSpec spec;
        bool known = false;
        std::vector<InstanceIx> instances;
        std::map<std::pair<int, uint64_t>, RequestId> waiting;  // by priority, then in order
        policy::TokenBucket bucket;
        Budget budget;
        uint32_t promised = 0;  // further sends that were allowed and have not gone out yet
        double mean = 0;        // seconds of a call; 0: none seen
        uint32_t busy = 0, peak = 0, arrived = 0;
        uint32_t fleetSlots = 0;
        std::vector<Former> formers;            // oldest first
        Instant borrowAt = Instant::longAgo();  // not before, as one was full
        bool changed = false, wanting = false;
        Instant wantedAt = Instant::longAgo();
    };
    struct Request {
        Arrival is;
        Instant cameAt, sentAt, holdUntil;
        uint32_t service = 0, kind = 0;
        uint64_t order = 0;
        int attempts = 0;
        bool out = false, mayHaveRun = false, promised = false;
        InstanceIx at = 0, avoid = UINT32_MAX;
        Ending last = Ending::notRun;
    };

    uint32_t serviceOf(const std::string& name);
    uint32_t kindOf(const Arrival&);
    void wakeBy(Instant at) { wakeAt_ = std::min(wakeAt_, at); }
    void queue(Request&);
    void unqueue(Request&);
    void run(Instant now, uint32_t service);
    void hold(Instant now, Service&);
    void raise(Instant now, Service&);
    Instant urgentAt(Instant now) const;
    void tellNow(Instant now);  // a report in this round, not with the next that gathers
    std::optional<InstanceIx> pick(Instant now, const Service&, const Request&) const;
    double slice(const Service&) const;
    // passedOn: as a slot that another sender has may be ours soon; not for when to come back.
    Span expectedWait(Instant now, const Service&, size_t ahead, bool passedOn) const;
    Span callTime(const Service&, const Request&) const;
    void send(Instant now, Request&, InstanceIx);
    void freeSlot(Instant now, Instance&);
    void again(Instant now, Request&);
    bool mayGoFurther(Instant now, Service&);
    void promise(Request&, bool);
    void refuse(Instant now, Request&, bool atOnce);
    void close(Request&);
    void probe(Instant now, Instance&, InstanceIx);
    void missed(Instant now, Instance&, InstanceIx);
    InstanceIx makeInstance(Instant now, const InstanceView&, uint32_t service);
    bool mayBorrow(Instant now, Service&, const Request&);
    InstanceIx borrow(Instant now, uint32_t service);
    void remember(Instant now, const Instance&);
    void forget(Service&, const std::string& instance);
    void dropInstance(Instant now, InstanceIx);
    size_t connectionsKept(const Instance&) const;
    void noteHeld(Instance&);
    void report(Instant now, bool whole);
    void sweep(Instant now);

    Options options_;
    policy::Random chance_;
    std::vector<Service> services_;
    std::unordered_map<std::string, uint32_t> serviceByName_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::vector<InstanceIx> freeIx_;
    std::unordered_map<std::string, InstanceIx> instanceById_;
    std::unordered_map<RequestId, Request> requests_;
    std::map<std::array<int64_t, 4>, uint32_t> kindByKey_;
    std::vector<Kind> kinds_;
    std::multimap<Instant, RequestId> holds_;  // until when a request may wait; looked at in sweeps
    std::deque<Output> out_;
    std::vector<std::string> dead_, up_;
    std::map<std::string, scaler::HeldSlots> heldChanges_;
    std::vector<uint32_t> changed_;
    std::set<uint32_t> hungry_;  // services for which requests wait
    uint64_t term_ = 0, grantedTerm_ = 0, order_ = 0;
    bool silent_ = false;  // nothing is heard of the holder
    bool linked_ = false, urgent_ = false, leaving_ = false;
    uint32_t senders_ = 1, mostSenders_ = 1;  // as told; the most of them within a window
    Instant fewerSince_ = Instant::never();
    Instant bornAt_;
    Instant reportedAt_, wakeAt_, sweepAt_;
    size_t held_ = 0, mostHeld_ = SIZE_MAX;
    Counters counters_;
};

}  // namespace petrelpond::proxy
