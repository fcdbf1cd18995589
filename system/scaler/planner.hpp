// Which instances of functions exist, and which sender may use how many of their slots: decided by the one
// that holds the startup duty, for the whole fleet. No I/O, no clock, no thread.
//
// How it is driven: every event comes with `now`; afterwards next() is pulled until it is empty. tick() is
// due at wakeAt(). Every StartCall is answered by started() or startFailed() with its nonce, every StopCall
// by stopped(). A Planner lives for one term of the duty; the next holder makes a fresh one.
//
// The one rule that all else serves: the slots that senders may use or still use of an instance are never
// more in sum than it has. A slot that is taken back is free only once its sender has said so. It gives way
// where a sender says nothing: after 0.6 s to what it was not seen to use, after 5 s to all.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "petrelpond/time.hpp"
#include "system/scaler/messages.hpp"

namespace petrelpond::scaler {

using SenderId = std::string;

struct FunctionSpec {
    std::string name;
    int memoryMb = 0;        // of one instance
    Span bootTime;           // mean time of a start
    int maxConcurrency = 1;  // slots of one instance
    Span targetLatency;      // least target latency of its routes
};
struct ListedInstance {
    std::string instance, service, address, zone, worker;
    int slots = 0;
    bool draining = false;
};
struct Worker {
    std::string name, zone;
    int memoryMb = 0, freeMb = 0;
    bool draining = false;
};

struct StartCall {
    std::string service, worker, nonce;
};
struct StopCall {
    std::string instance;
};
struct GrantsMessage {
    SenderId to;
    Grants grants;
};
using Output = std::variant<StartCall, StopCall, GrantsMessage>;

// What happened since construction, for the log.
struct Counters {
    uint64_t starts = 0, startsFailed = 0, stops = 0, grantMessages = 0, recalledSlots = 0;
    uint64_t adopted = 0, lost = 0, drained = 0, wrongTerm = 0, overcommitted = 0, reassignedSlots = 0;
    uint64_t slotSearches = 0;  // for a free slot, each through all shares of a service
    uint64_t instances = 0, booting = 0, slots = 0, waiting = 0;  // of now, as of the last tick
};

// One service as it stands, for operators.
struct ServiceState {
    std::string name;
    uint32_t up = 0, booting = 0;    // instances; a start without an answer counts as booting
    uint32_t draining = 0;           // instances that end, by our will or the platform's
    uint32_t slots = 0;              // of the instances that are up
    uint32_t waiting = 0, busy = 0;  // requests, as the senders reported them
};

// What a sender's agent owes, and the planner relies on:
//  - per link, Tells are read and Reports are sent in order; the first Report of a link is whole;
//  - every instance named in Grants, or whose slots or busy changed, is named in the next Report, with 0 too;
//    a Held tells the slots that are in use or may still be used, so a lowered one shrinks as calls end;
//  - what is given back is reported at once; a Demand whose waiting went to 0 is reported with 0;
//  - a sender without a holder goes on with its slots. After 5 s of its silence they are given to others:
//  where
//    it was only cut off, both may send there, and what is too much is turned away as not run.
class Planner {
  public:
    // dutyPerS: starts and stops that the platform takes a second from all; listLag: the most by which the
    // lists of instances and workers are behind.
    Planner(Instant now, uint64_t term, uint32_t randomSeed, double maxCallsPerSecond, Span listLag);
    ~Planner();
    Planner(Planner&&) noexcept;
    Planner& operator=(Planner&&) noexcept;

    void onConfiguration(Instant now,
                         std::vector<FunctionSpec> functions);  // all of them; services come and go
    // The same holder won again under a higher term, without another between: what it knows stays.
    void onTermRenewed(Instant now, uint64_t term);
    void onSenderLinked(Instant now, const SenderId& senderId, const std::string& zone);
    void onReport(Instant now, const SenderId& senderId, const Report& report);  // of another term: ignored
    // closed: its process ended (reset or close); else it is silent and may still use its slots for a while.
    void onSenderUnlinked(Instant now, const SenderId& senderId, bool closed);
    void onReportBacklog(Instant now);  // reports wait unread: nobody is late by what was not heard
    void onInstanceList(Instant now, std::vector<ListedInstance> list);  // the whole list, all pages
    void onWorkerList(Instant now, std::vector<Worker> workers);
    void onStarted(Instant now, const std::string& nonce, std::string instance, std::string address);
    // 409, 429, 400 as the platform said; 0: no answer (the start may have happened).
    void onStartFailed(Instant now, const std::string& nonce, int status);
    // 200 and 404: gone; 429: too fast; 0: no answer. The last two are tried again.
    void onStopped(Instant now, const std::string& instance, int status);

    void tick(Instant now);
    bool isReady() const;  // what the senders hold is known: slots are given out, instances started
    Instant wakeAt() const;
    std::optional<Output> next();

    const Counters& counters() const;
    std::vector<ServiceState> serviceStates()
        const;  // goes through all instances: for a question now and then

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace petrelpond::scaler
