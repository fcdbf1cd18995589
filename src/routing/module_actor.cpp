#include "src/routing/module_actor.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "petrelpond/pull.hpp"
#include "src/routing/outcome.hpp"
#include "src/transport/socket.hpp"

namespace petrelpond {

namespace {

// A client's clock and ours need not agree to the last millisecond on how long a product's texts are valid.
constexpr Span kLeeway = Span::seconds(1);
// An endpoint whose connections have long gone as idle keeps no thread, and a destination of which nothing is
// listed no name: after that time it may yet come back.
constexpr Span kForgetAfter = Span::seconds(60);
constexpr size_t kMany = 500;
constexpr size_t kDecidedAtOnce = 10'000;  // decisions until the clock is looked at again
constexpr size_t kTextsApart = 4096;  // indices that were given back before one is used again

uint64_t packed(const std::string& address) {
    auto at = Address::parse(address);
    if (!at) return 0;
    uint64_t host = 0, part = 0;
    for (char c : at->host) {
        if (c == '.') host = host << 8 | part, part = 0;
        if (c != '.') part = part * 10 + static_cast<uint64_t>(c - '0');
    }
    return (host << 8 | part) << 16 | static_cast<uint64_t>(at->port);
}
std::string unpacked(uint64_t address) {
    std::string host;
    for (int shift = 40; shift >= 16; shift -= 8) {
        host += (host.empty() ? "" : ".") + std::to_string(address >> shift & 255);
    }
    return host + ":" + std::to_string(address & 65535);
}

}  // namespace

ModuleActor::ModuleActor(const Settings& settings, uint64_t seed, Stock stock, Ways ways)
    : sender_(readSender(settings, seed, names_)), store_(std::move(stock.store)), own_(stock.own),
      taken_(std::move(stock.taken)), heir_(stock.heir), ordered_(readOrdered(settings)), ways_(std::move(ways)) {
    Names unused;
    kinds_ = readKinds(settings, unused);
    busy_ = readRoom(settings).maxNackPause;
    longestValidity_ = readLongestValidity(settings) + kLeeway;
}

void ModuleActor::run() {
    Instant now = steadyNow();
    sender_->setCallsAllowed(now, heir_.serves());
    for (auto& [number, store] : taken_) resume(now, number, *store);
    resume(now, own_, *store_);
    keep(true);  // counts what the store found at its start
    pull(now);
    ways_.ready();
    while (true) {
        auto mail = ways_.inbox->drain(timers_.empty() ? Instant::never() : *timers_.begin());
        try {
            round(mail);
        } catch (const std::bad_alloc&) {  // what is known stays, and the next round goes on from it
            ways_.report->say(Level::error, "out of memory");
        }
    }
}

void ModuleActor::round(std::deque<ModuleMail>& mail) {
    Instant now = steadyNow();
    bool due = !timers_.empty() && *timers_.begin() <= now;
    while (!timers_.empty() && *timers_.begin() <= now) timers_.erase(timers_.begin());
    if (due) sender_->onTimer(now);
    for (ModuleMail& m : mail) take(now, m);
    if (!behind_.empty()) inTurn(now);
    if (shares_ || !taken_.empty() || !heir_.complete()) shareRoom();
    release();
    pull(now);
    rest(now);
    if (!taken_.empty()) dropEmptied();
    // A process that leaves ends without a word to this one.
    if (ways_.recording) left_ ? ways_.recording->flush() : ways_.recording->flushIfDue(now);
    if (left_ && rows_.empty()) std::exchange(left_, nullptr)();
}

// What an earlier life of this process, or the process before it, took on and has not brought to its end.
void ModuleActor::resume(Instant now, succession::Number number, Store& store) {
    std::vector<std::pair<std::string, Store::Text>> open(store.texts().begin(), store.texts().end());
    std::sort(open.begin(), open.end(),
              [](const auto& a, const auto& b) { return a.second.serial < b.second.serial; });
    int64_t unixNow = unixMicros();
    auto instant = [&](int64_t at) { return now + Span::micros(at - unixNow); };
    for (auto& [id, text] : open) {
        // Handed in here too, under the id of another's: the one that is not known to have left goes.
        if (auto twice = texts_.find(id); twice != texts_.end()) {
            Row& here = rows_.at(twice->second.value);
            if (here.submits > 0 || text.final != Store::Final::none) {
                keep(store.over(id));
                continue;
            }
            sender_->onWithdrawn(now, twice->second);
            if (here.reply) here.reply->postHeld({Reception::What::taken, Span()});
            here.over = true, keep(store_->over(id)), drop(twice->second);
        }
        if (text.final != Store::Final::none) {
            Notice notice{id, text.final == Store::Final::nacked, Span::micros(text.pause)};
            whenSafe([this, notice] { ways_.notify(notice); });
            continue;
        }
        // A call that was out when the process ended may have run.
        if (text.out) {
            keep(store.ended(id, true));
            text = store.texts().at(id);
        }
        TextIndex index = freshText();
        Row& row = rows_[index.value];
        // Its body is read when it is sent.
        row.id = id, row.parcel = {id, text.mark, nullptr}, row.submits = text.submits;
        row.validUntil = instant(text.validUntil), row.cameAt = now;
        row.destination = names_.destinations.intern(text.destination), row.product = text.product;
        if (row.destination.value >= users_.size()) users_.resize(row.destination.value + 1);
        ++users_[row.destination.value].texts;
        texts_[id] = index;
        Arrival a;
        a.text = index, a.destination = row.destination, a.product = names_.products.find(text.product);
        a.validUntil = row.validUntil, a.submits = text.submits;
        if (!text.key.empty()) a.key = std::hash<std::string>()(text.key);
        if (text.mayHaveRun) a.mayHaveRunSince = instant(text.firstMayHaveRun);
        if (text.mayHaveRun) a.ranInZone = names_.zones.intern(text.ranIn);
        arrive(now, a, number);
        ways_.report->add(Count::textsResumed);
    }
}

Store& ModuleActor::holding(const std::string& id) {
    for (auto& [number, store] : taken_) {
        if (store->texts().count(id) > 0) return *store;
    }
    return *store_;
}

// A text in order whose elders are still with another process waits for them, and for its own time.
void ModuleActor::arrive(Instant now, const Arrival& a, succession::Number number) {
    bool waits = a.key && !heir_.inTurn(number) && ordered_.count(rows_.at(a.text.value).product) > 0;
    if (!waits) return sender_->onArrival(now, a);
    behind_.push_back({a, number});
    timers_.insert(a.validUntil - kLeeway * 0.1);
}

void ModuleActor::inTurn(Instant now) {
    auto ready = std::stable_partition(behind_.begin(), behind_.end(), [&](const Behind& b) {
        return !heir_.inTurn(b.number) && now < b.arrival.validUntil - kLeeway * 0.1;
    });
    // Of the eldest first; the partition keeps the order in which those of one generation were taken on.
    std::stable_sort(ready, behind_.end(), [](const Behind& a, const Behind& b) { return a.number < b.number; });
    for (auto at = ready; at != behind_.end(); ++at) sender_->onArrival(now, at->arrival);
    behind_.erase(ready, behind_.end());
}

void ModuleActor::handOver(Instant now, HandOverMail& mail) {
    sender_->setCallsAllowed(now, false);
    std::string lines;
    for (uint32_t i = 0; i < places_.size(); ++i) {
        if (places_[i].actor) places_[i].actor->holdBack();
        auto numbers = places_[i].destination.isKnown() ? sender_->exportEndpointState(now, EndpointIndex(i))
                                                        : std::vector<double>();
        if (!numbers.empty()) lines += succession::learnedLine(names_.endpoints.name(EndpointIndex(i)), numbers);
    }
    mail.put(lines);
    teach_ = mail.put;
    mail.done();
}

void ModuleActor::inherit(Instant now, HeritageMail& mail) {
    for (const succession::Line& line : mail.learned) {
        EndpointIndex ix = names_.endpoints.find(line.endpoint);
        if (!ix.isKnown() || !places_.at(ix.value).destination.isKnown()) continue;
        if (sender_->importEndpointState(now, ix, line.numbers)) holdBack(ix);
    }
    if (mail.store) {
        heir_.gone(mail.number);
        taken_[mail.number] = mail.store;
        resume(now, mail.number, *mail.store);
    }
    if (mail.last) heir_ = succession::Heir{{}};
    sender_->setCallsAllowed(now, mail.mayStart && !teach_);
}

// All generations together keep to the disk's bound; what others hold is not to be had.
void ModuleActor::shareRoom() {
    int64_t others = ways_.elsewhere ? ways_.elsewhere() : 0;
    for (const auto& [number, store] : taken_) others += store->size();
    shares_ = others > 0;
    store_->limit(std::max<int64_t>(ways_.diskMost - others, 64 * 1024));
}

// A generation of which nothing is left goes, on a thread of its own: its upkeep may be at work.
void ModuleActor::dropEmptied() {
    std::erase_if(taken_, [&](auto& one) {
        auto& [number, store] = one;
        if (!store->texts().empty() || store->owed() > 0 || heir_.awaits(number)) return false;
        ways_.emptied(number, std::move(store));
        return true;
    });
}

// What tells others of a record goes out once that is as safe as was asked for; never: it will not be.
void ModuleActor::whenSafe(std::function<void()> go, std::function<void()> never) {
    if (!mayServe() && waiting_.empty()) {
        if (never) never();
    } else if (waiting_.empty() && safe() >= store_->last()) {
        go();
    } else {
        waiting_.push_back({store_->last(), std::move(go), std::move(never)});
    }
}

uint64_t ModuleActor::safe() const {
    return ways_.standby ? std::min(store_->safe(), ways_.standby->acked()) : store_->safe();
}

void ModuleActor::release() {
    if (ways_.standby) ways_.standby->feed(*store_);
    if (store_->owed() > 0) store_->payOwed();  // also where nothing else is written
    for (auto& [number, store] : taken_) {
        if (store->owed() > 0) store->payOwed();
    }
    while (!waiting_.empty() && waiting_.front().record <= safe() && mayServe()) {
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        next.go();
    }
    if (mayServe()) return;
    for (auto& w : std::exchange(waiting_, {})) {
        if (w.never) w.never();
    }
}

// Nothing can be sent of a text whose body is gone: that is its end.
void ModuleActor::lost(Instant now, TextIndex text) {
    sender_->onWithdrawn(now, text);
    ways_.report->add(Count::undeliverable);
    answered(now, text, Store::Final::undeliverable, Span());
}

void ModuleActor::take(Instant now, ModuleMail& mail) {
    if (auto* m = std::get_if<ArrivedMail>(&mail)) {
        arrived(now, *m);
    } else if (auto* end = std::get_if<CallEnd>(&mail)) {
        ended(now, *end);
    } else if (auto* w = std::get_if<WithdrawnMail>(&mail)) {
        auto found = texts_.find(w->id);
        // Another request with the same id is no leave to withdraw a text that somebody was told is taken on.
        if (found == texts_.end() || rows_.at(found->second.value).ticket != w->ticket) return;
        ways_.report->add(Count::textsWithdrawn);
        TextIndex text = found->second;
        sender_->onWithdrawn(now, text);
        record(now, rows_.at(text.value), "withdrawn");
        keep(holding(w->id).over(w->id));
        rows_[text.value].over = true;
        if (!rows_[text.value].out) drop(text);
    } else if (auto* list = std::get_if<ListMail>(&mail)) {
        listed(now, *list);
    } else if (auto* told = std::get_if<ToldMail>(&mail)) {
        for (const std::string& id : told->ids) keep(holding(id).over(id));
    } else if (auto* orders = std::get_if<OrdersMail>(&mail)) {
        ordered(now, orders->out);
    } else if (auto* over = std::get_if<HandOverMail>(&mail)) {
        handOver(now, *over);
    } else if (auto* heritage = std::get_if<HeritageMail>(&mail)) {
        inherit(now, *heritage);
    } else if (std::holds_alternative<SafeMail>(mail)) {
        return;  // each round looks
    } else if (auto* leaving = std::get_if<LeavingMail>(&mail)) {
        sender_->onShutdown(leaving->by);
        left_ = std::move(leaving->done);
    }
}

void ModuleActor::arrived(Instant now, ArrivedMail& mail) {
    ways_.report->add(Count::textsIn);
    // The same request once more: its first one was read after all, and stands unless it was withdrawn.
    auto known = texts_.find(mail.text.id);
    if (known != texts_.end() || holding(mail.text.id).texts().count(mail.text.id) > 0) {
        bool over = known != texts_.end() && rows_.at(known->second.value).over;
        if (known != texts_.end()) rows_.at(known->second.value).ticket = 0;
        ways_.report->add(Count::textsAgain);
        return mail.reply->postHeld({over ? Reception::What::nacked : Reception::What::taken, Span()});
    }
    // What names nothing that there is can never be delivered, and made-up names must not pile up.
    ProductIndex product = names_.products.find(mail.text.product);
    DestinationIndex destination = names_.destinations.find(mail.text.destination);
    if (!product.isKnown() || !destination.isKnown() || mail.text.validity > longestValidity_) {
        ways_.report->add(Count::textsUnusable);
        return mail.reply->postHeld({Reception::What::unusable, Span()});
    }
    // A text whose record has no room must not reach the module, which could send it at once.
    bool kept = mayServe() && (!ways_.standby || ways_.standby->inStep());
    if (!kept || !store_->roomFor(mail.text.id.size(), mail.body->size())) {
        ways_.report->add(Count::storeRefused);
        return mail.reply->postHeld({Reception::What::nacked, busy_});
    }
    TextIndex index = freshText();
    texts_[mail.text.id] = index;
    Row& row = rows_[index.value];
    row.id = mail.text.id, row.parcel = {mail.text.id, mail.text.mark, mail.body};
    row.key = mail.text.key, row.ticket = mail.ticket;
    row.validUntil = mail.at + mail.text.validity, row.reply = std::move(mail.reply);
    row.destination = destination, row.product = mail.text.product, row.cameAt = mail.at;
    ++users_[destination.value].texts;
    if (ways_.recording) {
        int64_t at = unixMicros() - (now - mail.at).inMicros();
        ways_.recording->arrived(at, row.product, mail.text.destination, mail.text.validity,
                                 row.parcel.body->size(), row.key);
    }
    fresh_.push_back(index);
    Arrival a;
    a.text = index, a.destination = destination, a.product = product, a.validUntil = row.validUntil;
    if (!mail.text.key.empty()) a.key = std::hash<std::string>()(mail.text.key);
    arrive(now, a, own_);
}

void ModuleActor::ended(Instant now, CallEnd& call) {
    --callsOut_;
    Place& at = places_.at(call.endpoint.value);
    --at.out, at.usedAt = now;
    if (at.out == 0) used_.emplace_back(now, call.endpoint);
    ways_.report->add(
        static_cast<Count>(static_cast<int>(Count::callsAnswered) + static_cast<int>(call.ending)));
    // Ours ran out: what lies idle at other endpoints makes room for the next try.
    if (call.ending == Ending::noMeans) {
        for (Place& place : places_) {
            if (place.actor) place.actor->closeIdle();
        }
    }
    bool answered = call.ending == Ending::answered || call.ending == Ending::halfAnswered;
    if (answered && call.answer.wait > Span()) holdBack(call.endpoint);
    for (size_t i = 0; i < call.texts.size(); ++i) {
        auto found = rows_.find(call.texts[i].value);
        if (found == rows_.end()) continue;
        Row& row = found->second;
        Outcome outcome = outcomeOf(call.ending, answered ? call.answer.verdicts[i] : Verdict::error);
        SubmitResult e{call.texts[i], call.endpoint, outcome.end, outcome.over, Span(), {}, {}, false};
        if (answered) e.retryAfter = call.answer.wait, e.reportedLimit = call.answer.limit;
        if (answered) e.reportedRemaining = call.answer.left;
        e.newConnection = call.fresh;
        row.out = false, row.carrier = nullptr;
        ways_.report->add(outcome.end == SubmitStatus::delivered ? Count::delivered
                          : outcome.over                ? Count::overElsewhere
                          : outcome.end == SubmitStatus::overloaded    ? Count::turnedAway
                          : outcome.end == SubmitStatus::notSent ? Count::notSent
                                                        : Count::errors);
        if (outcome.over) {
            if (!row.over) record(now, row, "delivered"), keep(holding(row.id).over(row.id));
            row.over = true;
        } else if (!row.over) {
            bool mayHaveRun = outcome.end == SubmitStatus::error || outcome.end == SubmitStatus::reset ||
                              outcome.end == SubmitStatus::timeout || outcome.end == SubmitStatus::cancelled;
            keep(holding(row.id).ended(row.id, mayHaveRun));
        }
        bool tells = ways_.report->says(Level::debug);
        std::string before = tells ? sender_->describeEndpoint(now, call.endpoint) : std::string();
        sender_->onSubmitResult(now, e);
        if (teach_ && e.status != SubmitStatus::delivered) {
            teach_(succession::learnedLine(names_.endpoints.name(call.endpoint),
                                           sender_->exportEndpointState(now, call.endpoint)));
        }
        if (tells) tell(now, row, e, call, before);
        if (row.over) drop(call.texts[i]);
    }
    freeIfGone(call.endpoint);
}

// For those who count over a whole fleet of senders (scripts/fleet-count).
void ModuleActor::tell(Instant now, const Row& row, const SubmitResult& e, const CallEnd& call,
                       const std::string& before) {
    auto ms = [](Span s) { return std::to_string(s.inMicros() / 1000); };
    auto share = [](std::optional<double> x) { return x ? std::to_string(*x) : std::string("-"); };
    ways_.report->say(Level::debug,
                      "ended: " + row.id + " product " + row.product + " submit " +
                          std::to_string(row.submits) + " at " + names_.endpoints.name(call.endpoint) +
                          " of " + names_.destinations.name(row.destination) + " with " +
                          std::to_string(call.texts.size()) + " ending " +
                          std::to_string(static_cast<int>(call.ending)) + " outcome " +
                          std::to_string(static_cast<int>(e.status)) + " took " + ms(now - row.sentAt) +
                          " age " + ms(now - row.cameAt) + " fresh " + std::to_string(call.fresh) + " wait " +
                          ms(e.retryAfter) + " limit " + share(e.reportedLimit) + " left " +
                          share(e.reportedRemaining) +
                          " believed " + before + " now " + sender_->describeEndpoint(now, call.endpoint));
}

TextIndex ModuleActor::freshText() {
    if (freeTexts_.size() < kTextsApart) return TextIndex(nextText_++);
    uint32_t ix = freeTexts_.front();
    freeTexts_.pop_front();
    return TextIndex(ix);
}

void ModuleActor::leftAlone(Instant now, DestinationIndex d) {
    if (users_[d.value].places + users_[d.value].texts == 0) alone_.emplace_back(now, d);
}

// What has been silent long enough gives back its threads, or its name.
void ModuleActor::rest(Instant now) {
    Span idle = ways_.endpoints.idle > Span() ? std::min(ways_.endpoints.idle, kForgetAfter) : kForgetAfter;
    for (; !used_.empty() && now - used_.front().first >= idle; used_.pop_front()) {
        Place& place = places_.at(used_.front().second.value);
        if (!place.actor || place.out > 0 || place.usedAt != used_.front().first) continue;
        place.actor->retire();
        place.actor = nullptr;
        ++retired_, retiredAt_ = now;
    }
    // Once their threads have gone; a small fleet is never tidied, as it holds up the round for a moment.
    bool many = retired_ >= kMany && now - retiredAt_ > Span::seconds(2);
    if (many) retired_ = 0, ways_.tidy();
    for (; !alone_.empty() && now - alone_.front().first >= kForgetAfter; alone_.pop_front()) {
        DestinationIndex d = alone_.front().second;
        if (names_.destinations.name(d).empty() || users_[d.value].places + users_[d.value].texts > 0)
            continue;
        sender_->onDestinationRemoved(now, d);
        names_.destinations.release(d);
        ways_.report->add(Count::destinationsFreed);
    }
}

// An endpoint's name, index and threads go with it once no call names it, so that what is held follows what
// is live however long endpoints come and go; its successor inherits nothing, even at the same address.
void ModuleActor::freeIfGone(EndpointIndex endpoint) {
    Place& place = places_.at(endpoint.value);
    if (!place.gone || place.out > 0) return;
    DestinationIndex destination = place.destination;
    place = Place();
    --users_[destination.value].places;
    leftAlone(steadyNow(), destination);
    names_.endpoints.release(endpoint);
    ways_.report->add(Count::endpointsFreed);
}

void ModuleActor::listed(Instant now, const ListMail& mail) {
    std::vector<ListEntry> entries;
    std::set<uint32_t> named;
    for (const Member& m : mail.list.members) {
        if (m.state == ListState::removed && !names_.endpoints.find(m.id).isKnown()) continue;
        EndpointIndex ix = names_.endpoints.intern(m.id);
        if (ix.value >= places_.size()) places_.resize(ix.value + 1);
        Place& place = places_[ix.value];
        if (uint64_t address = packed(m.address); !m.address.empty() && place.address != address) {
            if (place.actor) place.actor->retire();
            place.actor = nullptr, place.address = address;
        }
        place.zone = names_.zones.intern(m.zone), place.kind = names_.kinds.intern(m.kind);
        DestinationIndex destination = names_.destinations.intern(m.destination), before = place.destination;
        if (destination.value >= users_.size()) users_.resize(destination.value + 1);
        if (before != destination) {
            ++users_[destination.value].places;
            if (before.isKnown()) --users_[before.value].places, leftAlone(now, before);
        }
        place.destination = destination;
        if (m.state == ListState::draining && place.actor) place.actor->holdBack(), place.actor->closeIdle();
        named.insert(ix.value);
        place.gone = m.state == ListState::removed;
        if (m.state == ListState::removed && place.actor) place.actor->retire(), place.actor = nullptr;
        entries.push_back({ix, place.destination, place.zone, place.kind, m.state, m.rate});
    }
    for (uint32_t i = 0; mail.list.whole && i < places_.size(); ++i) {
        if (named.count(i) > 0 || !places_[i].destination.isKnown()) continue;
        if (places_[i].actor) places_[i].actor->retire(), places_[i].actor = nullptr;
        places_[i].gone = !mail.old;
    }
    ListScope scope = mail.old ? ListScope::cached : mail.list.whole ? ListScope::complete : ListScope::changes;
    sender_->onEndpointList(now, scope, entries);
    // A ban outlasts lists: it binds also one that was gone and is back, before anything is decided on it.
    for (const Member& m : mail.list.members) {
        if (m.state != ListState::removed && bans_.count(m.id) > 0)
            sender_->setEndpointDisabled(now, names_.endpoints.find(m.id), true);
    }
    for (const ListEntry& e : entries) freeIfGone(e.endpoint);
    for (uint32_t i = 0; mail.list.whole && i < places_.size(); ++i) freeIfGone(EndpointIndex(i));
    if (!ways_.listed) return;
    std::set<std::string> ids;
    for (uint32_t i = 0; i < places_.size(); ++i) {
        if (places_[i].destination.isKnown() && !places_[i].gone) ids.insert(names_.endpoints.name(EndpointIndex(i)));
    }
    ways_.listed(std::move(ids));
}

void ModuleActor::ordered(Instant now, const std::set<std::string>& out) {
    auto tell = [&](const std::string& id, bool ban) {
        EndpointIndex ix = names_.endpoints.find(id);
        if (!ix.isKnown() || !places_.at(ix.value).destination.isKnown()) return;
        sender_->setEndpointDisabled(now, ix, ban);
        auto& actor = places_.at(ix.value).actor;
        if (ban && actor) actor->holdBack(), actor->closeIdle();
    };
    auto before = std::exchange(bans_, out);
    for (const std::string& id : out) {
        if (before.count(id) == 0) tell(id, true);
    }
    for (const std::string& id : before) {
        if (out.count(id) == 0) tell(id, false);
    }
}

void ModuleActor::pull(Instant now) {
    // Against decisions that come without end while the clock stands still: what they wait for comes as it goes on.
    while (!pullDecisions(*sender_, now, kDecidedAtOnce, [&](const Decision& d) { decide(now, d); })) {
        ways_.report->add(Count::roundsLong);
        now = steadyNow();
    }
    receive(now);
    dispatch();
}

// Texts that came in this round and were not answered in it are taken on, before any of them leaves.
void ModuleActor::receive(Instant now) {
    for (TextIndex ix : fresh_) {
        auto found = rows_.find(ix.value);
        if (found == rows_.end() || found->second.over) continue;
        Row& row = found->second;
        Store::Text text;
        text.destination = names_.destinations.name(row.destination), text.product = row.product;
        text.mark = row.parcel.mark, text.key = row.key, text.body = row.parcel.body;
        text.takenAt = unixMicros();
        text.validUntil = text.takenAt + (row.validUntil - steadyNow()).inMicros();
        bool taken = store_->taken(row.id, std::move(text));
        keep(taken);
        ways_.report->add(taken ? Count::textsTaken : Count::storeRefused);
        auto reply = std::exchange(row.reply, nullptr);
        if (taken) {
            whenSafe(
                [reply] {
                    reply->postHeld({Reception::What::taken, Span()});
                },
                [this, reply, ix, id = row.id] {
                    reply->postHeld({Reception::What::nacked, busy_});
                    auto at = rows_.find(ix.value);
                    if (at == rows_.end() || at->second.id != id || at->second.over) return;
                    at->second.over = true;
                    sender_->onWithdrawn(steadyNow(), ix);
                    if (!at->second.out) drop(ix);
                });
            continue;
        }
        reply->postHeld({Reception::What::nacked, busy_});
        row.over = true;
        sender_->onWithdrawn(now, ix);
        if (!row.out) drop(ix);
    }
    fresh_.clear();
}

void ModuleActor::decide(Instant now, const Decision& decision) {
    if (const auto* submit = std::get_if<Submit>(&decision)) {
        Row& row = rows_.at(submit->text.value);
        row.out = true, ++row.submits, row.sentAt = now;
        if (!row.parcel.body && !(row.parcel.body = holding(row.id).body(row.id))) {
            row.parcel.body = std::make_shared<const std::string>(), row.spoilt = true;
        }
        Instant until = row.validUntil;
        if (submit->timeout > Span()) until = std::min(until, now + submit->timeout);
        row.until = until;
        submits_.emplace_back(submit->endpoint, submit->text);
    } else if (const auto* nack = std::get_if<Nack>(&decision)) {
        ways_.report->add(Count::nacked);
        answered(now, nack->text, Store::Final::nacked, nack->pause);
    } else if (const auto* dead = std::get_if<Undeliverable>(&decision)) {
        ways_.report->add(Count::undeliverable);
        answered(now, dead->text, Store::Final::undeliverable, Span());
    } else if (const auto* cancel = std::get_if<CancelSubmit>(&decision)) {
        auto found = rows_.find(cancel->text.value);
        if (found == rows_.end() || !found->second.out || found->second.submits - 1 != cancel->submit) return;
        if (found->second.carrier) found->second.carrier->cancel(cancel->text);
    } else if (const auto* wake = std::get_if<WakeAt>(&decision)) {
        timers_.insert(wake->at);
    } else if (std::holds_alternative<SubscribeToList>(decision)) {
        return;  // the list's actor asks by itself, from the start on
    } else if (const auto* close = std::get_if<CloseIdleConnections>(&decision)) {
        if (close->endpoint.value < places_.size() && places_[close->endpoint.value].actor) {
            places_[close->endpoint.value].actor->closeIdle();
        }
    } else {
        ways_.report->say(Level::info, std::get<LogMessage>(decision).message);
    }
}

// The client hears it in its own answer while it still waits for that, else by a notice.
void ModuleActor::answered(Instant now, TextIndex text, Store::Final final, Span pause) {
    Row& row = rows_.at(text.value);
    row.over = true;
    if (ways_.report->says(Level::debug)) {
        const char* word = final == Store::Final::nacked ? " nacked" : " undeliverable";
        ways_.report->say(Level::debug, "answered: " + row.id + word + " after " +
                                            std::to_string((now - row.cameAt).inMicros() / 1000) + " of " +
                                            names_.destinations.name(row.destination));
    }
    record(now, row, final == Store::Final::nacked ? "nacked" : "undeliverable");
    if (row.reply) {
        bool nacked = final == Store::Final::nacked;
        ways_.report->add(nacked ? Count::textsRefused : Count::textsFailedAtOnce);
        row.reply->postHeld({nacked ? Reception::What::nacked : Reception::What::undeliverable, pause});
    } else {
        keep(holding(row.id).final(row.id, final, pause.inMicros()));
        whenSafe([this, id = row.id, final, pause] {
            ways_.notify({id, final == Store::Final::nacked, pause});
        });
    }
    if (!row.out) drop(text);
}

// Submits of one round to one endpoint travel together, in the order pulled, as far as its kind allows.
void ModuleActor::dispatch() {
    auto pulled = std::move(submits_);
    submits_.clear();
    std::vector<bool> gone(pulled.size());
    for (size_t i = 0; i < pulled.size(); ++i) {
        if (gone[i]) continue;
        EndpointIndex endpoint = pulled[i].first;
        KindIndex kind = endpoint.value < places_.size() ? places_[endpoint.value].kind : KindIndex();
        size_t most = kind.value < kinds_.size() ? std::max(kinds_[kind.value].batch, 1) : 1, bytes = 2;
        std::vector<TextIndex> together;
        for (size_t j = i; j < pulled.size() && together.size() < most; ++j) {
            if (gone[j] || pulled[j].first != endpoint) continue;
            bytes += bundledSize(rows_.at(pulled[j].second.value).parcel);
            if (!together.empty() && bytes > http::kMostBody) break;
            gone[j] = true;
            together.push_back(pulled[j].second);
        }
        send(endpoint, std::move(together));
    }
}

void ModuleActor::send(EndpointIndex endpoint, std::vector<TextIndex> texts) {
    Call call;
    Instant timeout = Instant::longAgo(), valid = Instant::never();
    int64_t at = unixMicros();
    std::vector<TextIndex> unsent;
    for (TextIndex ix : texts) {
        Row& row = rows_.at(ix.value);
        row.at = endpoint;
        if (row.spoilt && !row.over) lost(steadyNow(), ix);
        // What could not be written down must not leave: after a restart it would be sent again.
        if (row.over || !holding(row.id).begun(row.id, at, names_.zones.name(places_.at(endpoint.value).zone))) {
            if (!row.over) keep(false);
            unsent.push_back(ix);
            continue;
        }
        ways_.report->add(Count::submits);
        call.texts.push_back(ix), call.parcels.push_back(row.parcel);
        // A call is given up as a whole: not before the last of its time-outs, nor after any text's time.
        timeout = std::max(timeout, row.until), valid = std::min(valid, row.validUntil);
    }
    auto notSent = [&](std::vector<TextIndex> which) {
        if (which.empty()) return;
        ++callsOut_, ++places_.at(endpoint.value).out;
        ways_.inbox->postHeld(CallEnd{endpoint, std::move(which), Ending::noMeans, {}, false});
    };
    notSent(std::move(unsent));
    if (call.texts.empty()) return;
    call.until = std::min(timeout, valid);
    auto actor = actorOf(endpoint);
    auto went = call.texts;
    for (TextIndex ix : went) rows_.at(ix.value).carrier = actor;
    if (!actor) return notSent(std::move(went));
    ++callsOut_, ++places_.at(endpoint.value).out;
    auto never = [inbox = ways_.inbox, endpoint, went] {
        inbox->postHeld(CallEnd{endpoint, went, Ending::noMeans, {}, false});
    };
    whenSafe(
        [actor, never, leaving = std::make_shared<Call>(std::move(call))] {
            if (!actor->call(std::move(*leaving))) never();
        },
        never);
}

// Told to wait: what was submitted before and has not left must not leave now. A wait holds for a
// destination, or for one route where routes are separate.
void ModuleActor::holdBack(EndpointIndex endpoint) {
    const Place& told = places_.at(endpoint.value);
    bool route = told.kind.value < kinds_.size() && kinds_[told.kind.value].separateRoutes;
    for (size_t i = 0; i < places_.size(); ++i) {
        bool held = route ? i == endpoint.value : places_[i].destination == told.destination;
        if (held && places_[i].actor) places_[i].actor->holdBack();
    }
}

std::shared_ptr<EndpointActor> ModuleActor::actorOf(EndpointIndex endpoint) {
    if (endpoint.value >= places_.size()) return nullptr;
    Place& place = places_[endpoint.value];
    if (!place.actor)
        place.actor = std::make_shared<EndpointActor>(endpoint, unpacked(place.address), ways_.endpoints);
    return place.actor;
}

void ModuleActor::record(Instant now, const Row& row, const char* end) {
    if (!ways_.recording) return;
    ways_.recording->ended(unixMicros(), row.product, names_.destinations.name(row.destination), end,
                           now - row.cameAt, row.submits);
}

// A text is kept known until its last submit has ended, because ends name it until then.
void ModuleActor::drop(TextIndex text) {
    auto row = rows_.find(text.value);
    if (row == rows_.end()) return;
    texts_.erase(row->second.id);
    std::erase_if(behind_, [&](const Behind& b) { return b.arrival.text == text; });
    DestinationIndex destination = row->second.destination;
    rows_.erase(row);
    freeTexts_.push_back(text.value);
    --users_[destination.value].texts;
    leftAlone(steadyNow(), destination);
}

void ModuleActor::keep(bool written) {
    if (!written) ways_.report->add(Count::storeFailed);
    if (store_->compactions() > compactions_) ways_.report->add(Count::storeCompacted);
    compactions_ = store_->compactions();
    long damages = store_->damages();
    if (damages > damages_) ways_.report->add(Count::storeDamaged, damages - damages_);
    damages_ = damages;
}

}  // namespace petrelpond
