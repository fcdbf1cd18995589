// The register: how a value is written to and read from a majority of disks.
#include "system/consensus/core_parts.hpp"

namespace petrelpond::consensus {

void Core::adopt(const std::shared_ptr<const Value>& v) {
    if (!v || markOf(v) <= markOf(value_)) return;
    value_ = v;
    touch();
}

void Core::sure(const std::shared_ptr<const Value>& v) {
    if (markOf(v) <= sureMark_) return;
    sure_ = v;
    sureMark_ = markOf(v);
    adopt(v);
    out_.push_back(News{v});
}

void Core::fetch(Instant now, const NodeId& from) {
    if (from == o_.self || now < fetchAt_ + Span::millis(250)) return;  // a body may need that long
    fetchAt_ = now;
    send(from, make(Kind::fetch));
}

// What others hold: what is sure to lie on a majority is taken from them, what is not yet sure (its writer
// may have died) is looked at by a read, after a while in which the writer itself may finish.
void Core::learnMarks(Instant now, const NodeId& from, const Message& m) {
    if (from == o_.self) return;
    peers_[from].disk = m.disk;
    if (m.sure > sureMark_) {
        if (m.sure == markOf(value_)) {
            sure(value_);
        } else if (m.sure > markOf(value_)) {
            fetch(now, from);
        }
    }
    const bool unsure = std::max(m.disk, markOf(value_)) > sureMark_;
    if (unsure && suspectAt_ == Instant::never()) suspectAt_ = now + o_.beat * 2 + random(o_.beat * 4);
}

void Core::write(Instant now, uint64_t ticket, std::shared_ptr<const Value> v) {
    enter(now);
    newOp(now, ticket, true, false, std::move(v));
    leave(now);
}

void Core::read(Instant now, uint64_t ticket) {
    enter(now);
    newOp(now, ticket, true, true, nullptr);
    leave(now);
}

void Core::newOp(Instant now, uint64_t ticket, bool wanted, bool reading,
                 std::shared_ptr<const Value> target) {
    Op op;
    op.ticket = ticket;
    op.wanted = wanted;
    op.reading = reading;
    op.since = now;
    if (!reading) {
        op.putting = true;
        op.target = std::move(target);
        op.mark = markOf(op.target);
        // Our own disk gets it only as a member does, or once it is sure.
        if (isMember() && op.mark > sureMark_) adopt(op.target);
    }
    ops_.emplace(++number_, std::move(op));
}

void Core::stepAll(Instant now) {
    for (auto it = ops_.begin(); it != ops_.end();) {
        it = step(now, it->first, it->second) ? ops_.erase(it) : std::next(it);
    }
}

bool Core::step(Instant now, uint64_t number, Op& op) {
    // Checked before anything is counted: an answer of a disk that was lost meanwhile must not count, see
    // recoverWait. It catches our own freezes too.
    if (now - op.since > o_.patience) {
        if (op.wanted) out_.push_back(Answer{op.ticket, Answer::noMajority, nullptr});
        return true;
    }
    if (mem_.roll.empty()) return false;
    if (isMember()) {
        Mark& own = op.answers[o_.self];
        own = std::max(own, o_.twin == Twin::ackBeforeSync ? markOf(value_) : diskMark_);
    }
    if (!op.putting && op.answers.size() >= majority()) {
        for (const auto& [node, mark] : op.answers) op.mark = std::max(op.mark, mark);
        if (op.mark.version == 0) {
            if (op.wanted) out_.push_back(Answer{op.ticket, Answer::done, nullptr});
            return true;
        }
        if (sure_ && sureMark_ >= op.mark) {
            op.target = sure_;
        } else if (markOf(value_) >= op.mark) {
            op.target = value_;
        } else {
            for (const auto& [node, mark] : op.answers) {
                if (mark == op.mark) fetch(now, node);
            }
        }
        if (op.target) {
            op.mark = markOf(op.target);
            op.putting = true;
            op.resendAt = Instant::longAgo();
            op.pause = Span::millis(200);
            if (o_.twin == Twin::noWriteBack) {
                if (op.wanted) out_.push_back(Answer{op.ticket, Answer::done, op.target});
                return true;
            }
            if (isMember()) adopt(op.target);
        }
    }
    if (op.putting) {
        size_t have = 0;
        for (const auto& [node, mark] : op.answers) have += mark >= op.mark;
        if (have >= majority() || (sure_ && sureMark_ >= op.mark)) {
            const bool news = op.mark > sureMark_;
            sure(op.target);
            if (news) toPeers(make(Kind::committed));
            if (op.wanted) out_.push_back(Answer{op.ticket, Answer::done, sure_});
            return true;
        }
    }
    if (now >= op.resendAt) resend(now, number, op);
    return false;
}

void Core::resend(Instant now, uint64_t number, Op& op) {
    op.resendAt = now + op.pause;
    op.pause = op.pause * 1.5;
    Message m = make(op.putting ? Kind::put : Kind::get, number);
    withRoll(m);
    if (op.putting) m.value = op.target;
    for (const NodeId& n : mem_.roll) {
        if (n == o_.self) continue;
        const auto it = op.answers.find(n);
        if (it == op.answers.end() || (op.putting && it->second < op.mark)) send(n, m);
    }
}

}  // namespace petrelpond::consensus
