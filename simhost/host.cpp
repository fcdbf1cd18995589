#include "simhost/host.hpp"

#include <algorithm>
#include <istream>
#include <ostream>
#include <stdexcept>

#include "petrelpond/pull.hpp"

namespace petrelpond {

bool Host::handleLine(std::string_view text) {
    ++lineNumber_;
    wire::Line line(text);
    if (listRowsLeft_ > 0) {
        if (line.tag() != "M") throw Malformed("expected an M line of the list");
        ListRow row;
        row.endpoint = line.text("endpoint");
        row.site = line.has("site") ? line.text("site") : "";
        row.model = line.has("model") ? line.text("model") : "";
        row.dest = line.text("dest");
        row.state =
            named<ListState>(line.text("condition"),
                          {{"active", ListState::active},
                           {"leaving", ListState::draining},
                           {"left", ListState::removed}});
        row.rate = line.numberOr("weight", 0);
        lists_[openList_].push_back(std::move(row));
        --listRowsLeft_;
        return false;
    }
    if (!inBatch_) {
        if (line.tag() != "CLOCK") throw Malformed("a batch starts with CLOCK");
        now_ = Instant::atMicros(line.integer("moment"));
        inBatch_ = true;
        return false;
    }
    if (line.tag() == "GO") {
        writeReply();
        inBatch_ = false;
        return true;
    }
    handleEvent(line);
    return false;
}

void Host::handleEvent(const wire::Line& line) {
    if (line.tag() == "SHEET") {
        openList_ = line.integer("rosterId");
        listRowsLeft_ = line.integer("rowsIn");
        if (openList_ < 0 || openList_ > 15) throw Malformed("rosterId lies outside 0 to 15");
        if (listRowsLeft_ < 0) throw Malformed("rowsIn is below 0");
        lists_[openList_].clear();
        return;
    }
    int64_t who = line.integer("who");
    if (std::find(activeSenders_.begin(), activeSenders_.end(), who) == activeSenders_.end())
        activeSenders_.push_back(who);
    if (line.tag() == "OPEN_INSTANCE") return openInstance(who, line);
    if (line.tag() == "KILL") {
        instances_.erase(who);
        failures_.erase(who);
        return;
    }
    auto found = instances_.find(who);
    if (found == instances_.end()) return warn("event for a sender that is not running");
    Instance& in = found->second;
    try {
        if (line.tag() == "ARRIVAL") {
            handleArrival(in, line);
        } else if (line.tag() == "CLOSED_ATTEMPT") {
            handleResult(in, line);
        } else if (line.tag() == "FLEET") {
            handleEndpointList(in, line);
        } else if (line.tag() == "WAKE") {
            in.sender->onTimer(now_);
        } else if (line.tag() == "CANCELLED_BY_CLIENT") {
            auto text = in.texts.find(std::string(line.text("rid")));
            if (text == in.texts.end()) return;
            TextIndex index = text->second;
            in.sender->onWithdrawn(now_, index);
            in.rows[index.value].over = true;
            removeIfDone(in, index);
        } else if (line.tag() == "ACK_FIRST" || line.tag() == "HEALTH" || line.tag() == "DATAGRAM") {
            // The Sender interface has no streams, probes or messages between senders.
        } else {
            throw Malformed("unknown event " + std::string(line.tag().substr(0, 40)));
        }
    } catch (const Malformed&) {
        throw;
    } catch (const std::exception& failure) {
        failures_[who] = failure.what();
    }
}

void Host::openInstance(int64_t who, const wire::Line& line) {
    instances_.erase(who);
    failures_.erase(who);
    Instance& in = instances_[who];
    Settings set;
    for (const auto& [path, value] : line.fields()) set.add(std::string(path), std::string(value));
    in.reports = readReportFields(set);
    uint64_t seed = set.text("entropy").empty() ? 0 : toUnsigned("entropy", set.text("entropy"));
    in.sender = wrapSender(readSender(set, seed, in.names));
}

void Host::handleArrival(Instance& in, const wire::Line& line) {
    std::string id(line.text("rid"));
    auto [at, fresh] = in.texts.try_emplace(id, TextIndex(in.nextText));
    if (!fresh) return warn("text " + id + " came twice");
    Arrival a;
    a.text = at->second;
    in.rows[in.nextText++].id = id;
    a.destination = in.names.destinations.intern(line.text("destNo"));
    a.product = in.names.products.find(line.text("priority"));
    if (!a.product.isKnown()) warn("text " + id + " is of an unknown product");
    a.validUntil = Instant::atMicros(line.integer("deadline"));
    if (line.has("entity")) a.key = line.unsignedInteger("entity");
    in.sender->onArrival(now_, a);
}

void Host::handleResult(Instance& in, const wire::Line& line) {
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
    for (const char* unused : {"trial", "waitTime"}) line.integerOr(unused, 0);  // unused, but must be well-formed
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
    if (!e.endpoint.isKnown()) warn("outcome at an unknown endpoint");
    auto text = in.texts.find(std::string(line.text("rid")));
    if (text == in.texts.end()) return warn("outcome of an unknown text");
    e.text = text->second;
    TextRow& row = in.rows[e.text.value];
    row.open -= row.open > 0;
    row.over = row.over || e.isFinal;
    in.sender->onSubmitResult(now_, e);
    removeIfDone(in, e.text);
}

void Host::handleEndpointList(Instance& in, const wire::Line& line) {
    std::string_view scope = line.text("scope");
    if (scope == "Error") return in.sender->onEndpointListFailed(now_);
    ListScope how = named<ListScope>(
        scope,
        {{"Partial", ListScope::changes}, {"Complete", ListScope::complete}, {"Persisted", ListScope::cached}});
    int64_t sheet = line.integer("rosterId");
    if (sheet < 0 || sheet > 15) throw Malformed("rosterId lies outside 0 to 15");
    std::vector<ListEntry> entries;
    for (const ListRow& row : lists_[sheet]) {
        entries.push_back({in.names.endpoints.intern(row.endpoint), in.names.destinations.intern(row.dest),
                           in.names.zones.intern(row.site), in.names.kinds.intern(row.model), row.state,
                           row.rate});
    }
    in.sender->onEndpointList(now_, how, entries);
}

void Host::writeReply() {
    for (int64_t who : activeSenders_) {
        auto found = instances_.find(who);
        if (found == instances_.end()) continue;
        try {
            if (failures_.count(who) == 0) {
                auto each = [&](const Decision& decision) { writeDecision(who, found->second, decision); };
                if (!pullDecisions(*found->second.sender, now_, kMaxDecisionsPerInstant, each))
                    throw std::runtime_error("decisions without end at one instant");
            }
        } catch (const std::exception& failure) {
            failures_[who] = failure.what();
        }
        auto broken = failures_.find(who);
        if (broken != failures_.end()) out_ << "GIVE_IN who=" << who << " what=" << broken->second << '\n';
    }
    activeSenders_.clear();
    out_ << "OK\n" << std::flush;
}

void Host::writeDecision(int64_t who, Instance& in, const Decision& decision) {
    auto rowOf = [&](TextIndex text) -> TextRow& { return in.rows.at(text.value); };
    if (const auto* submit = std::get_if<Submit>(&decision)) {
        TextRow& row = rowOf(submit->text);
        ++row.submits;
        ++row.open;
        out_ << "SEND who=" << who << " rid=" << row.id
             << " endpoint=" << in.names.endpoints.name(submit->endpoint);
        if (submit->timeout > Span()) out_ << " cap=" << submit->timeout.inMicros();
    } else if (const auto* nack = std::get_if<Nack>(&decision)) {
        out_ << "REFUSE who=" << who << " rid=" << rowOf(nack->text).id;
        if (nack->pause > Span()) out_ << " pause=" << nack->pause.inMicros();
        rowOf(nack->text).over = true;
        removeIfDone(in, nack->text);
    } else if (const auto* failed = std::get_if<Undeliverable>(&decision)) {
        out_ << "END_FAILED who=" << who << " rid=" << rowOf(failed->text).id;
        rowOf(failed->text).over = true;
        removeIfDone(in, failed->text);
    } else if (const auto* cancel = std::get_if<CancelSubmit>(&decision)) {
        out_ << "ABORT_ATTEMPT who=" << who << " rid=" << rowOf(cancel->text).id << " trial=" << cancel->submit;
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

// Keeps a text's id until its last submit has ended, because results refer to it until then.
void Host::removeIfDone(Instance& in, TextIndex text) {
    auto row = in.rows.find(text.value);
    if (row == in.rows.end() || !row->second.over || row->second.open > 0) return;
    in.texts.erase(row->second.id);
    in.rows.erase(row);
}

void Host::warn(const std::string& words) {
    errors_ << "petrelpond_simhost: line " << lineNumber_ << ": " << words << '\n';
}

int serve(std::istream& in, std::ostream& out, std::ostream& errors) {
    Host host(out, errors);
    std::string text;
    for (int64_t number = 1; std::getline(in, text); ++number) {
        try {
            host.handleLine(text);
        } catch (const Malformed& wrong) {
            errors << "petrelpond_simhost: line " << number << ": " << wrong.what() << '\n';
            return 2;
        }
    }
    return 0;
}

}  // namespace petrelpond
