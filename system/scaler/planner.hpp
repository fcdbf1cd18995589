// Decides which function instances are started and stopped and how many of their slots each sender may use.
// Run for the whole fleet by the holder of the startup duty. No I/O, no clock, no thread.
//
// Usage: pass every event with `now`, then pull next() until it is empty. Call tick() at wakeAt(). Answer
// every StartCall with onStarted() or onStartFailed() and its nonce, every StopCall with onStopped(). The
// next holder of the duty creates a new Planner; one that wins it again calls onTermRenewed().
//
// What takes long is done in parts: wakeAt() then lies in the past, and the caller attends to other events
// before it calls tick() again.
//
// Invariant: the slots of an instance that senders may use or still use never exceed its total. A revoked
// slot is free only once its sender has confirmed it. Exception: for a sender that does not respond, recalled
// slots not known to be in use are released after 0.6 s, and all slots of an unlinked one after 5 s.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "petrelpond/time.hpp"
#include "system/scaler/messages.hpp"
#include "system/scaler/usable_slots.hpp"

namespace petrelpond::scaler {

using SenderId = std::string;

struct FunctionSpec {
    std::string name;
    int memoryMb = 0;        // needed by one instance
    Span bootTime;           // mean boot time of an instance
    int maxConcurrency = 1;  // slots of one instance
    Span targetLatency;      // lowest target latency of its routes
    int maxConnections = 0;  // that one instance takes from all callers together; 0: unknown
    uint32_t slotsPerInstance() const { return usableSlots(maxConcurrency, maxConnections); }
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

// Counters since construction, for the log and status.
struct Counters {
    uint64_t starts = 0, startsFailed = 0, stops = 0, grantMessages = 0, recalledSlots = 0;
    uint64_t adopted = 0, lost = 0, drained = 0, wrongTerm = 0, overcommitted = 0, reassignedSlots = 0;
    uint64_t slotSearches = 0;    // searches for a free slot, each over all allocations of a service
    uint64_t workerSearches = 0;  // searches for a worker, each over all workers and starts under way
    // Current values, as of the last tick.
    uint64_t instances = 0, booting = 0, slots = 0, waiting = 0;
    uint64_t demands = 0;  // pairs of a service and a sender that calls it or did so lately
    // Demands, instances and allocations that were looked at; passes that left a rest for later.
    uint64_t recordsVisited = 0, cutPasses = 0;
};

// Records that are looked at in one pass and in one round over the services; the service at which the number
// is reached is finished. Against a holder that answers nobody while it computes. Drawback: with more records
// the services at the end get their slots some turns of the event loop later.
constexpr uint64_t kMaxRecordsPerPass = 50'000;

// Current state of one service, for operators.
struct ServiceState {
    std::string name;
    uint32_t up = 0, booting = 0;    // instances; a start without a response counts as booting
    uint32_t draining = 0;           // instances being ended by the planner or the platform
    uint64_t slots = 0;              // slots of the instances that are up
    uint32_t waiting = 0, busy = 0;  // requests, as reported by the senders
};

// What the planner requires of a sender:
//  - On each link, Grants are read and Reports are sent in order. The first Report of a link is full.
//  - The next Report names every instance that Grants named or whose slots or busy changed, also with 0. Its
//    HeldSlots counts the slots that are in use or may still be used, so after a decrease it shrinks as calls
//    end.
//  - Returned slots are reported at once. A Demand whose waiting count became 0 is reported with 0.
//  - A sender without a holder keeps using its slots. After 5 s without a link to it, its slots are granted
//    to others. If it was only cut off, both may send calls there, and the instance rejects those beyond its
//    slots as not executed.
class Planner {
  public:
    // maxCallsPerSecond: starts and stops that the platform accepts per second from all callers; listLag:
    // maximum age of the instance and worker lists.
    Planner(Instant now, uint64_t term, uint32_t randomSeed, double maxCallsPerSecond, Span listLag,
            uint64_t maxRecordsPerPass = kMaxRecordsPerPass);
    ~Planner();
    Planner(Planner&&) noexcept;
    Planner& operator=(Planner&&) noexcept;

    void onConfiguration(
        Instant now,
        std::vector<FunctionSpec> functions);  // the complete list; services may be added and removed
    // The same holder won the duty again under a higher term with no other in between: its state is kept.
    void onTermRenewed(Instant now, uint64_t term);
    void onSenderLinked(Instant now, const SenderId& senderId, const std::string& zone);
    void onReport(Instant now, const SenderId& senderId, const Report& report);  // ignored if of another term
    // closed: the sender's process ended (reset or close); otherwise it is silent and may still use its slots
    // for a while.
    void onSenderUnlinked(Instant now, const SenderId& senderId, bool closed);
    void onReportBacklog(
        Instant now);  // unread reports are queued: no sender counts as unresponsive meanwhile
    void onInstanceList(Instant now, std::vector<ListedInstance> list);  // the complete list, all pages
    void onWorkerList(Instant now, std::vector<Worker> workers);
    void onStarted(Instant now, const std::string& nonce, std::string instance, std::string address);
    // status: 409, 429 or 400 from the platform; 0: no response (the start may have happened).
    void onStartFailed(Instant now, const std::string& nonce, int status);
    // status 200 and 404: gone; 429: rate limited; 0: no response. The last two are retried.
    void onStopped(Instant now, const std::string& instance, int status);

    void tick(Instant now);
    bool isReady() const;    // whether senders' slots are known, so that grants and starts are made
    Instant wakeAt() const;  // in the past while a pass is unfinished
    std::optional<Output> next();

    const Counters& counters() const;
    std::vector<ServiceState> serviceStates() const;  // iterates over all instances: for occasional queries

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace petrelpond::scaler
