// Scripted tests of Core for cases that random schedules may miss. Each fails without the safeguard that it
// names.
#include "system/consensus/core.hpp"

#include <gtest/gtest.h>

#include "system/consensus/world_for_test.hpp"

namespace petrelpond::consensus {
namespace {

const NodeId a = "10.0.0.1", b = "10.0.0.2", c = "10.0.0.3";

Instant ms(int64_t n) { return Instant::atMicros(1000000 + n * 1000); }

Options options(const NodeId& self) {
    Options o;
    o.self = self;
    o.seeds = {a, b, c};
    return o;
}

DurableState durable(int64_t version = 0) {
    DurableState d;
    d.voters = d.electors = {a, b, c};
    d.epoch = 1;
    d.term = 3;
    if (version > 0) d.value = {version, 1, "body"};
    return d;
}

template <class T>
std::vector<T> drainOutputs(Core& core) {
    std::vector<T> all;
    while (auto o = core.nextOutput()) {
        if (auto* t = std::get_if<T>(&*o)) all.push_back(std::move(*t));
    }
    return all;
}

int count(const std::vector<SendRequest>& sends, MessageKind kind) {
    return static_cast<int>(std::count_if(sends.begin(), sends.end(),
                                          [&](const SendRequest& s) { return s.message.kind == kind; }));
}

Message put(int64_t version) {
    Message m;
    m.kind = MessageKind::put;
    m.requestId = 5;
    m.voters = {a, b, c};
    m.epoch = 1;
    m.value = std::make_shared<const Value>(Value{version, 1, "body"});
    return m;
}

Message makeMessage(MessageKind kind, uint64_t term = 0) {
    Message m;
    m.kind = kind;
    m.requestId = 6;
    m.epoch = 1;
    m.term = term;
    return m;
}

// Another voter knows no newer revision of our disk; from then on this core acts as a voter.
void passRollbackCheck(Core& core) {
    core.receive(ms(0), b, makeMessage(MessageKind::helloReply));
    while (core.nextOutput()) {
    }
}

TEST(Message, RoundTripsAndRejectsGarbage) {
    Message m = put(7);
    m.granted = m.mayVote = true;
    m.syncedValue = {4, 9, ~0ULL};
    m.chosenValue = {3, kChosenBallot, 2};
    m.version = 7;
    m.claims = {{7, 3}, {9, 1}};
    m.term = 9;
    m.ballot = 513;
    m.acceptedBallot = 512;
    m.nodes = {a};
    m.electors = {b};
    const std::string bytes = encode(m);
    const auto back = decode(bytes);
    ASSERT_TRUE(back);
    EXPECT_EQ(encode(*back), bytes);
    EXPECT_EQ(back->value->body, "body");
    EXPECT_EQ(back->syncedValue, m.syncedValue);
    for (size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(decode(bytes.substr(0, n))) << n;
    EXPECT_FALSE(decode(bytes + "x"));
    EXPECT_FALSE(decode("GET / HTTP/1.1\r\n\r\n"));
    std::mt19937 random(1);
    for (int i = 0; i < 20000; ++i) {
        std::string bad = bytes;
        for (int k = 0; k < 3; ++k) bad[random() % bad.size()] = static_cast<char>(random());
        decode(bad);  // must neither crash nor allocate much memory
    }
    EXPECT_FALSE(decode("\xdd\xff\xff\xff\xff"));
}

TEST(Core, AnswersAPutOnlyAfterSync) {
    Core core(ms(0), options(a), durable());
    passRollbackCheck(core);
    core.receive(ms(1), b, put(7));
    std::optional<SaveRequest> save;
    while (auto o = core.nextOutput()) {
        if (auto* s = std::get_if<SaveRequest>(&*o)) save = *s;
        const auto* sent = std::get_if<SendRequest>(&*o);
        EXPECT_TRUE(!sent || sent->message.kind != MessageKind::registerReply);
    }
    ASSERT_TRUE(save);
    EXPECT_EQ(save->state.value.version, 7);
    core.handleSaved(ms(2), save->token);
    const auto sends = drainOutputs<SendRequest>(core);
    ASSERT_EQ(count(sends, MessageKind::registerReply), 1);
    EXPECT_EQ(sends[0].message.syncedValue, (ValueHeader{7, 0, 1}));
}

TEST(Core, StaysSilentAfterASaveFailureUntilALaterSaveSucceeds) {
    Core core(ms(0), options(a), durable());
    passRollbackCheck(core);
    core.receive(ms(1), b, put(7));
    const auto saves = drainOutputs<SaveRequest>(core);
    ASSERT_EQ(saves.size(), 1u);
    core.handleSaveFailure(ms(2), saves[0].token);
    core.receive(ms(3), b, makeMessage(MessageKind::get));
    core.receive(ms(4), b, makeMessage(MessageKind::voteRequest, 9));
    EXPECT_EQ(drainOutputs<SendRequest>(core).size(), 0u);
    std::vector<SaveRequest> again;
    int64_t at = 5;
    for (; again.empty() && at < 2000; at += 10) {
        core.tick(ms(at));
        again = drainOutputs<SaveRequest>(core);
    }
    EXPECT_GT(at, 400);  // only after a pause
    ASSERT_EQ(again.size(), 1u);
    core.handleSaved(ms(at), again[0].token);
    core.receive(ms(at + 1), b, makeMessage(MessageKind::get));
    EXPECT_EQ(count(drainOutputs<SendRequest>(core), MessageKind::registerReply), 1);
}

TEST(Core, AfterDiskLossStaysSilentUntilAMajorityHasReplied) {
    Core core(ms(0), options(a), std::nullopt);
    for (SaveRequest& s : drainOutputs<SaveRequest>(core)) {
        EXPECT_TRUE(s.state.recovering);
        core.handleSaved(ms(1), s.token);
    }
    Message hello = makeMessage(MessageKind::helloReply);
    hello.voters = hello.electors = {a, b, c};
    core.receive(ms(2), b, hello);
    core.receive(ms(3), b, put(7));
    core.receive(ms(4), b, makeMessage(MessageKind::get));
    core.receive(ms(5), b, makeMessage(MessageKind::voteRequest, 9));
    core.receive(ms(6), b, makeMessage(MessageKind::recoverRequest));
    for (SaveRequest& s : drainOutputs<SaveRequest>(core)) core.handleSaved(ms(7), s.token);
    auto sends = drainOutputs<SendRequest>(core);
    for (const MessageKind k :
         {MessageKind::registerReply, MessageKind::voteReply, MessageKind::recoverReply})
        EXPECT_EQ(count(sends, k), 0);
    // Not before all operations have ended in which its earlier replies may count.
    core.tick(ms(1400));
    for (SaveRequest& s : drainOutputs<SaveRequest>(core)) core.handleSaved(ms(1401), s.token);
    core.tick(ms(1490));
    EXPECT_EQ(count(drainOutputs<SendRequest>(core), MessageKind::recoverRequest), 0);
    core.tick(ms(1600));
    sends = drainOutputs<SendRequest>(core);
    ASSERT_EQ(count(sends, MessageKind::recoverRequest), 2);
    Message reply = makeMessage(MessageKind::recoverReply, 12);
    for (const SendRequest& s : sends) {
        if (s.message.kind == MessageKind::recoverRequest) reply.requestId = s.message.requestId;
    }
    reply.granted = true;
    reply.voters = {a, b, c};
    reply.value = std::make_shared<const Value>(Value{8, 1, "newer"});
    core.receive(ms(1601), b, reply);
    core.receive(ms(1602), b, reply);  // a repeated reply counts once
    reply.recovering = true;
    core.receive(ms(1603), c, reply);  // a core that is recovering itself does not count
    EXPECT_TRUE(core.isRecovering());
    for (SaveRequest& s : drainOutputs<SaveRequest>(core)) core.handleSaved(ms(1604), s.token);
    reply.recovering = false;
    core.receive(ms(1605), c, reply);
    EXPECT_FALSE(core.isRecovering());
    const auto saves = drainOutputs<SaveRequest>(core);
    ASSERT_EQ(saves.size(), 1u);
    EXPECT_EQ(saves[0].state.value.version, 8);
    EXPECT_EQ(saves[0].state.term, 12u);
    EXPECT_FALSE(saves[0].state.recovering);
}

// A member of a later epoch may have sent its state to the new voters before it answered this read, so its
// reply must not count.
TEST(Core, IgnoresRepliesFromAnotherVotersEpoch) {
    for (const Defect defect : {Defect::none, Defect::countsOtherEpochs}) {
        Options o = options(a);
        o.defect = defect;
        Core core(ms(0), o, durable(8));
        passRollbackCheck(core);
        core.read(ms(1), 4);
        uint64_t requestId = 0;
        while (auto out = core.nextOutput()) {
            if (auto* s = std::get_if<SaveRequest>(&*out)) core.handleSaved(ms(2), s->token);
            if (auto* s = std::get_if<SendRequest>(&*out); s && s->message.kind == MessageKind::get)
                requestId = s->message.requestId;
        }
        ASSERT_NE(requestId, 0u);
        Message held = makeMessage(MessageKind::registerReply);
        held.requestId = requestId, held.syncedValue = {8, 0, 1}, held.epoch = 2;
        core.receive(ms(3), b, held);
        const bool done = !drainOutputs<OperationResult>(core).empty();
        EXPECT_EQ(done, defect == Defect::countsOtherEpochs);  // shows that this test can fail
    }
}

// Once it knows of new voters, a member answers nothing under the former ones, and nothing under the new ones
// until a majority of the former voters has sent it their state.
TEST(Core, AfterAVotersChangeRecoversStateBeforeAnswering) {
    Core core(ms(0), options(a), durable(7));
    drainOutputs<SendRequest>(core);
    Message hello = makeMessage(MessageKind::helloReply);
    hello.epoch = 2, hello.voters = {a, b, "10.0.0.4"}, hello.formerVoters = {a, b, c},
    hello.joinedDisks = {"10.0.0.4#9"};
    core.receive(ms(10), b, hello);
    core.receive(ms(11), c, put(9));  // under the former voters
    Message get = makeMessage(MessageKind::get);
    get.epoch = 2;
    core.receive(ms(12), b, get);
    for (SaveRequest& s : drainOutputs<SaveRequest>(core)) core.handleSaved(ms(13), s.token);
    core.tick(ms(14));
    auto sends = drainOutputs<SendRequest>(core);
    EXPECT_EQ(count(sends, MessageKind::registerReply), 0);
    EXPECT_GT(count(sends, MessageKind::recoverRequest), 0);
    Message reply = makeMessage(MessageKind::recoverReply);
    for (const SendRequest& s : sends)
        if (s.message.kind == MessageKind::recoverRequest) reply.requestId = s.message.requestId;
    reply.epoch = 2, reply.recovering = true, reply.granted = true, reply.takeoverState = 2, reply.term = 5;
    reply.value = std::make_shared<const Value>(Value{8, 1, "body"}), reply.syncedValue = {8, 0, 1};
    core.receive(ms(20), c, reply);  // c is no longer a voter but is still needed
    for (SaveRequest& s : drainOutputs<SaveRequest>(core)) core.handleSaved(ms(21), s.token);
    core.receive(ms(22), b, get);
    sends = drainOutputs<SendRequest>(core);
    ASSERT_EQ(count(sends, MessageKind::registerReply), 1);
    for (const SendRequest& s : sends) {
        if (s.message.kind == MessageKind::registerReply) {
            EXPECT_EQ(s.message.syncedValue, (ValueHeader{8, 0, 1}));
        }
    }
    Message ask =
        makeMessage(MessageKind::voteRequest,
                    9);  // the holder under the former voters may be valid for another leaseDuration
    ask.epoch = 2;
    core.receive(ms(30), b, ask);
    for (SaveRequest& s : drainOutputs<SaveRequest>(core)) core.handleSaved(ms(31), s.token);
    for (const SendRequest& s : drainOutputs<SendRequest>(core)) {
        if (s.message.kind == MessageKind::voteReply) {
            EXPECT_FALSE(s.message.granted);
        }
    }
}

TEST(Core, RefusesAnInvalidVotersChangeWithAReason) {
    Core core(ms(0), options(a), durable());
    passRollbackCheck(core);
    const auto why = [&](std::vector<NodeId> gone, std::vector<NodeId> come) {
        core.changeVoters(ms(5), 1, std::move(gone), std::move(come));
        const auto answers = drainOutputs<OperationResult>(core);
        return answers.size() == 1 && answers[0].outcome == OperationResult::refused ? answers[0].reason
                                                                                     : std::string();
    };
    EXPECT_EQ(why({c}, {"10.0.0.9"}), "10.0.0.9 is not a known core that may become a voter");
    EXPECT_EQ(why({"10.0.0.8"}, {"10.0.0.9"}), "10.0.0.8 is not among the voters");
    EXPECT_EQ(why({c}, {}), "2 voters do not tolerate the loss of 1");
    EXPECT_EQ(core.voters(), (std::vector<NodeId>{a, b, c}));
}

// Replaces a dead voter by command; the new voters then work without another of the former ones.
TEST(Core, ReplacesADeadVoterOnRequest) {
    sim::World w({5, 3, 1, Defect::none, false, 20, true, 1});
    w.at(sim::World::millis(5900), [&] { w.kill(2); });
    bool done = false;
    w.at(sim::World::millis(12000), [&] {
        w.changing_.insert(900);
        w.nodes_[0].core->changeVoters(w.clock(0), 900, {w.nodes_[2].id}, {w.nodes_[3].id});
        w.drain(0);
    });
    w.at(sim::World::millis(14000), [&] {
        done = w.changing_.count(900) == 0;
        EXPECT_EQ(w.nodes_[0].core->voters(),
                  (std::vector<NodeId>{w.nodes_[0].id, w.nodes_[1].id, w.nodes_[3].id}));
        EXPECT_FALSE(w.nodes_[3].core->isRecovering());
        w.kill(1);  // the new voter counts: it completes a majority
    });
    w.at(sim::World::millis(17000), [&] { EXPECT_GE(w.holder(), 0); });
    EXPECT_EQ(w.run(), "");
    EXPECT_TRUE(done);
}

TEST(Core, ReportsAWriteWithoutAMajorityInTime) {
    Core core(ms(0), options(a), durable());
    passRollbackCheck(core);
    core.write(ms(10), 77, std::make_shared<const Value>(Value{1, 1, "x"}));
    for (SaveRequest& s : drainOutputs<SaveRequest>(core)) core.handleSaved(ms(12), s.token);
    std::vector<OperationResult> answers;
    Instant now = ms(12);
    while (answers.empty() && now < ms(5000)) {
        now = std::max(now + Span::micros(1), core.nextWakeup());
        core.tick(now);
        answers = drainOutputs<OperationResult>(core);
    }
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].outcome, OperationResult::noMajority);
    EXPECT_EQ(answers[0].ticket, 77u);
    EXPECT_LE(now, ms(912));
}

TEST(Core, IgnoresRepliesAfterTheOperationTimeout) {
    Core core(ms(0), options(a), durable());
    passRollbackCheck(core);
    core.write(ms(10), 77, std::make_shared<const Value>(Value{1, 1, "x"}));
    Message held = makeMessage(MessageKind::registerReply);
    std::optional<SaveRequest> save;
    while (auto o = core.nextOutput()) {
        if (auto* s = std::get_if<SaveRequest>(&*o)) save = *s;
        if (auto* s = std::get_if<SendRequest>(&*o)) held.requestId = s->message.requestId;
    }
    ASSERT_TRUE(save);
    core.handleSaved(ms(12), save->token);
    held.syncedValue = {1, 1};
    core.receive(ms(2000), b,
                 held);  // after a freeze of this core: b may have lost its disk since it answered
    const auto answers = drainOutputs<OperationResult>(core);
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].outcome, OperationResult::noMajority);
}

TEST(Core, RestartsBootstrapAfterPowerLossBeforeTheFirstSync) {
    for (const int cores : {3, 5}) {
        sim::World w({1, cores, 1, Defect::none, false, 15});
        w.at(301, [&] {
            for (size_t i = 0; i < w.nodes_.size(); ++i) {
                ASSERT_FALSE(w.nodes_[i].disk);
                w.kill(i);
                w.at(w.below(500000), [&w, i] { w.start(i, false); });
            }
        });
        EXPECT_EQ(w.run(), "") << cores;
        EXPECT_EQ(w.firstVoters().size(), static_cast<size_t>(cores));
    }
}

TEST(Core, RecoversASeedThatLosesItsDiskBeforeVotersAreAgreed) {
    sim::World w({2, 3, 1, Defect::none, false, 15});
    w.at(sim::World::millis(700), [&] {
        w.kill(1);
        w.nodes_[1].disk.reset();
        w.start(1, false);
    });
    EXPECT_EQ(w.run(), "");
    EXPECT_EQ(w.firstVoters().size(), 3u);
}

// With fewer than three seeds there are no other cores to wait for.
TEST(Core, WorksWithOneOrTwoCores) {
    for (const int cores : {1, 2}) {
        sim::World w({7, cores, 1, Defect::none, false, 8});
        w.at(sim::World::millis(6000),
             [&] { EXPECT_EQ(w.firstVoters().size(), static_cast<size_t>(cores)); });
        EXPECT_EQ(w.run(), "") << cores;
    }
}

// A set of voters too small to recover is not agreed on just because one core starts a little late.
TEST(Core, FirstVotersWaitForACoreThatStartsLate) {
    sim::World w({8, 5, 2, Defect::none, false, 15});
    w.at(500, [&] { w.kill(4); });
    w.at(sim::World::millis(4000), [&] { w.start(4, false); });
    EXPECT_EQ(w.run(), "");
    EXPECT_EQ(w.firstVoters().size(), 5u);
}

// When idle, only the holder sends to all cores and the others reply, to save CPU.
TEST(Core, SendsFewMessagesWhenIdle) {
    sim::World w({6, 9, 2, Defect::none, false, 20, false});
    long before = 0;
    w.at(sim::World::millis(15000), [&] { before = w.sends_; });
    w.at(sim::World::millis(25000), [&] { EXPECT_LT(w.sends_ - before, 10 * (8 * 8 + 8 * 2) + 50); });
    EXPECT_EQ(w.run(), "");
}

// Two operators write different values of one version at two cores at the same instant: one is confirmed, the
// other gets a conflict, and later repetitions at any core give the same results.
TEST(Core, ChoosesOneOfTwoValuesOfAVersionAndReportsAConflictToTheOther) {
    for (uint32_t seed = 1; seed <= 20; ++seed) {
        sim::World w({seed, 3, 1, Defect::none, false, 20, false});
        const auto ask = [&w](size_t i, const Value& v) { w.writeAt(i, v); };
        const Value one{5, 11, "5:11"}, other{5, 22, "5:22"};
        w.at(sim::World::millis(8000), [&] {
            ask(0, one);
            ask(1, other);
        });
        int done = 0, conflicts = 0;
        w.at(sim::World::millis(10000), [&] { done = w.doneWrites(), conflicts = w.conflicts(); });
        // Each write again, at every core; World checks that no result changes.
        w.at(sim::World::millis(10000), [&] {
            for (size_t i = 0; i < 3; ++i) ask(i, one), ask(i, other);
        });
        w.at(sim::World::millis(12000), [&] {
            EXPECT_EQ(w.doneWrites(), done + 3);
            EXPECT_EQ(w.conflicts(), conflicts + 3);
        });
        EXPECT_EQ(w.run(), "") << seed;
        EXPECT_EQ(done, 1) << seed;
        EXPECT_EQ(conflicts, 1) << seed;
    }
}

// The same write at several cores at once, as after a lost reply: all confirm it.
TEST(Core, ConfirmsTheSameWriteAtSeveralCores) {
    sim::World w({3, 5, 2, Defect::none, false, 15, false});
    w.at(sim::World::millis(8000), [&w] {
        for (size_t i = 0; i < 4; ++i) w.writeAt(i, Value{7, 1, "7:1"});
    });
    EXPECT_EQ(w.run(), "");
    EXPECT_EQ(w.doneWrites(), 4);
    EXPECT_EQ(w.conflicts(), 0);
}

// A write below the current version is confirmed and changes nothing.
TEST(Core, ConfirmsAnOlderWriteWithoutApplyingIt) {
    sim::World w({4, 3, 1, Defect::none, false, 15, false});
    w.at(sim::World::millis(8000), [&w] { w.writeAt(0, Value{9, 1, "9:1"}); });
    w.at(sim::World::millis(9000), [&w] { w.writeAt(1, Value{7, 1, "7:1"}); });
    w.at(sim::World::millis(10000), [&w] { EXPECT_EQ(w.nodes_[2].core->newestValue()->version, 9); });
    EXPECT_EQ(w.run(), "");
    EXPECT_EQ(w.doneWrites(), 2);
}

// A writer dies before its value is chosen: a read settles the version, and the result never changes
// afterwards.
TEST(Core, AReaderSettlesAValueWhoseWriterDied) {
    sim::World w({6, 3, 1, Defect::none, false, 15, false});
    w.loss_ = 0;
    w.at(sim::World::millis(8000), [&w] {
        w.writeAt(0, Value{4, 1, "4:1"});
        w.at(sim::World::millis(12), [&w] { w.kill(0); });  // between its claim and the last of its puts
        w.at(sim::World::millis(3000), [&w] { w.start(0, false); });
        w.at(sim::World::millis(4000), [&w] { w.writeAt(1, Value{4, 2, "4:2"}); });
    });
    EXPECT_EQ(w.run(), "");
    EXPECT_EQ(w.doneWrites() + w.conflicts() >= 1, true);
}

// A higher save count of an earlier, lost disk of the same machine does not mean that this disk was rolled
// back.
TEST(Core, IgnoresSaveCountsOfAnEarlierDisk) {
    for (const bool same : {false, true}) {
        DurableState disk = durable();
        disk.diskId = 7;
        disk.saveCount = 3;
        Core core(ms(0), options(a), disk);
        Message hello = makeMessage(MessageKind::helloReply);
        hello.knownDiskId = same ? 7 : 6;
        hello.knownSaveCount = 100;
        core.receive(ms(1), b, hello);
        EXPECT_EQ(core.isRecovering(), same);
    }
}

}  // namespace
}  // namespace petrelpond::consensus
