// The control state of the cores: one register on a majority of disks, the voters, whose disks
// make up a majority, and ballots for one duty. No I/O, no threads, no clocks: inputs carry `now`, outputs
// are pulled.
//
// The register: the highest version wins, and each version has one text (register.cpp); there is no log and
// no leader, any core may write or read. Clocks: every span is measured on the steady clock of one machine;
// the rates may differ by a sixteenth.
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

using NodeId = std::string;  // the ip of a machine; a machine always comes back at its ip

// The ballot of a text that is known to be chosen: none is above it.
constexpr uint64_t kChosenBallot = ~0ULL;

struct Value {
    int64_t version = 0;  // 0: none
    uint64_t digest = 0;
    std::string body;
    uint64_t ballot = 0;  // under which it was accepted
    bool isNewerThan(const Value& o) const {
        return version != o.version ? version > o.version : digest > o.digest;
    }
};

// How far a disk has come: its birth, and how often it was saved.
struct DiskRevision {
    uint64_t diskId = 0;
    uint64_t saveCount = 0;
};

// What one disk holds; loaded at start, each part saved whole.
struct DurableState {
    Value value;
    PromisedBallots claims;             // the ballots promised
    std::vector<NodeId> voters;         // sorted; empty: not agreed yet
    std::vector<NodeId> electors;       // sorted; who agrees on the voters: the seeds of the first start
    uint64_t votersBallot = 0;          // the highest ballot promised
    uint64_t votersAcceptedBallot = 0;  // the ballot under which votersAcceptedOffer was accepted; 0: none
    std::vector<NodeId> votersAcceptedOffer;  // what was accepted
    uint64_t epoch = 0;  // of the voters: 1 for the first, one more with each change; 0: no voters
    std::vector<NodeId> formerVoters;  // sorted; the voters of the epoch before, from which it is taken over
    std::vector<std::string> joinedDisks;  // who came with this epoch, as ip#birth of the disk that was meant
    uint64_t diskId = 0;                   // drawn when this disk was first used: another one is another disk
    // The voters have changed and are not taken over yet, by a whole disk: 2 took part in the epoch before, 1
    // not.
    uint8_t takeoverState = 0;
    uint64_t term = 0;        // the highest term of the duty heard of
    NodeId votedFor;          // who got this disk's vote in that term
    NodeId leasePromisedTo;   // whose lease it has voted for or answered last; empty: not known
    bool recovering = false;  // the disk was lost: takes no part as a voter
    bool mayElect = true;     // may take part in the agreement on the voters
    uint64_t saveCount = 0;   // how often this disk was saved, this time included
    std::map<NodeId, DiskRevision> knownDisks;  // the newest that was heard of the others' disks
};

enum class MessageKind : uint8_t {
    hello,  // who I am and whom I know; answered by helloBack
    helloReply,
    heartbeat,  // of the holder of the duty; answered by beatBack
    heartbeatReply,
    release,  // the holder gives the duty up
    put,      // accept this value under its ballot; answered by held, yes: accepted
    get,      // what do you hold? answered by held
    registerReply,
    fetch,  // send me your value; answered by value
    value,
    committed,       // this version lies on a majority
    recoverRequest,  // I lost my disk, tell me all; answered by recoverTell
    recoverReply,
    preVoteRequest,  // would you vote for me? answered by voteProbeBack
    preVoteReply,
    voteRequest,  // vote for me; answered by vote
    voteReply,
    prepare,  // agreement on the voters, first phase; answered by promise
    promise,
    accept,  // second phase; answered by accepted
    accepted,
    claim,       // promise this ballot for this version; answered by claimed
    claimReply,  // yes: promised; with what was accepted and the highest promise
    last = claimReply,
};

// A mark of a value without its body, in the order in which one replaces another on a disk.
struct ValueHeader {
    int64_t version = 0;
    uint64_t ballot = 0;
    uint64_t digest = 0;
    auto operator<=>(const ValueHeader&) const = default;
};

struct Message {
    MessageKind kind = MessageKind::hello;
    uint64_t echoedHeartbeatId =
        0;  // in beat: the number of the newest beat that the holder knows the receiver to have answered
    uint64_t requestId = 0;   // of the request, repeated in its answer
    bool granted = false;     // granted
    bool recovering = false;  // of the sender
    bool mayVote = false;     // of the sender
    bool leaving = false;     // the sender ends in order: its place may be given away at once
    bool diskBroken = false;  // the sender's disk takes no writes at present
    ValueHeader syncedValue;  // what the sender has synced
    ValueHeader chosenValue;  // what the sender knows to lie on a majority
    uint64_t term = 0;        // of the duty
    uint64_t ballot =
        0;  // of the agreement on the voters; of a claim or put, or the promise that stands against it
    int64_t version = 0;  // that a claim, a put or its answer is about
    uint64_t acceptedBallot = 0;
    uint64_t epoch = 0;         // of the sender's voters; 0: it knows none
    uint8_t takeoverState = 0;  // of the sender, see Durable
    uint64_t diskId = 0;        // of the sender's disk
    uint64_t saveCount = 0;     // of the sender's disk, synced
    uint64_t knownDiskId = 0;  // in helloBack: the birth of the receiver's disk that the sender heard of last
    uint64_t knownSaveCount =
        0;  // in helloBack: of the receiver's disk, the most that the sender has heard of
    std::vector<NodeId> voters;            // empty: not known to the sender, or known to the receiver
    std::vector<NodeId> formerVoters;      // goes with voters
    std::vector<std::string> joinedDisks;  // goes with voters
    std::vector<NodeId> nodes;  // whom the sender knows; in prepare..accepted offers, ip#birth of who comes
    std::vector<NodeId> electors;
    PromisedBallots::BallotsByVersion claims;  // in recoverTell
    std::shared_ptr<const Value> value;
};
std::string encode(const Message&);
// Nothing for what is no message: cut short, too long, of wrong types.
std::optional<Message> decode(std::string_view);

struct SendRequest {
    NodeId to;
    Message message;
};
struct SaveRequest {  // must be synced to disk before saved(token); a later Save holds all of an earlier one
    uint64_t token = 0;
    DurableState state;
};
struct OperationResult {  // of write(), read() and change()
    uint64_t ticket = 0;
    // refused: of a change alone, never carried out. conflict: of a write alone, its version has another
    // text.
    enum Outcome { done, noMajority, refused, conflict } outcome = noMajority;
    std::shared_ptr<const Value> value;  // the newest known to lie on a majority; null: none
    std::string reason = {};             // if refused
};
struct ValueChosen {  // a newer value is known to lie on a majority: bring it to everybody
    std::shared_ptr<const Value> value;
};
struct Lease {          // whenever who holds the duty, as known here, changes
    bool held = false;  // it is me; only good before validUntil, ask Core::duty() for its newest instant
    uint64_t term = 0;  // the fence number
    NodeId holder;      // empty: nobody known
    Instant validUntil = Instant::longAgo();
};
using Output = std::variant<SendRequest, SaveRequest, OperationResult, ValueChosen, Lease>;

// Defects for the tests alone: the search has to find each of them.
enum class Defect : uint8_t {
    none,
    skipsRecovery,
    ackBeforeSync,
    noWriteBack,
    forgetsPromises,
    skipsTakeover,       // takes part on changed voters without having taken over what the former ones knew
    emptyDiskTakesOver,  // an empty disk takes over from the former voters as if it had never been one of the
                         // new ones
    stalePromise,        // the disk keeps the first promise for the last
    countsOtherEpochs,   // counts answers of members that are on other voters already
    votesRightAfterRestart,  // term and vote are kept, but not that a promise may still run
    holdsExpiredLease,       // goes on as holder once its lease is over
    reusesTerm,              // stands again under the term that it knows
    neverReplaces,           // leaves the place of a member that is gone empty
    ignoresClaims,  // accepts a text below the ballot that it promised: the digest decides, as it once did
    ignoresAcceptedValue,   // puts its own text although another one was accepted for the version
    leaseFromReply,         // the lease runs from when an answer came, not from when it was asked for
    contactFromReceipt,     // contact runs from when a heartbeat came, not from the answer that it tells of
    refusesRepeatedWrites,  // an order that is sent again once its version is decided is refused
    countsEveryHeartbeatAsContact,  // takes every heartbeat for contact, whoever has heard its answers
    trustsRolledBackDisk,           // takes part with a disk that was put back to an earlier state
    leavesWithoutHandover,          // ends in order without waiting for who takes its place
    dropsSilentVoters,    // drops a voter that is silent for two heartbeats, though nobody takes the place
    overlapsChanges,      // begins a change before the one before it is taken over
    trustsStaleStandby,   // gives a place to a standby that has not answered since the place fell free
    neverResendsBallots,  // sends no message of a ballot on the voters again
    recoverReplyWaitsForDisk,  // tells a lost disk nothing while its own disk takes no writes
    retriesWithoutPause,     // looks again at once whenever its claim is overtaken, also by what its own disk
                             // knows
    refusesClaimsWhenFull,   // promises no ballot for a version beyond those that it can list
    sendsEmptyRecoverReply,  // tells a lost disk nothing that it has promised, while it still saves
};

struct Options {
    NodeId self;
    std::vector<NodeId> seeds;
    bool bootstrap = false;  // the very first start of the whole, on empty disks
    bool mayVote = true;     // may be put among the voters
    int machineLosses = 1;   // disks that may be lost at the same time
    Span heartbeatInterval = Span::millis(250);
    Span leaseDuration = Span::millis(1200);
    Span operationTimeout = Span::millis(900);  // of write() and read()
    // Silence after which a member's place is given to a standby. Harm if too short: a member that was only
    // paused becomes the standby, at the cost of one change; if too long: a second loss meets one copy fewer.
    Span absenceTimeout = Span::millis(2000);
    // How long what was confirmed last may pass for current; see Core::inContact.
    Span contactTimeout = Span::millis(1500);
    uint32_t randomSeed = 1;  // must differ between the lives of a process
    Defect defect = Defect::none;
};

// What this core knows of one member or standby, for operators.
struct MemberState {
    NodeId node;
    bool isVoter = false;     // is among the voters
    bool catchingUp = false;  // a voter that has not taken part yet since its disk or the voters changed
    bool standby = false;     // would take a place that falls free
    bool leaving = false;     // was told to end
    bool suspected = false;   // a voter whose place goes to a standby as soon as there is one
    Span silent;              // since it was heard last; 0: this core itself
};

class Core {
  public:
    Core(Instant now, Options, std::optional<DurableState> found);  // nullopt: the disk was empty or damaged
    void receive(Instant now, const NodeId& from, const Message&);
    void handleLinkLoss(Instant now, const NodeId& peer);  // the link to it broke: a hint only
    void handleSaved(Instant now, uint64_t token);
    // The disk is full or broken: it counts no more until a later Save (with growing pauses) succeeds.
    void handleSaveFailure(Instant now, uint64_t token);
    // Done once a majority of the voters have synced it or something newer. noMajority after
    // Options::operationTimeout, though it may still take hold.
    void write(Instant now, uint64_t ticket, std::shared_ptr<const Value>);
    // Writes back where the members differ, so that what was once read can't go back.
    void read(Instant now, uint64_t ticket);
    // Other voters: `gone` leave it, `come` join. Done once the new voters have answered a read. Refused,
    // with why, where it can't be or another change was decided first. noMajority after 4 x operationTimeout:
    // it may take hold all the same.
    void changeVoters(Instant now, uint64_t ticket, std::vector<NodeId> removed, std::vector<NodeId> added);
    // Leaving in order: gives the duty up at once, stands no more, and says that its place is free. It goes
    // on counting until mayLeave().
    void beginLeave(Instant now);
    // Whether nothing would be lost or left without a majority by ending now: the place among the voters has
    // been taken over by a standby, or there is none, and who is here holds what we know to be acknowledged.
    bool mayLeave(Instant now) const;
    // Other cores, as newer settings name them.
    void addPeers(Instant now, const std::vector<NodeId>& cores);
    void tick(Instant now);
    Instant nextWakeup() const;
    std::optional<Output> nextOutput();

    std::vector<NodeId> peers() const;  // all cores known but this one
    // Cores that would take a place among the voters: not on it, in touch, with a disk that holds what is
    // acknowledged or nearly.
    std::vector<NodeId> standbys(Instant now) const;
    const std::vector<NodeId>& voters() const { return state_.voters; }
    uint64_t epoch() const { return state_.epoch; }  // of the voters; 0: none is known
    std::shared_ptr<const Value> newestValue()
        const;  // the newest on our disk or known committed; null: none
    Lease lease() const { return lease_; }
    // Whether a majority has been heard of so lately that what we know may pass for current: the holder while
    // its lease runs, a member while the holder's heartbeats say that they got its answers. Measured from
    // when we answered, not from when we were told. Outside of it nothing that we hold is the newest for
    // sure.
    bool isInContact(Instant now) const;
    std::vector<MemberState> members(Instant now) const;
    // How many more voters may be lost, as seen from here, before a majority is missing; negative: it is
    // missing.
    int lossesLeft(Instant now) const;
    // Whether no majority can be reached from here: so few members have been heard lately.
    bool isCutOff(Instant now) const;
    bool isRecovering() const { return state_.recovering; }
    // Voters that have said lately, or know of themselves, that their disk was lost and is not rebuilt.
    int lostVoterCount(Instant now) const;
    // Of a rebuild of this disk: how many members have told what they hold.
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
        uint64_t epoch = 0;          // of its voters, as it said last
        uint64_t saveCount = 0;      // of its disk
        uint64_t diskId = 0;         // of its disk
        bool knowsNoVoters = false;  // knows neither electors nor voters
        ValueHeader syncedValue;
        bool saidHello = false;      // it has said hello itself
        uint64_t answeredProbe = 0;  // the last vacancyProbe_ that it answered
    };
    struct Operation {
        uint64_t ticket = 0;
        bool hasCaller = false;  // somebody waits for the Answer
        enum class Step : uint8_t { reading, claiming, putting } step = Step::reading;
        Instant since;
        Instant pausedUntil = Instant::longAgo();
        Instant resendAt = Instant::longAgo();
        Instant settleAt = Instant::never();  // another writer's text is settled by us then
        Span resendPause = Span::millis(200);
        int outbidCount = 0;                     // times, for a pause that grows
        bool overtaken = false;                  // once: a member held a higher version, or a chosen text
        std::shared_ptr<const Value> requested;  // what is to be written; null: a read
        std::shared_ptr<const Value> proposal;   // what is claimed for or put
        std::shared_ptr<const Value> fetched;    // fetched from another core
        uint64_t ballot = 0;                     // of this claim; 0: not drawn yet
        ValueHeader highest;                     // asking: of all answers
        ValueHeader acceptedValue;               // claiming: the highest accepted for the version
        std::map<NodeId, ValueHeader> headers;   // what each answer held
        std::set<NodeId> higherPromises;         // whose promise is above what it accepted
        std::set<NodeId> grants;                 // who promised, or accepted
    };
    struct VotersChange {                   // asked for by an operator here, or a replacement that we began
        uint64_t ticket = 0, epoch = 0;     // ticket 0: nobody waits; epoch: of the voters that it changes
        std::vector<NodeId> offer, voters;  // as offered, with ip#birth of who comes; plain
        Instant since;
    };
    enum class Candidacy : uint8_t { none, preVoting, voting };

    void beginInput(Instant now);
    void endInput(Instant now);
    void send(const NodeId& to, Message m);
    void sendAfterSync(const NodeId& to, Message m);  // once all that has been promised by now lies on disk
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
    void sendHello(const NodeId& to, MessageKind kind,
                   uint64_t requestId = 0);  // number: told back with the answer
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
    bool isMember() const;  // counts as a disk of the voters now
    void checkForRollback(Instant now, const NodeId& from, const Message& m);
    void treatDiskAsLost(Instant now);
    bool isElector() const;
    bool inElectors(const NodeId& n) const;
    // Who agrees on the next voters: the electors on the first, then the members of each on the one after it.
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
                             const Message& ask) const;
    void handleRecoverRequest(const NodeId& from, const Message& ask);
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
    std::set<NodeId> diskConfirmedBy_;     // members that have not seen our disk further than it is
    bool rollbackChecked_ = false;         // by enough of them; see disk_age.cpp
    DurableState state_;                   // all promised so far, without the value's body
    std::shared_ptr<const Value> value_;   // the newest value to be on our disk
    std::shared_ptr<const Value> chosen_;  // the newest value known to lie on a majority
    ValueHeader chosenHeader_;             // its ballot is kChosenBallot
    uint64_t highestClaimRound_ = 0;       // the highest round of a claim heard of
    std::map<int64_t, std::pair<NodeId, uint64_t>>
        claimRequests_;                               // by version: whose claim was promised, its number
    Instant contactAt_ = Instant::longAgo();          // of our newest answer that a holder is known to have
    std::map<uint64_t, Instant> answeredHeartbeats_;  // by number: when
    std::map<NodeId, uint64_t>
        newestHeartbeatReplies_;  // of the holder: each member's newest answer, by number
    ValueHeader chosenAtLeave_;   // what was known to lie on a majority as this core began to leave
    std::mt19937 random_;
    uint64_t firstRequestId_ =
        0;  // numbers of requests start here, so that answers to an earlier life match none
    uint64_t lastRequestId_ = 0;
    Instant startedAt_;
    Instant inputAt_;  // the last input
    std::deque<Output> outputs_;
    std::map<NodeId, Peer> peers_;

    bool dirty_ = false;
    bool diskBroken_ = false;
    Instant retrySaveAt_ = Instant::never();
    Span savePause_ = Span::millis(500);
    uint64_t lastSaveToken_ = 0;  // of the newest Save
    uint64_t syncedToken_ = 0;    // of the newest synced
    struct PendingSave {
        uint64_t token = 0;
        DurableState state;  // without the value
        std::shared_ptr<const Value> value;
    };
    std::deque<PendingSave> pendingSaves_;
    PendingSave synced_;  // what surely lies on this disk: its newest Save that is done
    std::deque<std::pair<uint64_t, SendRequest>> waitingSends_;  // to be sent once that token is synced
    uint64_t termSaveToken_ = 0;                                 // of the Save that brings our term to disk
    std::deque<Message> loopback_;                               // from us to us

    std::map<uint64_t, Operation> operations_;
    Instant lastFetchAt_ = Instant::longAgo();  // the last fetch
    Instant settleReadAt_ = Instant::never();   // somebody holds more than is known to be sure: look then
    Instant helloAt_;
    uint32_t hellos_ = 0;

    uint64_t recoverRequestId_ = 0;
    Instant recoverAt_ = Instant::never();
    bool recoversFromVoters_ = false;
    Instant restartBootstrapAt_ = Instant::never();  // when to begin anew, all seeds being empty
    std::map<NodeId, Message> recoverReplies_;

    uint64_t vacancyProbe_ = 0;  // standbys that answer this are there; 0: no place is free
    std::optional<VotersChange> pendingChange_;
    Instant proposeAt_ = Instant::never();
    uint64_t ballot_ = 0;  // the ballot being run; 0: none
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
    NodeId leasePromisedTo_;  // no vote for another before leasePromisedUntil_
    uint64_t leasePromiseTerm_ = 0;
    Instant leasePromisedUntil_;
    Instant heartbeatAt_ = Instant::never();
    std::map<uint64_t, Instant> sentHeartbeats_;  // number of a beat: when sent
    std::map<NodeId, Instant> ackedHeartbeatAt_;  // when the newest beat it answered was sent
    uint64_t highestTerm_ = 0;                    // heard anywhere
};

}  // namespace petrelpond::consensus
