#include "src/crew/members.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace petrelpond::crew {

#ifdef PETRELPOND_DEFECTS
Defect defect = Defect::none;
#endif

namespace {

constexpr Span kAside = Span::seconds(5);   // until a process that takes no part looks again
constexpr Span kLately = Span::seconds(600);
constexpr int kAskMost = 5;                 // rounds in which who holds our name does not answer
constexpr size_t kSeedsAtOnce = 3, kTopicsOfOne = 8, kHelpedMost = 1024;
constexpr int kLiveMost = 256;              // attempts to draw one that lives

}  // namespace

std::string_view wordOf(Phase phase) {
    static constexpr std::string_view words[] = {"seeking", "asking", "in", "aside", "left"};
    return words[static_cast<size_t>(phase)];
}

Members::Members(Settings settings, uint64_t life, uint64_t kept, uint32_t seed, Instant now)
    : settings_(std::move(settings)), kept_(kept), chance_(seed), tokensAt_(now) {
    own_.name = settings_.name, own_.address = settings_.address, own_.life = life;
    std::erase(settings_.seeds, settings_.address);
    std::shuffle(settings_.seeds.begin(), settings_.seeds.end(), chance_);
    // Not all of those that start in the same second ask in the same moment.
    at(now + settings_.spreadEvery * (draw(1000) / 1000.0), What::seek);
}

// ---- time

std::pair<Instant, uint64_t> Members::at(Instant when, What what, MemberIx who, uint64_t round) {
    std::pair<Instant, uint64_t> key{when, ++serial_};
    timers_.emplace(key, Due{what, who, round});
    return key;
}

Instant Members::due() const {
    if (!out_.empty()) return Instant::longAgo();
    return timers_.empty() ? Instant::never() : timers_.begin()->first.first;
}

std::optional<Members::Action> Members::next(Instant now) {
    if (out_.empty()) advance(now);
    if (out_.empty()) return std::nullopt;
    Action action = std::move(out_.front());
    out_.pop_front();
    return action;
}

void Members::advance(Instant now) {
    if (timers_.empty()) return;
    Span late = now - timers_.begin()->first.first;
    if (late > settings_.ackWithin) wokeLate(now, late);
    while (out_.empty() && !timers_.empty() && timers_.begin()->first.first <= now) {
        Due due = timers_.begin()->second;
        if (due.what == What::doubtEnds) entries_[due.who.value].doubtEnds.reset();
        timers_.erase(timers_.begin());
        act(now, due);
    }
}

// We were stopped, or had no processor. What did not come meanwhile says nothing about the others: all that is
// waited for gets the time back, and we doubt ourselves. Without it a process that wakes after 20 s finds every
// answer overdue and accuses the whole crew. Harm: a member that truly died while we slept is found that much
// later here, and by the others in time.
void Members::wokeLate(Instant now, Span gap) {
    note(Counted::lateRounds);
    unhealthy(1);
    std::map<std::pair<Instant, uint64_t>, Due> shifted;
    for (auto& [key, due] : timers_) {
        std::pair<Instant, uint64_t> later{key.first + gap, key.second};
        if (due.what == What::doubtEnds) entries_[due.who.value].doubtEnds = later;
        shifted.emplace(later, due);
    }
    timers_ = std::move(shifted);
    for (Entry& e : entries_) e.doubtedAt = e.doubtedAt + gap;
    (void)now;
}

void Members::act(Instant now, const Due& due) {
    switch (due.what) {
        case What::round:
            return newRound(now);
        case What::ack:
            if (due.round == probe_.round && !probe_.acked) askHelpers(now);
            return;
        case What::helped: {
            auto helped = helped_.find(due.round);
            if (helped == helped_.end() || helped->second.told) return;
            send(now, helped->second.to, made(Kind::nack, "", helped->second.round));
            return;
        }
        case What::doubtEnds: {
            Record r = entries_[due.who.value].record;
            if (r.state != State::doubted) return;
            r.state = State::dead, r.by = own_.name;
            return apply(now, r, own_.name, false);
        }
        case What::spread:
            return spread(now);
        case What::exchange:
            return exchange(now);
        case What::seek:
            return seek(now);
        case What::ask:
            return tryClaim(now);
    }
}

// ---- the detector

void Members::newRound(Instant now) {
    endProbe(now);
    at(now + scaled(settings_.round), What::round);
    forgetOld(now);
    // A rival that does not go is asked again until it answers or is found dead.
    if (rival_ && rival_->state <= State::doubted) {
        note(Counted::contests);
        send(now, rival_->address, made(Kind::contest, own_.name, 0));
    }
    for (size_t looked = 0; looked <= order_.size(); ++looked) {
        if (order_.empty()) return;
        if (position_ >= order_.size()) {
            std::shuffle(order_.begin(), order_.end(), chance_);
            position_ = 0;
        }
        MemberIx ix = order_[position_++];
        if (!lives(entries_[ix.value])) continue;
        probe_ = {ix, ++rounds_, 0, 0, false};
        note(Counted::pings);
        at(now + scaled(settings_.ackWithin), What::ack, ix, probe_.round);
        return send(now, addressOf(ix), made(Kind::ping, entries_[ix.value].record.name, probe_.round));
    }
}

void Members::askHelpers(Instant now) {
    for (MemberIx helper : some(static_cast<size_t>(settings_.helpers), probe_.who)) {
        ++probe_.asked;
        send(now, addressOf(helper), made(Kind::pingFor, entries_[probe_.who.value].record.name, probe_.round));
    }
}

void Members::endProbe(Instant now) {
    if (probe_.acked) return;
    probe_.acked = true;
    Entry& e = entries_[probe_.who.value];
    if (!lives(e)) return;
    note(Counted::probesMissed);
    // Helpers that did not even say "nothing yet": the trouble may be ours.
    unhealthy(probe_.asked > 0 ? probe_.asked - probe_.nacks : 1);
    doubt(now, probe_.who);
}

void Members::doubt(Instant now, MemberIx ix) {
    Record r = entries_[ix.value].record;
    if (r.state == State::alive) note(Counted::doubtsRaised);
    r.state = State::doubted, r.by = own_.name;
    apply(now, r, own_.name, false);
}

// A doubt ends the sooner the more others share it.
void Members::scheduleDoubt(Instant now, MemberIx ix) {
    Entry& e = entries_[ix.value];
    if (e.doubtEnds) timers_.erase(*e.doubtEnds), e.doubtEnds.reset();
    if (e.record.state != State::doubted || defective(Defect::doubtNeverEnds)) return;
    double n = std::max(1.0, std::log10(static_cast<double>(living_)));
    Span least = settings_.round * (settings_.doubtFactor * n), most = least * settings_.doubtMost;
    int wanted = std::min(settings_.doubters, static_cast<int>(living_) - 2);
    Span span = least;
    if (wanted > 0) {
        double shared = std::log(static_cast<double>(e.doubters.size())) / std::log(wanted + 1.0);
        span = std::max(least, most - (most - least) * std::min(1.0, shared));
    }
    e.doubtEnds = at(std::max(now, e.doubtedAt + span), What::doubtEnds, ix);
}

// ---- what is said of members

void Members::apply(Instant now, Record r, const std::string& from, bool table) {
    if (r.name == own_.name) return aboutUs(now, r);
    MemberIx ix = names_.find(r.name);
    if (!ix.isKnown()) {
        if (entries_.size() >= kMembers && order_.size() >= kMembers) return;
        ix = names_.intern(r.name);
        if (ix.value >= entries_.size()) entries_.resize(ix.value + 1);
        Entry& e = entries_[ix.value];
        e = Entry();
        e.record = r, e.since = now;
        e.record.state = State::left;  // for changed(): it was not here before
        Record before = std::exchange(e.record, r);
        order_.insert(order_.begin() + draw(static_cast<uint32_t>(order_.size() + 1)), ix);
        return changed(now, ix, before);
    }
    Entry& e = entries_[ix.value];
    // In a table, which tells of the past, one that is dead is only doubted: it may have been cut off and be back,
    // and gets the time to say so. Else two parts of a crew that meet again would each hold the other dead.
    if (table && r.state == State::dead && lives(e)) r.state = State::doubted, r.by = from;
    int c = newer(r, e.record);
    if (defective(Defect::incarnationIgnored) && r.life == e.record.life && r.state >= e.record.state) c = 1;
    if (defective(Defect::leaveUndone) && e.record.state == State::left && r.state == State::alive) c = 1;
    if (c < 0) return;
    if (c > 0) {
        Record before = std::exchange(e.record, std::move(r));
        return changed(now, ix, before);
    }
    if (e.record.state != State::doubted || r.by.empty() || e.doubters.count(r.by) > 0) return;
    if (e.doubters.size() > static_cast<size_t>(settings_.doubters)) return;
    e.doubters.insert(r.by);
    e.record.by = r.by;  // so that this doubter is passed on
    changed(now, ix, e.record);
}

void Members::changed(Instant now, MemberIx ix, const Record& before) {
    Entry& e = entries_[ix.value];
    bool another = before.state != e.record.state || before.life != e.record.life;
    bool lived = before.state <= State::doubted;
    if (another) e.since = now;
    if (lives(e) && !lived) ++living_;
    if (!lives(e) && lived) --living_;
    if (another && before.state == State::dead && e.record.state == State::alive) note(Counted::returns);
    if (another && e.record.state == State::dead) note(Counted::deaths);
    if (another && e.record.state == State::left) note(Counted::leaves);
    bool renewed = before.incarnation != e.record.incarnation || before.life != e.record.life;
    if (e.record.state != State::doubted) {
        e.doubters.clear();
    } else if (another || renewed) {
        note(Counted::doubtsHeard);
        e.doubters = {e.record.by}, e.doubtedAt = now;
    }
    scheduleDoubt(now, ix);
    if (e.queued) words_.erase(*e.queued);
    e.queued = {0, ++serial_};
    words_.emplace(*e.queued, ix);
}

// What others say of our own name.
void Members::aboutUs(Instant now, const Record& r) {
    if (phase_ == Phase::left) return;
    if (phase_ != Phase::in) {
        if (r.life != own_.life && (!holder_ || newer(r, *holder_) > 0)) holder_ = r;
        return;
    }
    if (r.life == own_.life) {
        // Only we may raise it, so what stands above is from a folder that was put back, or made up.
        if (r.state == State::alive && r.incarnation <= own_.incarnation) return;
        if (r.incarnation < own_.incarnation) return;
        note(Counted::doubtsRefuted);
        unhealthy(1);
        return raise(now, r.incarnation);
    }
    if (newer(r, own_) <= 0) return;
    // A later life than ours under our name. If it is one of our own former ones, whose count our folder lost, we
    // stand above it from now on. If it is another process, that one is asked to go.
    if (r.state >= State::dead || r.address == own_.address) {
        rival_.reset();
        own_.joined = r.incarnation + 1;
        return raise(now, r.incarnation);
    }
    if (!rival_) out_.push_back(Say{true, "another process under our name " + own_.name + " at " + r.address});
    rival_ = r;
}

// Above that, and told from now on.
void Members::raise(Instant, uint64_t above) {
    own_.incarnation = std::max(own_.incarnation, above + 1);
    kept_ = own_.incarnation;
    out_.push_back(Keep{kept_});
    ownOwed_ = spreadMost();
}

void Members::forgetOld(Instant now) {
    // One look a round at one member: all are seen in turn.
    if (order_.empty()) return;
    size_t place = draw(static_cast<uint32_t>(order_.size()));
    MemberIx ix = order_[place];
    Entry& e = entries_[ix.value];
    if (lives(e) || now - e.since < settings_.forget) return;
    if (e.queued) words_.erase(*e.queued);
    std::string name = e.record.name;
    std::erase_if(items_, [&](auto& i) {
        if (i.first.second != name) return false;
        if (i.second.queued) topics_.erase(*i.second.queued);
        return true;
    });
    names_.release(ix);
    order_.erase(order_.begin() + static_cast<std::ptrdiff_t>(place));
    if (position_ > place) --position_;
    if (probe_.who == ix) probe_ = Probe();
    e = Entry();
    e.record.state = State::left;
}

// ---- what comes

void Members::heard(Instant now, const Message& m, const std::string& source) {
    if (m.from == own_.name) {
        if (m.life == own_.life) return;  // our own words, come back
        for (const Record& r : m.records) {
            if (r.name == own_.name) aboutUs(now, r);
        }
        if (m.kind == Kind::contest) contested(now, m, source);
        return;
    }
    bool forOne = m.kind == Kind::ping || m.kind == Kind::direct || m.kind == Kind::contest;
    if (forOne && m.target != own_.name) return note(Counted::misdirected);
    bool table = m.kind == Kind::table || m.kind == Kind::answer;
    for (const Record& r : m.records) apply(now, r, m.from, table);
    for (const Item& i : m.items) take(now, i);
    if (MemberIx from = names_.find(m.from); from.isKnown()) entries_[from.value].heardAt = now;
    switch (m.kind) {
        case Kind::ping:
            // Who takes no part is not there.
            if (phase_ != Phase::in) return;
            return send(now, source, made(Kind::ack, m.from, m.round));
        case Kind::ack: {
            if (m.round == probe_.round && !probe_.acked) {
                probe_.acked = true;
                note(Counted::acks);
                unhealthy(-1);
            }
            auto helped = helped_.find(m.round);
            if (helped == helped_.end()) return;
            send(now, helped->second.to, made(Kind::ack, "", helped->second.round));
            helped_.erase(helped);
            return;
        }
        case Kind::nack:
            if (m.round == probe_.round) ++probe_.nacks;
            return;
        case Kind::pingFor: {
            MemberIx ix = names_.find(m.target);
            if (!ix.isKnown() || phase_ != Phase::in) return;
            note(Counted::pingsForOthers);
            uint64_t round = ++rounds_;
            if (helped_.size() >= kHelpedMost) helped_.erase(helped_.begin());
            helped_[round] = {m.round, source, false};
            at(now + settings_.ackWithin * 0.8, What::helped, ix, round);
            return send(now, addressOf(ix), made(Kind::ping, m.target, round));
        }
        case Kind::direct:
            out_.push_back(Told{m.from, m.topic, m.bytes, Span(), true});
            return;
        case Kind::contest:
        case Kind::news:
        case Kind::table:
        case Kind::answer:
            return;
    }
}

Message Members::tableFor(Instant now, Kind kind) const {
    Message m = made(kind, "", 0);
    if (phase_ == Phase::in || phase_ == Phase::left) m.records.push_back(own_);
    for (MemberIx ix : order_) {
        if (m.records.size() < kMembers) m.records.push_back(entries_[ix.value].record);
    }
    size_t room = roomOf(m);
    for (const Record& r : m.records) room += roomOf(r);
    for (const auto& [key, word] : items_) {
        if (room += roomOf(word.item); room > kTable) break;
        m.items.push_back(word.item);
        m.items.back().ageMs += static_cast<uint32_t>((now - word.at).inMicros() / 1000);
    }
    return m;
}

void Members::met(Instant now, const Message& answer) {
    note(Counted::exchanges);
    heard(now, answer, "");
    if (phase_ == Phase::seeking) tryClaim(now);
}

void Members::notMet(Instant now, const std::string&) {
    note(Counted::exchangesFailed);
    if (phase_ == Phase::seeking && ++seedsTried_ >= settings_.seeds.size()) tryClaim(now);
}

// ---- taking part

// Our name is ours where nobody holds it, or who did has gone; else he is asked, and if he answers he keeps it.
void Members::tryClaim(Instant now) {
    if (phase_ == Phase::in || phase_ == Phase::left) return;
    bool held = holder_ && holder_->state <= State::doubted && holder_->address != own_.address;
    if (!held || asked_ >= kAskMost) return claim(now);
    phase_ = Phase::asking;
    ++asked_;
    note(Counted::contests);
    send(now, holder_->address, made(Kind::contest, own_.name, 0));
    at(now + settings_.round, What::ask);
}

void Members::claim(Instant now) {
    bool again = phase_ == Phase::aside;
    uint64_t above = std::max(kept_, holder_ ? holder_->incarnation : 0);
    phase_ = Phase::in, asked_ = 0;
    own_.state = State::alive, own_.joined = above + 1, own_.incarnation = 0;
    holder_.reset(), rival_.reset();
    raise(now, above);
    if (again) out_.push_back(Say{false, "takes part again as " + own_.name});
    at(now + settings_.round * (draw(1000) / 1000.0), What::round);
    at(now + settings_.spreadEvery, What::spread);
    // Of those that came while we did we may have missed some: what they passed on was reckoned for a smaller crew.
    at(now + jittered(std::min(settings_.exchangeEvery, settings_.round * 10)), What::exchange);
    at(now + settings_.spreadEvery, What::seek);
}

// A process under our name speaks to us.
void Members::contested(Instant now, const Message& m, const std::string& source) {
    auto its = std::find_if(m.records.begin(), m.records.end(),
                            [&](const Record& r) { return r.name == own_.name && r.life == m.life; });
    if (its == m.records.end() || its->state == State::left) {  // it takes no part, and asks whether we do
        if (phase_ == Phase::in) send(now, source, made(Kind::contest, own_.name, 0));
        return;
    }
    const Record& other = *its;
    if (phase_ != Phase::in) return stepAside(now, other.address);
    // The one that began later goes; with the same count it is the one with the higher number.
    if (std::pair(other.joined, other.life) < std::pair(own_.joined, own_.life)) {
        ++own_.incarnation;
        own_.state = State::left;
        for (MemberIx ix : some(static_cast<size_t>(2 * settings_.spreadTo), MemberIx()))
            send(now, addressOf(ix), made(Kind::news, "", 0));
        send(now, source, made(Kind::news, "", 0));
        return stepAside(now, other.address);
    }
    send(now, source, made(Kind::contest, own_.name, 0));
}

void Members::stepAside(Instant now, const std::string& other) {
    bool told = phase_ == Phase::aside;
    phase_ = Phase::aside, asked_ = 0;
    std::erase_if(timers_, [](auto& t) { return t.second.what != What::doubtEnds && t.second.what != What::helped; });
    at(now + kAside, What::seek);
    if (!told) {
        out_.push_back(Say{true, "another process at " + other + " has the name " + own_.name +
                                     " and began earlier: this one takes no part in the crew"});
    }
}

void Members::leave(Instant now) {
    if (phase_ != Phase::in) return void(phase_ = Phase::left);
    ++own_.incarnation;
    own_.state = State::left;
    phase_ = Phase::left;
    kept_ = own_.incarnation;
    out_.push_back(Keep{kept_});
    for (MemberIx ix : some(static_cast<size_t>(2 * settings_.spreadTo), MemberIx()))
        send(now, addressOf(ix), made(Kind::news, "", 0));
    timers_.clear();
}

// ---- passing on

int Members::spreadMost() const {
    return settings_.spreadFactor * static_cast<int>(std::ceil(std::log10(static_cast<double>(living_) + 1)));
}

Message Members::made(Kind kind, const std::string& target, uint64_t round) const {
    Message m;
    m.kind = kind, m.crew = settings_.crew, m.from = own_.name, m.life = own_.life;
    m.target = target, m.round = round;
    return m;
}

// What is still to be passed on, the least told first, as far as a datagram holds.
void Members::fill(Instant now, Message& m) {
    size_t room = kDatagram - roomOf(m);
    // One that steps aside says so of itself as long as nobody else is to be heard under its name.
    if (phase_ == Phase::in || phase_ == Phase::left || (phase_ == Phase::aside && own_.state == State::left)) {
        m.records.push_back(own_);
        room -= roomOf(own_);
        if (ownOwed_ > 0) --ownOwed_;
    }
    // Whom we doubt hears it from us first, so that it can answer at once.
    if (MemberIx to = names_.find(m.target); m.kind == Kind::ping && to.isKnown() &&
                                                 entries_[to.value].record.state == State::doubted) {
        m.records.push_back(entries_[to.value].record);
        room -= roomOf(m.records.back());
    }
    int most = spreadMost();
    std::vector<MemberIx> told;
    for (auto& [key, ix] : words_) {
        size_t needs = roomOf(entries_[ix.value].record);
        if (needs > room) break;
        room -= needs;
        m.records.push_back(entries_[ix.value].record);
        told.push_back(ix);
    }
    for (MemberIx ix : told) {
        Entry& e = entries_[ix.value];
        int times = e.queued->first + 1;
        words_.erase(*e.queued);
        e.queued.reset();
        if (times >= most) continue;
        e.queued = {times, ++serial_};
        words_.emplace(*e.queued, ix);
    }
    std::vector<TopicKey> items;
    for (auto& [key, topic] : topics_) {
        const Word& word = items_.at(topic);
        size_t needs = roomOf(word.item);
        if (needs > room) break;
        room -= needs;
        m.items.push_back(word.item);
        m.items.back().ageMs += static_cast<uint32_t>(std::max<int64_t>(0, (now - word.at).inMicros() / 1000));
        items.push_back(topic);
    }
    for (const TopicKey& topic : items) {
        Word& word = items_.at(topic);
        int times = word.queued->first + 1;
        topics_.erase(*word.queued);
        word.queued.reset();
        if (times >= most) continue;
        word.queued = {times, ++serial_};
        topics_.emplace(*word.queued, topic);
    }
}

void Members::send(Instant now, const std::string& to, Message m) {
    if (to.empty()) return;
    fill(now, m);
    out_.push_back(Send{to, std::move(m)});
}

void Members::spread(Instant now) {
    at(now + settings_.spreadEvery, What::spread);
    double most = settings_.bytesPerSecond;
    tokens_ = std::min(most, tokens_ + std::max(0.0, (now - tokensAt_).inSeconds()) * most);
    tokensAt_ = now;
    if (words_.empty() && topics_.empty() && ownOwed_ == 0) return;
    for (MemberIx ix : some(static_cast<size_t>(settings_.spreadTo), MemberIx())) {
        if (tokens_ < static_cast<double>(kDatagram)) return note(Counted::spreadHeldBack);
        if (words_.empty() && topics_.empty() && ownOwed_ == 0) return;
        Message m = made(Kind::news, "", 0);
        fill(now, m);
        size_t bytes = roomOf(m);
        for (const Record& r : m.records) bytes += roomOf(r);
        for (const Item& i : m.items) bytes += roomOf(i);
        tokens_ -= static_cast<double>(bytes);
        out_.push_back(Send{addressOf(ix), std::move(m)});
    }
}

// Whole tables, now and then: what the words missed. The more we are, the less often each.
void Members::exchange(Instant now) {
    double n = std::max(1.0, std::log2(static_cast<double>(living_)) - 4);
    at(now + jittered(settings_.exchangeEvery * n), What::exchange);
    for (MemberIx ix : some(1, MemberIx())) meet(addressOf(ix), now);
}

// Those who should be there and are not: seeds at first, then whoever is dead, as both sides of a partition find
// each other again in no other way. All of a large crew together try some sixteen in each span.
void Members::seek(Instant now) {
    if (phase_ == Phase::left) return;
    if (phase_ == Phase::aside || phase_ == Phase::seeking) {
        if (phase_ == Phase::aside) {
            phase_ = Phase::seeking, seedsTried_ = 0;
            // Who had our name may have gone without a word that we heard: he is asked anew.
        }
        if (settings_.seeds.empty()) return tryClaim(now);
        std::rotate(settings_.seeds.begin(), settings_.seeds.begin() + draw(static_cast<uint32_t>(settings_.seeds.size())),
                    settings_.seeds.end());
        for (size_t i = 0; i < std::min(kSeedsAtOnce, settings_.seeds.size()); ++i) meet(settings_.seeds[i], now);
        at(now + settings_.seekEvery, What::seek);
        if (seedsTried_ > 0) tryClaim(now);
        seedsTried_ += kSeedsAtOnce;
        return;
    }
    if (phase_ != Phase::in) return;
    bool alone = living_ == 1;
    Span wait = alone ? settings_.round : settings_.seekEvery * std::max(1.0, static_cast<double>(living_) / 16);
    at(now + jittered(wait), What::seek);
    std::set<std::string> there;
    std::vector<std::string> missing;
    for (MemberIx ix : order_) {
        const Entry& e = entries_[ix.value];
        if (lives(e)) there.insert(addressOf(ix));
        // One that left may be back, knowing no seed but such as are dead.
        bool lately = e.record.state == State::left && now - e.since < kLately;
        if (e.record.state == State::dead || lately) missing.push_back(addressOf(ix));
    }
    for (const std::string& seed : settings_.seeds) {
        if (there.count(seed) == 0) missing.push_back(seed);
    }
    if (!missing.empty()) meet(missing[draw(static_cast<uint32_t>(missing.size()))], now);
}

void Members::meet(const std::string& at, Instant now) { out_.push_back(Meet{at, tableFor(now, Kind::table)}); }

const std::string& Members::addressOf(MemberIx ix) const {
    const Record& r = entries_[ix.value].record;
    auto route = settings_.routes.find(r.name);
    return route == settings_.routes.end() ? r.address : route->second;
}

std::vector<MemberIx> Members::some(size_t most, MemberIx but) {
    std::vector<MemberIx> out;
    if (order_.empty()) return out;
    for (int i = 0; i < kLiveMost && out.size() < most; ++i) {
        MemberIx ix = order_[draw(static_cast<uint32_t>(order_.size()))];
        bool fits = ix != but && lives(entries_[ix.value]) && std::find(out.begin(), out.end(), ix) == out.end();
        if (fits) out.push_back(ix);
        if (out.size() + 1 >= living_) break;
    }
    return out;
}

// ---- the program's words

bool Members::publish(Instant now, const std::string& topic, const std::string& bytes) {
    if (!goodName(topic) || topic.size() > kTopic || bytes.size() > kPayload || phase_ != Phase::in) return false;
    TopicKey key{topic, own_.name};
    long topics = std::count_if(items_.begin(), items_.end(), [&](auto& i) { return i.first.second == own_.name; });
    auto was = items_.find(key);
    if (was == items_.end() && topics >= static_cast<long>(kTopicsOfOne)) return false;
    uint64_t version = std::max(was == items_.end() ? 0 : was->second.item.version + 1, own_.joined << 15);
    if (was != items_.end() && was->second.queued) topics_.erase(*was->second.queued);
    Word& word = items_[key];
    word = {{topic, own_.name, bytes, version, 0}, now, std::pair(0, ++serial_)};
    topics_.emplace(*word.queued, key);
    return true;
}

void Members::take(Instant now, const Item& item) {
    TopicKey key{item.topic, item.origin};
    auto was = items_.find(key);
    if (item.origin == own_.name) {
        // Said by a former life of ours, whose count our folder lost: our next word must stand above it.
        if (was == items_.end() || item.version < was->second.item.version) return;
        if (item.version == was->second.item.version && item.bytes == was->second.item.bytes) return;
        was->second.item.version = item.version;
        publish(now, item.topic, was->second.item.bytes);
        return;
    }
    if (!names_.find(item.origin).isKnown()) return;
    if (was != items_.end() && item.version <= was->second.item.version) return;
    if (was == items_.end()) {
        long topics = std::count_if(items_.begin(), items_.end(), [&](auto& i) { return i.first.second == item.origin; });
        if (topics >= static_cast<long>(kTopicsOfOne) || items_.size() >= kTopicsOfOne * kMembers) return;
    } else if (was->second.queued) {
        topics_.erase(*was->second.queued);
    }
    Word& word = items_[key];
    word = {item, now, std::pair(0, ++serial_)};
    topics_.emplace(*word.queued, key);
    out_.push_back(Told{item.origin, item.topic, item.bytes, Span::millis(item.ageMs), false});
}

bool Members::tell(Instant now, const std::string& name, const std::string& topic, const std::string& bytes) {
    MemberIx ix = names_.find(name);
    if (!ix.isKnown() || !lives(entries_[ix.value]) || phase_ != Phase::in) return false;
    if (!goodName(topic) || topic.size() > kTopic || bytes.size() > kPayload) return false;
    Message m = made(Kind::direct, name, 0);
    m.topic = topic, m.bytes = bytes;
    send(now, addressOf(ix), std::move(m));
    return true;
}

// ---- what may be asked

Seen Members::seenOf(Instant now, const Entry& e) const {
    Seen s;
    s.name = e.record.name, s.address = e.record.address, s.state = e.record.state;
    s.since = now - e.since, s.incarnation = e.record.incarnation;
    s.ever = e.heardAt > Instant::longAgo();
    if (s.ever) s.heard = now - e.heardAt;
    if (s.state == State::doubted) {
        s.doubters = static_cast<int>(e.doubters.size());
        s.doubtersWanted = std::max(1, std::min(settings_.doubters + 1, static_cast<int>(living_) - 1));
    }
    return s;
}

std::vector<Seen> Members::view(Instant now) const {
    std::vector<Seen> all;
    for (MemberIx ix : order_) all.push_back(seenOf(now, entries_[ix.value]));
    if (phase_ == Phase::in) all.push_back({own_.name, own_.address, State::alive, Span(), Span(), true, own_.incarnation, 0, 0});
    std::sort(all.begin(), all.end(), [](const Seen& a, const Seen& b) { return a.name < b.name; });
    return all;
}

std::optional<Seen> Members::seen(Instant now, const std::string& name) const {
    MemberIx ix = names_.find(name);
    return ix.isKnown() ? std::optional(seenOf(now, entries_[ix.value])) : std::nullopt;
}

std::vector<Item> Members::items(Instant now, const std::string& topic) const {
    std::vector<Item> out;
    for (auto at = items_.lower_bound({topic, ""}); at != items_.end() && at->first.first == topic; ++at) {
        out.push_back(at->second.item);
        out.back().ageMs += static_cast<uint32_t>(std::max<int64_t>(0, (now - at->second.at).inMicros() / 1000));
    }
    return out;
}

}  // namespace petrelpond::crew
