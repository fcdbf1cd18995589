// Scripted steps of the register that random schedules may miss. Each test fails without the safeguard that
// it names.
#include <gtest/gtest.h>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus {
namespace {

const NodeId a = "10.0.0.1", b = "10.0.0.2", c = "10.0.0.3";

Instant ms(int64_t n) { return Instant::atMicros(1000000 + n * 1000); }

// One core of three whose saves succeed at once; records what it sends.
class RegisterTest : public ::testing::Test {
  protected:
    void start(std::optional<DurableState> disk) {
        Options o;
        o.self = a;
        o.seeds = {a, b, c};
        core_ = std::make_unique<Core>(ms(0), o, std::move(disk));
        drain();
        receive(b, makeMessage(MessageKind::helloReply));  // confirms that our disk was not rolled back
    }
    static DurableState disk(int64_t version = 0, uint64_t ballot = 0) {
        DurableState d;
        d.voters = d.electors = {a, b, c};
        d.epoch = 1;
        if (version > 0) d.value = {version, 1, "text", ballot};
        return d;
    }
    static Message makeMessage(MessageKind kind, uint64_t requestId = 0) {
        Message m;
        m.kind = kind;
        m.requestId = requestId;
        m.epoch = 1;
        return m;
    }
    static Message makeVersionMessage(MessageKind kind, uint64_t requestId, int64_t version,
                                      uint64_t ballot) {
        Message m = makeMessage(kind, requestId);
        m.version = version;
        m.ballot = ballot;
        if (kind == MessageKind::put)
            m.value = std::make_shared<const Value>(Value{version, 1, "text", ballot});
        return m;
    }
    void receive(const NodeId& from, const Message& m) {
        core_->receive(ms(now_), from, m);
        drain();
    }
    void tick(int64_t at) {
        now_ = at;
        core_->tick(ms(now_));
        drain();
    }
    void drain() {
        while (auto o = core_->nextOutput()) {
            if (auto* s = std::get_if<SendRequest>(&*o)) sent_.push_back(*s);
            if (auto* s = std::get_if<SaveRequest>(&*o)) core_->handleSaved(ms(now_), s->token);
            if (auto* answer = std::get_if<OperationResult>(&*o)) answers_.push_back(*answer);
        }
    }
    // The newest sent message of this kind, and the number of them.
    Message last(MessageKind kind) const {
        for (auto s = sent_.rbegin(); s != sent_.rend(); ++s)
            if (s->message.kind == kind) return s->message;
        return {};
    }
    int count(MessageKind kind) const {
        return static_cast<int>(std::count_if(sent_.begin(), sent_.end(),
                                              [&](const SendRequest& s) { return s.message.kind == kind; }));
    }

    std::unique_ptr<Core> core_;
    int64_t now_ = 1;
    std::vector<SendRequest> sent_;
    std::vector<OperationResult> answers_;
};

// A proposer that has lost its state may use the same ballot again for another value.
TEST_F(RegisterTest, PromisesABallotToOneRequestOnly) {
    start(disk());
    receive(b, makeVersionMessage(MessageKind::claim, 10, 5, 100));
    EXPECT_TRUE(last(MessageKind::claimReply).granted);
    receive(b, makeVersionMessage(MessageKind::claim, 10, 5, 100));  // a duplicate
    EXPECT_TRUE(last(MessageKind::claimReply).granted);
    receive(b, makeVersionMessage(MessageKind::claim, 11, 5, 100));
    EXPECT_FALSE(last(MessageKind::claimReply).granted);
}

TEST_F(RegisterTest, RefusesAPutBelowAPromise) {
    start(disk());
    receive(b, makeVersionMessage(MessageKind::claim, 10, 5, 100));
    receive(c, makeVersionMessage(MessageKind::put, 11, 5, 99));
    EXPECT_FALSE(last(MessageKind::registerReply).granted);
    receive(b, makeVersionMessage(MessageKind::put, 12, 5, 100));
    EXPECT_TRUE(last(MessageKind::registerReply).granted);
}

// After a writer was outbid and has claimed again, a late promise for its first ballot does not count for the
// second.
TEST_F(RegisterTest, APromiseCountsForItsOwnBallotOnly) {
    start(disk());
    core_->write(ms(now_), 1, std::make_shared<const Value>(Value{5, 1, "text"}));
    drain();
    const Message first = last(MessageKind::claim);
    ASSERT_GT(first.ballot, 0u);
    Message refusal = makeVersionMessage(MessageKind::claimReply, first.requestId, 5, first.ballot + 1);
    receive(b, refusal);
    Message nothing = makeMessage(MessageKind::registerReply, first.requestId);
    while (count(MessageKind::claim) < 3 && now_ < 800) {
        tick(now_ + 5);
        if (last(MessageKind::get).requestId == first.requestId) receive(b, nothing);
    }
    const Message second = last(MessageKind::claim);
    ASSERT_GT(second.ballot, first.ballot);
    Message late = makeVersionMessage(MessageKind::claimReply, first.requestId, 5, first.ballot);
    late.granted = true;
    receive(c, late);
    EXPECT_EQ(count(MessageKind::put), 0);
    late.ballot = second.ballot;
    receive(c, late);
    EXPECT_GT(count(MessageKind::put), 0);
}

// A rebuilt disk may hold a value that it should have refused: its promised ballot is higher than the
// accepted one.
TEST_F(RegisterTest, ValuesBelowAPromiseDoNotFormAMajority) {
    for (const uint64_t promised : {3, 4}) {
        sent_.clear(), answers_.clear();
        start(disk(8, 3));
        core_->read(ms(now_), 1);
        drain();
        Message held = makeMessage(MessageKind::registerReply, last(MessageKind::get).requestId);
        held.syncedValue = {8, 3, 1};
        held.ballot = promised;
        receive(b, held);
        EXPECT_EQ(answers_.size(), promised == 3 ? 1u : 0u);
    }
}

// A chosen value does not replace an accepted higher version, which may be chosen as well.
TEST_F(RegisterTest, AChosenValueDoesNotReplaceAHigherVersion) {
    start(disk(9, 3));
    Message chosen = makeMessage(MessageKind::value);
    chosen.value = std::make_shared<const Value>(Value{7, 1, "text", 2});
    chosen.chosenValue = {7, kChosenBallot, 1};
    receive(b, chosen);
    receive(b, makeMessage(MessageKind::get, 20));
    EXPECT_EQ(last(MessageKind::registerReply).syncedValue.version, 9);
}

// A lost disk is rebuilt with the promises of the others, not only with their values.
TEST_F(RegisterTest, ARebuiltDiskKeepsThePromisesOfTheOthers) {
    start(std::nullopt);
    Message hello = makeMessage(MessageKind::helloReply);
    hello.voters = hello.electors = {a, b, c};
    receive(b, hello);
    for (int64_t at = 10; at < 2500 && count(MessageKind::recoverRequest) == 0; at += 10) tick(at);
    Message reply = makeMessage(MessageKind::recoverReply, last(MessageKind::recoverRequest).requestId);
    reply.granted = true;
    reply.voters = {a, b, c};
    reply.claims = {{5, 100}};
    receive(b, reply);
    reply.claims.clear();
    receive(c, reply);
    ASSERT_FALSE(core_->isRecovering());
    receive(c, makeVersionMessage(MessageKind::put, 30, 5, 99));
    EXPECT_FALSE(last(MessageKind::registerReply).granted);
    receive(c, makeVersionMessage(MessageKind::put, 31, 5, 101));
    EXPECT_TRUE(last(MessageKind::registerReply).granted);
}

// One member holds a higher, undecided version and answers claims first, while another one answers reads
// first. The writer may alternate between reading and claiming until its timeout, but only with pauses, not
// at the rate of the messages.
TEST_F(RegisterTest, ARepeatedlyOvertakenWriterPauses) {
    start(disk(4, kChosenBallot));
    core_->write(ms(now_), 1, std::make_shared<const Value>(Value{5, 1, "mine"}));
    drain();
    size_t heard = 0;
    for (int64_t at = 2; at < 890; ++at) {
        tick(at);
        for (; heard < sent_.size() && sent_[heard].message.kind != MessageKind::fetch; ++heard) {
            const SendRequest pendingTickets = sent_[heard];
            const Message& m = pendingTickets.message;
            if (pendingTickets.to == b && m.kind == MessageKind::get) {
                Message holds = makeMessage(MessageKind::registerReply, m.requestId);
                holds.syncedValue = {4, kChosenBallot, 1};
                receive(b, holds);
            }
            if (pendingTickets.to == c && m.kind == MessageKind::claim) {
                Message overtaken = makeVersionMessage(MessageKind::claimReply, m.requestId, m.version, 7);
                overtaken.syncedValue = {9, 7, 1};
                receive(c, overtaken);
            }
        }
        while (heard < sent_.size() && sent_[heard].message.kind == MessageKind::fetch) ++heard;
    }
    EXPECT_GT(count(MessageKind::claim), 4);
    EXPECT_LT(count(MessageKind::claim), 60);
}

}  // namespace
}  // namespace petrelpond::consensus
