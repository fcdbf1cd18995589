#include "simhost/host.hpp"

#include <algorithm>
#include <istream>
#include <ostream>
#include <stdexcept>

#include "petrelpond/pull.hpp"

namespace petrelpond {

bool Host::take(std::string_view text) {
    ++lineNumber_;
    wire::Line line(text);
    if (sheetRows_ > 0) {
        if (line.tag() != "M") throw Malformed("expected an M line of the list");
        SheetRow row;
        row.endpoint = line.text("endpoint");
        row.site = line.has("site") ? line.text("site") : "";
        row.model = line.has("model") ? line.text("model") : "";
        row.dest = line.text("dest");
        row.state =
            named<ListState>(line.text("condition"),
                          {{"active", ListState::active}, {"leaving", ListState::draining}, {"left", ListState::removed}});
        row.rate = line.numberOr("weight", 0);
        sheets_[sheetOpen_].push_back(std::move(row));
        --sheetRows_;
        return false;
    }
    if (!inBatch_) {
        if (line.tag() != "CLOCK") throw Malformed("a batch starts with CLOCK");
        now_ = Instant::atMicros(line.integer("moment"));
        inBatch_ = true;
        return false;
    }
    if (line.tag() == "GO") {
        reply();
        inBatch_ = false;
        return true;
    }
    event(line);
    return false;
}

void Host::event(const wire::Line& line) {
    if (line.tag() == "SHEET") {
        sheetOpen_ = line.integer("rosterId");
        sheetRows_ = line.integer("rowsIn");
        if (sheetOpen_ < 0 || sheetOpen_ > 15) throw Malformed("rosterId lies outside 0 to 15");
        if (sheetRows_ < 0) throw Malformed("rowsIn is below 0");
        sheets_[sheetOpen_].clear();
        return;
    }
    int64_t who = line.integer("who");
    if (std::find(touched_.begin(), touched_.end(), who) == touched_.end()) touched_.push_back(who);
    if (line.tag() == "OPEN_INSTANCE") return open(who, line);
    if (line.tag() == "KILL") {
        instances_.erase(who);
        broken_.erase(who);
        return;
    }
    auto found = instances_.find(who);
    if (found == instances_.end()) return complain("event for a sender that is not running");
    Instance& in = found->second;
    try {
        if (line.tag() == "ARRIVAL") {
            arrival(in, line);
        } else if (line.tag() == "CLOSED_ATTEMPT") {
            outcome(in, line);
        } else if (line.tag() == "FLEET") {
            fleet(in, line);
        } else if (line.tag() == "WAKE") {
            in.sender->onTimer(now_);
        } else if (line.tag() == "CANCELLED_BY_CLIENT") {
            auto text = in.texts.find(std::string(line.text("rid")));
            if (text == in.texts.end()) return;
            TextIndex index = text->second;
            in.sender->onWithdrawn(now_, index);
            in.rows[index.value].over = true;
            forgetIfDone(in, index);
        } else if (line.tag() == "ACK_FIRST" || line.tag() == "HEALTH" || line.tag() == "DATAGRAM") {
            // Streams, probes and messages between senders have no part in the interface.
        } else {
            throw Malformed("unknown event " + std::string(line.tag().substr(0, 40)));
        }
    } catch (const Malformed&) {
        throw;
    } catch (const std::exception& failure) {
        broken_[who] = failure.what();
    }
}

void Host::open(int64_t who, const wire::Line& line) {
    instances_.erase(who);
    broken_.erase(who);
    Instance& in = instances_[who];
    Settings set;
    for (const auto& [path, value] : line.fields()) set.add(std::string(path), std::string(value));
    in.reports = readReportFields(set);
    uint64_t seed = set.text("entropy").empty() ? 0 : toUnsigned("entropy", set.text("entropy"));
    in.sender = seat(readSender(set, seed, in.names));
}

void Host::arrival(Instance& in, const wire::Line& line) {
    std::string id(line.text("rid"));
    auto [at, fresh] = in.texts.try_emplace(id, TextIndex(in.nextText));
    if (!fresh) return complain("text " + id + " came twice");
    Arrival a;
    a.text = at->second;
    in.rows[in.nextText++].id = id;
    a.destination = in.names.destinations.intern(line.text("destNo"));
    a.product = in.names.products.find(line.text("priority"));
    if (!a.product.isKnown()) complain("text " + id + " is of an unknown product");
    a.validUntil = Instant::atMicros(line.integer("deadline"));
    if (line.has("entity")) a.key = line.unsignedInteger("entity");
    in.sender->onArrival(now_, a);
}

void Host::outcome(Instance& in, const wire::Line& line) {
    SubmitResult e;
    e.status = named<SubmitStatus>(line.text("code"), {{"OK", SubmitStatus::delivered},
                                           {"INTERNAL", SubmitStatus::error},
                                           {"RESOURCE_EXHAUSTED", SubmitStatus::overloaded},
                                           {"DEADLINE_EXCEEDED", SubmitStatus::timeout},
                                           {"UNAVAILABLE", SubmitStatus::unreachable},
                                           {"ABORTED", SubmitStatus::reset},
                                           {"CANCELLED", SubmitStatus::cancelled},
                                           {"TOO_LATE", SubmitStatus::notSent}});
    e.isFinal = line.integerOr("closed", 0) != 0;
    for (const char* unused : {"trial", "waitTime"}) line.integerOr(unused, 0);  // malformed ones are told
    if (e.status == SubmitStatus::overloaded) e.retryAfter = Span::millis(line.integerOr("waitMs", 0));
    if (line.has("telemetry")) {
        auto row = splitList(line.text("telemetry"));
        auto field = [&](int i) -> std::optional<double> {
            if (i < 0 || static_cast<size_t>(i) >= row.size() || row[i].empty()) return std::nullopt;
            return toNumber("telemetry", row[i]);
        };
        e.reportedLimit = field(in.reports.limit), e.reportedRemaining = field(in.reports.left);
    }
    e.endpoint = in.names.endpoints.find(line.text("endpoint"));
    if (!e.endpoint.isKnown()) complain("outcome at an unknown endpoint");
    auto text = in.texts.find(std::string(line.text("rid")));
    if (text == in.texts.end()) return complain("outcome of an unknown text");
    e.text = text->second;
    TextRow& row = in.rows[e.text.value];
    row.open -= row.open > 0;
    row.over = row.over || e.isFinal;
    in.sender->onSubmitResult(now_, e);
    forgetIfDone(in, e.text);
}

void Host::fleet(Instance& in, const wire::Line& line) {
    std::string_view scope = line.text("scope");
    if (scope == "Error") return in.sender->onEndpointListFailed(now_);
    ListScope how = named<ListScope>(
        scope,
        {{"Partial", ListScope::changes}, {"Complete", ListScope::complete}, {"Persisted", ListScope::cached}});
    int64_t sheet = line.integer("rosterId");
    if (sheet < 0 || sheet > 15) throw Malformed("rosterId lies outside 0 to 15");
    std::vector<ListEntry> entries;
    for (const SheetRow& row : sheets_[sheet]) {
        entries.push_back({in.names.endpoints.intern(row.endpoint), in.names.destinations.intern(row.dest),
                           in.names.zones.intern(row.site), in.names.kinds.intern(row.model), row.state,
                           row.rate});
    }
    in.sender->onEndpointList(now_, how, entries);
}

void Host::reply() {
    for (int64_t who : touched_) {
        auto found = instances_.find(who);
        if (found == instances_.end()) continue;
        try {
            if (broken_.count(who) == 0) {
                auto each = [&](const Decision& decision) { write(who, found->second, decision); };
                if (!pullDecisions(*found->second.sender, now_, kMaxDecisionsPerInstant, each))
                    throw std::runtime_error("decisions without end at one instant");
            }
        } catch (const std::exception& failure) {
            broken_[who] = failure.what();
        }
        auto broken = broken_.find(who);
        if (broken != broken_.end()) out_ << "GIVE_IN who=" << who << " what=" << broken->second << '\n';
    }
    touched_.clear();
    out_ << "OK\n" << std::flush;
}

void Host::write(int64_t who, Instance& in, const Decision& decision) {
    auto rid = [&](TextIndex text) -> TextRow& { return in.rows.at(text.value); };
    if (const auto* submit = std::get_if<Submit>(&decision)) {
        TextRow& row = rid(submit->text);
        ++row.submits;
        ++row.open;
        out_ << "SEND who=" << who << " rid=" << row.id
             << " endpoint=" << in.names.endpoints.name(submit->endpoint);
        if (submit->timeout > Span()) out_ << " cap=" << submit->timeout.inMicros();
    } else if (const auto* nack = std::get_if<Nack>(&decision)) {
        out_ << "REFUSE who=" << who << " rid=" << rid(nack->text).id;
        if (nack->pause > Span()) out_ << " pause=" << nack->pause.inMicros();
        rid(nack->text).over = true;
        forgetIfDone(in, nack->text);
    } else if (const auto* failed = std::get_if<Undeliverable>(&decision)) {
        out_ << "END_FAILED who=" << who << " rid=" << rid(failed->text).id;
        rid(failed->text).over = true;
        forgetIfDone(in, failed->text);
    } else if (const auto* cancel = std::get_if<CancelSubmit>(&decision)) {
        out_ << "ABORT_ATTEMPT who=" << who << " rid=" << rid(cancel->text).id << " trial=" << cancel->submit;
    } else if (const auto* wake = std::get_if<WakeAt>(&decision)) {
        out_ << "NOTIFY_ME who=" << who << " time=" << wake->at.inMicros() << " name=0";
    } else if (std::holds_alternative<SubscribeToList>(decision)) {
        out_ << "KEEP_INFORMED who=" << who << " enable=1";
    } else if (const auto* close = std::get_if<CloseIdleConnections>(&decision)) {
        out_ << "CLOSE_IDLE who=" << who << " endpoint=" << in.names.endpoints.name(close->endpoint);
    } else {
        out_ << "NOTE_DOWN who=" << who << " what=" << std::get<LogMessage>(decision).message;
    }
    out_ << '\n';
}

// A text is kept known until its last submit has ended, because outcomes name it until then.
void Host::forgetIfDone(Instance& in, TextIndex text) {
    auto row = in.rows.find(text.value);
    if (row == in.rows.end() || !row->second.over || row->second.open > 0) return;
    in.texts.erase(row->second.id);
    in.rows.erase(row);
}

void Host::complain(const std::string& words) {
    complaints_ << "petrelpond_simhost: line " << lineNumber_ << ": " << words << '\n';
}

int serve(std::istream& in, std::ostream& out, std::ostream& complaints) {
    Host host(out, complaints);
    std::string text;
    for (int64_t number = 1; std::getline(in, text); ++number) {
        try {
            host.take(text);
        } catch (const Malformed& wrong) {
            complaints << "petrelpond_simhost: line " << number << ": " << wrong.what() << '\n';
            return 2;
        }
    }
    return 0;
}

}  // namespace petrelpond
