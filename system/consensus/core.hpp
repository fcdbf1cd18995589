// The replicated control state of the cores: a versioned register stored on a majority of disks, the set of
// voters whose disks form that majority, and a lease that elects one holder. No I/O, no threads and no clock
// access: every input carries `now`, and the caller pulls the outputs.
//
// The register: the highest version wins, and each version has exactly one value (register.cpp). There is no
// log and no leader; any core may write or read. Clocks: every time span is measured on the steady clock of
// one machine; the rates of two clocks may differ by one sixteenth.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "petrelpond/time.hpp"
#include "system/consensus/promised_ballots.hpp"

namespace petrelpond::consensus {

using NodeId = std::string;  // the IP address of a machine, which it keeps across restarts

// The ballot of a value that is known to be chosen; no ballot is higher.
constexpr uint64_t kChosenBallot = ~0ULL;

// One version of the register.
struct Value {
    int64_t version = 0;  // 0: none
    uint64_t digest = 0;
    std::string body;
    uint64_t ballot = 0;  // under which it was accepted
    bool isNewerThan(const Value& o) const {
        return version != o.version ? version > o.version : digest > o.digest;
    }
};

// Identifies a disk and how often its state has been saved.
struct DiskRevision {
    uint64_t diskId = 0;
    uint64_t saveCount = 0;
};

// The state kept on one disk. Loaded at start; each save replaces it as a whole.
struct DurableState {
    Value value;
    PromisedBallots claims;        // promised ballots by version of the register
    std::vector<NodeId> voters;    // sorted; empty: not agreed yet
    std::vector<NodeId> electors;  // sorted; the seeds of the first start, which agree on the first voters
    uint64_t votersBallot = 0;     // the highest ballot promised for the next voters
    uint64_t votersAcceptedBallot = 0;  // the ballot under which votersAcceptedOffer was accepted; 0: none
    std::vector<NodeId> votersAcceptedOffer;  // the accepted set of voters
    uint64_t epoch = 0;  // of the voters: 1 for the first set, +1 with each change; 0: no voters
    std::vector<NodeId> formerVoters;      // sorted; the voters of the previous epoch
    std::vector<std::string> joinedDisks;  // disks added by this epoch, as ip#diskId
    uint64_t diskId = 0;                   // random, drawn when the disk is first used
    // Set while a member with an intact disk has not yet taken over the state of the former voters.
    // 2: it was a voter of the previous epoch; 1: it was not; 0: no takeover pending.
    uint8_t takeoverState = 0;
    uint64_t term = 0;        // the highest lease term accepted
    NodeId votedFor;          // the candidate that got this disk's vote in that term
    NodeId leasePromisedTo;   // the holder last voted for or acknowledged; empty: unknown
    bool recovering = false;  // not acting as a voter: the disk was lost or a takeover is pending
    bool mayElect = true;     // may take part in the agreement on the first voters
    uint64_t saveCount = 0;   // number of saves of this disk, including this one
    std::map<NodeId, DiskRevision> knownDisks;  // the newest known revisions of the other cores' disks
};

enum class MessageKind : uint8_t {
    hello,  // introduces the sender and the nodes that it knows; answered by helloReply
    helloReply,
    heartbeat,  // of the lease holder; answered by heartbeatReply
    heartbeatReply,
    release,        // the holder gives the lease up
    put,            // asks to accept a value under its ballot; answered by registerReply, granted: accepted
    get,            // asks for the held value; answered by registerReply
    registerReply,  // with the header of the value that the sender has synced
    fetch,          // asks for the body of the value; answered by value
    value,
    committed,       // announces the chosen value that the sender knows
    recoverRequest,  // of a core that rebuilds its state; answered by recoverReply
    recoverReply,
    preVoteRequest,  // asks whether the receiver would vote for the sender; answered by preVoteReply
    preVoteReply,
    voteRequest,  // asks for a vote in the message's term; answered by voteReply
    voteReply,
    prepare,  // agreement on the voters, first phase; answered by promise
    promise,
    accept,  // agreement on the voters, second phase; answered by accepted
    accepted,
    claim,       // asks to promise a ballot for a version of the register; answered by claimReply
    claimReply,  // granted: promised; with the accepted value's header and the highest promised ballot
    last = claimReply,
};

// Identifies a value without its body. Ordered as one value replaces another on a disk.
struct ValueHeader {
    int64_t version = 0;
    uint64_t ballot = 0;
    uint64_t digest = 0;
    auto operator<=>(const ValueHeader&) const = default;
};

struct Message {
    MessageKind kind = MessageKind::hello;
    // In heartbeat: the request id of the newest heartbeat of which the holder has the receiver's reply.
    uint64_t echoedHeartbeatId = 0;
    uint64_t requestId = 0;   // repeated in the reply
    bool granted = false;     // in replies; in hello: the sender knows neither electors nor voters
    bool recovering = false;  // of the sender
    bool mayVote = false;     // of the sender
    bool leaving = false;     // the sender is shutting down: it may be replaced at once
    bool diskBroken = false;  // the last save of the sender failed
    ValueHeader syncedValue;  // what the sender has synced
    ValueHeader chosenValue;  // the newest value that the sender knows to be chosen
    uint64_t term = 0;        // of the lease
    // Of the agreement on the voters, or of a claim or put; in their replies the highest promised ballot.
    uint64_t ballot = 0;
    int64_t version = 0;  // that a claim, a put or its reply is about
    uint64_t acceptedBallot = 0;
    uint64_t epoch = 0;                // of the sender's voters; 0: it knows none
    uint8_t takeoverState = 0;         // of the sender, see DurableState
    uint64_t diskId = 0;               // of the sender's disk
    uint64_t saveCount = 0;            // of the sender's disk, synced
    uint64_t knownDiskId = 0;          // in helloReply: the receiver's disk as last heard of by the sender
    uint64_t knownSaveCount = 0;       // in helloReply: the highest save count known of the receiver's disk
    std::vector<NodeId> voters;        // empty: not known to the sender, or not part of this message
    std::vector<NodeId> formerVoters;  // sent with voters
    std::vector<std::string> joinedDisks;  // sent with voters
    std::vector<NodeId> nodes;  // known nodes; in prepare..accepted the offer, with ip#diskId for new voters
    std::vector<NodeId> electors;
    PromisedBallots::BallotsByVersion claims;  // in recoverReply
    std::shared_ptr<const Value> value;
};
std::string encode(const Message&);
// Returns nullopt for malformed input: truncated, too long or of wrong types.
std::optional<Message> decode(std::string_view);

struct SendRequest {
    NodeId to;
    Message message;
};
// To be synced to disk before Core::handleSaved(token) is called. A later request includes every earlier one.
struct SaveRequest {
    uint64_t token = 0;
    DurableState state;
};
// The outcome of write(), read() or changeVoters().
struct OperationResult {
    uint64_t ticket = 0;
    // refused: for changeVoters() only, which then had no effect. conflict: for write() only, the version
    // already has another value.
    enum Outcome { done, noMajority, refused, conflict } outcome = noMajority;
    std::shared_ptr<const Value> value;  // the newest chosen value that this operation found; null: none
    std::string reason = {};             // if refused
};
// A newer value is known to be chosen and should be distributed.
struct ValueChosen {
    std::shared_ptr<const Value> value;
};
// The lease as known to this core; emitted whenever the holder or the term changes.
struct Lease {
    bool held = false;  // by this core, until validUntil; Core::lease() returns the renewed expiry
    uint64_t term = 0;  // the fencing token
    NodeId holder;      // empty: unknown
    Instant validUntil = Instant::longAgo();
};
using Output = std::variant<SendRequest, SaveRequest, OperationResult, ValueChosen, Lease>;

// Defects that tests inject; the schedule searches must detect each of them.
enum class Defect : uint8_t {
    none,
    skipsRecovery,           // takes part with an empty disk without recovering first
    ackBeforeSync,           // replies before the promise is synced
    noWriteBack,             // a read returns a value that is not known to be chosen
    forgetsPromises,         // a restart forgets term, vote and the voters' ballots
    skipsTakeover,           // acts under new voters without taking over the state of the former ones
    emptyDiskTakesOver,      // a lost disk takes over from the former voters as if it had never been a voter
    stalePromise,            // the disk keeps the first lease promise instead of the last
    countsOtherEpochs,       // counts replies of members that are in another epoch
    votesRightAfterRestart,  // keeps term and vote, but not that a lease promise may still be in force
    holdsExpiredLease,       // remains holder after its lease has expired
    reusesTerm,              // stands for election again under a term that it already knows
    neverReplaces,           // never replaces an absent voter
    ignoresClaims,           // accepts a value below the ballot that it has promised
    ignoresAcceptedValue,    // puts its own value although another one was accepted for the version
    leaseFromReply,      // the lease runs from the receipt of a reply, not from the sending of the heartbeat
    contactFromReceipt,  // contact runs from the receipt of a heartbeat, not from the reply that it echoes
    refusesRepeatedWrites,          // refuses a write that is sent again once its version is decided
    countsEveryHeartbeatAsContact,  // even if the holder has not received this core's replies
    trustsRolledBackDisk,           // takes part with a disk that was restored to an earlier state
    leavesWithoutHandover,          // shuts down without waiting for a successor
    dropsSilentVoters,              // drops a voter after two silent heartbeats, even without a standby
    overlapsChanges,                // begins a change before the previous one has been taken over
    trustsStaleStandby,             // promotes a standby that has not answered since the vacancy arose
    neverResendsBallots,            // never resends messages of a ballot on the voters
    recoverReplyWaitsForDisk,       // does not answer a recoverRequest while its own disk takes no writes
    retriesWithoutPause,     // reads again at once whenever its claim is overtaken, even by its own disk
    refusesClaimsWhenFull,   // promises no ballot for a version beyond the listed ones
    sendsEmptyRecoverReply,  // omits its promises from a recoverReply while a save is pending
};

struct Options {
    NodeId self;
    std::vector<NodeId> seeds;
    bool bootstrap = false;  // the very first start of the system, with empty disks
    bool mayVote = true;     // may become a voter
    int machineLosses = 1;   // disks that may be lost at the same time
    Span heartbeatInterval = Span::millis(250);
    Span leaseDuration = Span::millis(1200);
    Span operationTimeout = Span::millis(900);  // of write() and read()
    // Silence after which a voter is replaced by a standby. Too short: a voter that was only paused becomes a
    // standby, at the cost of one change of the voters. Too long: a second loss finds one copy fewer.
    Span absenceTimeout = Span::millis(2000);
    // How long the last confirmed contact counts as current; see Core::isInContact.
    Span contactTimeout = Span::millis(1500);
    uint32_t randomSeed = 1;  // must differ between runs of a process
    Defect defect = Defect::none;
};

// What this core knows of one voter or standby, for operators.
struct MemberState {
    NodeId node;
    bool isVoter = false;
    bool catchingUp = false;  // a voter that has not recovered yet after a disk loss or a change
    bool standby = false;     // could be promoted to a voter
    bool leaving = false;     // is shutting down
    bool suspected = false;   // an absent voter, to be replaced as soon as there is a standby
    Span silent;              // time since its last message; 0 for this core
};

// One core's part of the protocol, as a deterministic state machine. Inputs are receive(), tick() and the
// other calls with `now`; after each of them the caller pulls nextOutput() until it is empty and then calls
// tick() no later than nextWakeup().
class Core {
  public:
    Core(Instant now, Options, std::optional<DurableState> found);  // nullopt: the disk was empty or damaged
    void receive(Instant now, const NodeId& from, const Message&);
    void handleLinkLoss(Instant now, const NodeId& peer);  // only a hint: resends sooner
    void handleSaved(Instant now, uint64_t token);
    // The disk is full or broken: this core does not act as a voter until a later save succeeds. Saves are
    // retried with growing pauses.
    void handleSaveFailure(Instant now, uint64_t token);
    // Done once a majority of the voters has synced the value or a newer one; conflict if the version has
    // another value. noMajority after Options::operationTimeout, though the value may still be chosen later.
    void write(Instant now, uint64_t ticket, std::shared_ptr<const Value>);
    // Writes the value back where the voters differ, so that later reads never return an older one.
    void read(Instant now, uint64_t ticket);
    // Changes the voters. Done once the new voters have answered a read. Refused, with a reason, if the
    // change is invalid or another one was decided first. noMajority after 4 * operationTimeout, though the
    // change may still take effect later.
    void changeVoters(Instant now, uint64_t ticket, std::vector<NodeId> removed, std::vector<NodeId> added);
    // Begins an orderly shutdown: hands the lease over, stands for no election and announces that this
    // voter is to be replaced. It keeps acting as a voter until mayLeave().
    void beginLeave(Instant now);
    // Whether the process may end without losing state or the majority: either a standby has replaced this
    // voter, or there is no standby and every reachable voter holds what this core knew to be chosen.
    bool mayLeave(Instant now) const;
    // Adds cores that newer settings name.
    void addPeers(Instant now, const std::vector<NodeId>& cores);
    void tick(Instant now);
    Instant nextWakeup() const;
    std::optional<Output> nextOutput();

    std::vector<NodeId> peers() const;  // all known cores except this one
    // Cores that could become voters: reachable, not voters yet, and with a value on a working disk.
    std::vector<NodeId> standbys(Instant now) const;
    const std::vector<NodeId>& voters() const { return state_.voters; }
    uint64_t epoch() const { return state_.epoch; }  // of the voters; 0: no voters known
    std::shared_ptr<const Value> newestValue()
        const;  // the newest on our disk or known to be chosen; null: none
    Lease lease() const { return lease_; }
    // Whether the last confirmed contact with a majority is recent enough for our state to count as current:
    // for the holder while its lease is valid, for another member while heartbeats show that the holder
    // received its replies. Measured from the sending of the reply, not from the receipt of the heartbeat.
    // Without contact nothing that we hold is certain to be the newest.
    bool isInContact(Instant now) const;
    std::vector<MemberState> members(Instant now) const;
    // How many more voters may be lost, as seen from here, before the majority is lost; negative: it is lost.
    int lossesLeft(Instant now) const;
    // Whether too few voters have been heard from recently to form a majority.
    bool isCutOff(Instant now) const;
    bool isRecovering() const { return state_.recovering; }
    // The number of reachable voters, this core included, whose disk was lost and is not rebuilt yet.
    int lostVoterCount(Instant now) const;
    // While this core recovers: the number of members that have replied.
    size_t recoverReplyCount() const { return recoverReplies_.size(); }
    size_t listedClaimCount() const { return state_.claims.listed().size(); }

  private:
    struct Peer {
        Instant heardAt = Instant::longAgo();
        Instant knownSince = Instant::longAgo();
        bool mayVote = false;
        bool recovering = false;
        bool leaving = false;
        bool diskBroken = false;
        uint64_t epoch = 0;          // of its voters, as last reported
        uint64_t saveCount = 0;      // of its disk
        uint64_t diskId = 0;         // of its disk
        bool knowsNoVoters = false;  // it knows neither electors nor voters
        ValueHeader syncedValue;
        bool saidHello = false;      // it has sent a hello or helloReply
        uint64_t answeredProbe = 0;  // the last vacancyProbe_ that it answered
    };
    struct Operation {
        uint64_t ticket = 0;
        bool hasCaller = false;  // a caller waits for the OperationResult
        enum class Step : uint8_t { reading, claiming, putting } step = Step::reading;
        Instant since;
        Instant pausedUntil = Instant::longAgo();
        Instant resendAt = Instant::longAgo();
        Instant settleAt = Instant::never();  // when this core claims another writer's undecided value
        Span resendPause = Span::millis(200);
        int outbidCount = 0;                     // number of restarts, for a growing pause
        bool overtaken = false;                  // a member has reported a higher version or a chosen value
        std::shared_ptr<const Value> requested;  // the value to write; null: a read
        std::shared_ptr<const Value> proposal;   // the value that is claimed for or put
        std::shared_ptr<const Value> fetched;    // received from another core
        uint64_t ballot = 0;                     // of this claim; 0: not assigned yet
        ValueHeader highest;                     // reading: the highest of all replies
        ValueHeader acceptedValue;               // claiming: the highest accepted for the version
        std::map<NodeId, ValueHeader> headers;   // by replying voter
        std::set<NodeId> higherPromises;         // voters that promised a ballot above their accepted one
        std::set<NodeId> grants;                 // voters that promised or accepted
    };
    struct VotersChange {                   // requested by an operator, or a replacement begun by this core
        uint64_t ticket = 0, epoch = 0;     // ticket 0: no caller; epoch: of the voters to change
        std::vector<NodeId> offer, voters;  // the offer has ip#diskId for new voters
        Instant since;
    };
    enum class Candidacy : uint8_t { none, preVoting, voting };

    void beginInput(Instant now);
    void endInput(Instant now);
    void send(const NodeId& to, Message m);
    void sendAfterSync(const NodeId& to, Message m);  // after all promises so far are synced
    void sendAfterSave(uint64_t token, const NodeId& to, Message m);
    void flushWaitingSends();
    void dispatch(Instant now, const NodeId& from, const Message& m);
    void processLoopback(Instant now);
    void sendToPeers(const Message& m);
    void fetchValue(Instant now, const NodeId& from);
    uint64_t nextToken() const { return dirty_ ? lastSaveToken_ + 1 : lastSaveToken_; }
    Message makeMessage(MessageKind kind, uint64_t requestId = 0) const;
    void markDirty() { dirty_ = true; }
    void notePeerHeard(Instant now, const NodeId& node);
    void sendHello(const NodeId& to, MessageKind kind, uint64_t requestId = 0);
    void handleHello(Instant now, const NodeId& from, const Message& m);
    void learnVoters(Instant now, uint64_t epoch, std::vector<NodeId> voters,
                     std::vector<NodeId> formerVoters, std::vector<std::string> joinedDisks);
    void addVotersTo(Message& m) const;
    bool isSameEpoch(const NodeId& from, const Message& m);
    void learnHeaders(Instant now, const NodeId& from, const Message& m);
    void adoptIfNewer(const std::shared_ptr<const Value>& v);
    ValueHeader syncedHeader() const;
    uint64_t promisedBallot(int64_t version) const { return state_.claims.promisedFor(version); }
    int64_t heldVersion() const { return value_ ? value_->version : 0; }
    void promiseClaim(int64_t version, uint64_t ballot);
    bool isDecided(int64_t version) const;
    bool isKnownChosen(const ValueHeader& header) const;
    void forgetClaims(int64_t below);
    void handleClaim(const NodeId& from, const Message& m);
    void handlePut(const NodeId& from, const Message& m);
    void handleGet(const NodeId& from, const Message& m);
    void handleValue(const Message& m);
    void handleFetch(const NodeId& to, const Message& m);
    void handleRegisterReply(Instant now, const NodeId& from, const Message& m);
    void finishOperation(const Operation& op, const std::shared_ptr<const Value>& chosen);
    bool markOvertaken(Operation& op) const;
    void restartReading(Instant now, Operation& op, bool pauses);
    void beginStep(Operation& op, Operation::Step step, Instant from);
    bool stepReading(Instant now, Operation& op);
    void stepClaiming(Instant now, Operation& op);
    std::shared_ptr<const Value> findValue(Instant now, Operation& op, const ValueHeader& header);
    void learnChosen(const std::shared_ptr<const Value>& v);
    bool selfIsVoter() const { return isVoter(options_.self); }
    bool isVoter(const NodeId& n) const;
    bool isMember() const;  // a voter with intact, writable and verified state
    void checkForRollback(Instant now, const NodeId& from, const Message& m);
    void treatDiskAsLost(Instant now);
    bool isElector() const;
    bool inElectors(const NodeId& n) const;
    // Who agrees on the next voters: the electors on the first set, the current voters on each later one.
    const std::vector<NodeId>& acceptors() const {
        return state_.epoch == 0 ? state_.electors : state_.voters;
    }
    bool isAcceptor() const { return state_.epoch == 0 ? isElector() : isMember(); }
    size_t majority() const { return state_.voters.size() / 2 + 1; }
    void startOperation(Instant now, uint64_t ticket, bool hasCaller, bool reading,
                        std::shared_ptr<const Value> requested);
    bool advanceOperation(Instant now, uint64_t requestId, Operation& op);  // true: finished
    void advanceOperations(Instant now);
    void resendRequest(Instant now, uint64_t requestId, Operation& op);
    void requestRecovery(Instant now);
    void restartBootstrap(Instant now);
    bool hasEnoughRecoverReplies() const;
    void proposeVotersChange(Instant now);
    void releaseLease();
    void finishVotersChange(uint64_t ticket, OperationResult::Outcome outcome, std::string reason = {});
    std::string refusalReason(const VotersChange& change, const std::vector<NodeId>& removed,
                              const std::vector<NodeId>& added) const;
    VotersChange makeVotersChange(Instant now, const std::vector<NodeId>& removed,
                                  const std::vector<NodeId>& added) const;
    bool isReachable(Instant now, const NodeId& node) const;
    bool isAbsent(Instant now, const NodeId& voter) const;
    bool hasTakenOver(const NodeId& voter) const;
    bool isBehind(Instant now, const NodeId& voter) const;
    const NodeId* findAbsentVoter(Instant now);
    void replaceAbsentVoter(Instant now);
    void noteSender(Instant now, const NodeId& from, const Message& m);
    void forgetSilentPeers(Instant now);
    bool shouldAnnounce(Instant now, const NodeId& node, const Peer&) const;
    bool isSyncedStateEquivalent() const;
    Message makeRecoverReply(const DurableState& state, const std::shared_ptr<const Value>& value,
                             const Message& request) const;
    void handleRecoverRequest(const NodeId& from, const Message& request);
    void finishRecovery(Instant now);
    void announceRecovery();
    void beginBallot(Instant now);
    bool isBallotActive(Instant now) const;
    void sendBallot(Instant now);
    void resendBallot(Instant now);
    void handleRecoveryMessage(Instant now, const NodeId& from, const Message& m);
    void proposeVoters(Instant now);
    void handleVotersBallot(Instant now, const NodeId& from, const Message& m);
    void proposeFirstVoters(Instant now);
    void runElection(Instant now);
    void handleLeaseMessage(Instant now, const NodeId& from, const Message& m);
    void requestVotes(Instant now, Candidacy candidacy);
    Message makeVoteRequest() const;
    void promiseLease(Instant now, const NodeId& to, uint64_t term);
    void sendHeartbeats(Instant now);
    void renewLease(Instant now);
    void noteEchoedHeartbeat(Instant now, uint64_t echo);
    bool wouldVote(Instant now, const NodeId& candidate) const;
    void setLease(bool held, uint64_t term, const NodeId& holder, Instant until);
    Span randomSpan(Span below);
    Span promiseDuration() const { return options_.leaseDuration + options_.leaseDuration * 0.0625; }

    Options options_;
    std::set<NodeId> diskConfirmedBy_;     // voters that know no newer revision of our disk
    bool rollbackChecked_ = false;         // enough voters have confirmed; see checkForRollback
    DurableState state_;                   // including unsynced promises, without the value's body
    std::shared_ptr<const Value> value_;   // the newest accepted value, synced or pending
    std::shared_ptr<const Value> chosen_;  // the newest value known to be chosen
    ValueHeader chosenHeader_;             // its ballot is kChosenBallot
    uint64_t highestClaimRound_ = 0;       // the highest round known of any claim
    std::map<int64_t, std::pair<NodeId, uint64_t>>
        claimRequests_;                       // by version: proposer and request id of the promised claim
    Instant contactAt_ = Instant::longAgo();  // when we sent the newest reply that a holder has received
    std::map<uint64_t, Instant> answeredHeartbeats_;  // reply time by request id
    std::map<NodeId, uint64_t>
        newestHeartbeatReplies_;  // on the holder: the newest heartbeat answered by each node
    ValueHeader chosenAtLeave_;   // chosenHeader_ at beginLeave()
    std::mt19937 random_;
    uint64_t firstRequestId_ = 0;  // random per run, so that replies to an earlier run match no request
    uint64_t lastRequestId_ = 0;
    Instant startedAt_;
    Instant inputAt_;  // time of the current input
    std::deque<Output> outputs_;
    std::map<NodeId, Peer> peers_;

    bool dirty_ = false;
    bool diskBroken_ = false;
    Instant retrySaveAt_ = Instant::never();
    Span savePause_ = Span::millis(500);
    uint64_t lastSaveToken_ = 0;  // of the newest SaveRequest
    uint64_t syncedToken_ = 0;    // of the newest synced one
    struct PendingSave {
        uint64_t token = 0;
        DurableState state;  // without the value
        std::shared_ptr<const Value> value;
    };
    std::deque<PendingSave> pendingSaves_;
    PendingSave synced_;                                         // the newest synced state
    std::deque<std::pair<uint64_t, SendRequest>> waitingSends_;  // to be sent once the token is synced
    uint64_t termSaveToken_ = 0;    // of the save that contains our term and lease promise
    std::deque<Message> loopback_;  // messages of this core to itself

    std::map<uint64_t, Operation> operations_;
    Instant lastFetchAt_ = Instant::longAgo();  // of the last fetch message
    Instant settleReadAt_ = Instant::never();   // when to read, as a newer value than the chosen one is known
    Instant helloAt_;
    uint32_t hellos_ = 0;

    uint64_t recoverRequestId_ = 0;
    Instant recoverAt_ = Instant::never();
    bool recoversFromVoters_ = false;
    Instant restartBootstrapAt_ = Instant::never();  // when to restart the bootstrap, with all seeds empty
    std::map<NodeId, Message> recoverReplies_;

    uint64_t vacancyProbe_ = 0;  // request id that proves a standby alive; 0: no vacancy
    std::optional<VotersChange> pendingChange_;
    Instant proposeAt_ = Instant::never();
    uint64_t ballot_ = 0;  // our current ballot on the voters; 0: none
    bool accepting_ = false;
    Instant ballotStartedAt_, ballotSentAt_;
    std::vector<NodeId> offer_;
    std::map<NodeId, Message> promises_;
    std::set<NodeId> acceptances_;
    uint64_t highestBallot_ = 0;

    Lease lease_;
    Instant electionAt_ = Instant::never();
    Candidacy candidacy_ = Candidacy::none;
    uint64_t voteRequestId_ = 0;
    Instant candidacyStartedAt_;
    uint64_t candidateTerm_ = 0;
    std::set<NodeId> votes_;
    bool leaving_ = false;
    NodeId leasePromisedTo_;  // no vote for another node before leasePromisedUntil_
    uint64_t leasePromiseTerm_ = 0;
    Instant leasePromisedUntil_;
    Instant heartbeatAt_ = Instant::never();
    std::map<uint64_t, Instant> sentHeartbeats_;  // sending time by request id
    std::map<NodeId, Instant>
        ackedHeartbeatAt_;      // sending time of the newest heartbeat that each node answered
    uint64_t highestTerm_ = 0;  // seen in any message
};

}  // namespace petrelpond::consensus
