#include "src/store/events.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace petrelpond::store {

namespace {

constexpr size_t kSerialsTogether = 4096;

void putState(Writer& out, const State& s) {
    out.number(static_cast<uint64_t>(s.submits)).number((s.out ? 1u : 0u) | (s.mayHaveRun ? 2u : 0u));
    out.time(s.startedAt).time(s.firstMayHaveRun).text(s.startedIn).text(s.ranIn);
    out.number(static_cast<uint64_t>(s.final)).time(s.pause);
}
State getState(Fields& in) {
    State s;
    s.submits = static_cast<int>(in.number());
    uint64_t flags = in.number();
    s.out = flags & 1, s.mayHaveRun = flags & 2;
    s.startedAt = in.time(), s.firstMayHaveRun = in.time();
    s.startedIn = in.text(), s.ranIn = in.text();
    s.final = static_cast<Final>(in.number()), s.pause = in.time();
    return s;
}
void putEntry(Writer& out, const Entry& e) {
    out.number(e.serial).text(e.id).text(e.destination).text(e.product).text(e.mark).text(e.key);
    out.time(e.validUntil).time(e.takenAt);
}
void getEntry(Fields& in, Entry& e) {
    e.serial = in.number(), e.id = in.text(), e.destination = in.text(), e.product = in.text();
    e.mark = in.text(), e.key = in.text(), e.validUntil = in.time(), e.takenAt = in.time();
}

constexpr const char* kNames[] = {"", "log", "kept", "open"};

}  // namespace

std::string takenPayload(const Entry& e, std::string_view body) {
    Writer out('t');
    putEntry(out, e);
    return out.text(body).take();
}
std::string statePayload(uint64_t serial, const State& s) {
    Writer out('s');
    putState(out.number(serial), s);
    return out.take();
}
std::string overPayload(uint64_t serial) { return Writer('o').number(serial).take(); }
std::string entryPayload(const Entry& e) {
    Writer out('x');
    putEntry(out, e);
    putState(out, e.state);
    out.number(static_cast<uint64_t>(e.where.file.sort)).number(e.where.file.number);
    return out.number(static_cast<uint64_t>(e.where.offset)).number(e.where.bytes).take();
}
std::vector<std::string> listPayloads(const std::vector<uint64_t>& serials) {
    std::vector<std::string> parts;
    for (size_t i = 0; i < serials.size(); i += kSerialsTogether) {
        Writer out('l');
        uint64_t last = 0;
        for (size_t j = i; j < std::min(serials.size(), i + kSerialsTogether); ++j) {
            out.number(serials[j] - last), last = serials[j];
        }
        parts.push_back(out.take());
    }
    return parts;
}
std::string endPayload(uint64_t lastSequence, uint64_t nextSerial, uint64_t entries) {
    return Writer('e').number(lastSequence).number(nextSerial).number(entries).take();
}

Said read(std::string_view payload) {
    Said said;
    if (payload.empty()) return said;
    Fields in(payload.substr(1));
    Said::What what = Said::What::odd;
    switch (payload.front()) {
        case 't':
            getEntry(in, said.entry), said.body = in.text(), said.serial = said.entry.serial;
            what = Said::What::taken;
            break;
        case 's':
            said.serial = in.number(), said.state = getState(in), what = Said::What::state;
            break;
        case 'o':
            said.serial = in.number(), what = Said::What::over;
            break;
        case 'x': {
            getEntry(in, said.entry);
            Entry& e = said.entry;
            e.state = getState(in), said.serial = e.serial;
            e.where.file.sort = static_cast<Sort>(in.number());
            e.where.file.number = static_cast<uint32_t>(in.number());
            e.where.offset = static_cast<int64_t>(in.number());
            e.where.bytes = static_cast<uint32_t>(in.number());
            what = Said::What::entry;
            break;
        }
        case 'l':
            for (uint64_t last = 0; in.fine() && !in.atEnd();) said.serials.push_back(last += in.number());
            what = Said::What::list;
            break;
        case 'e':
            said.end.lastSequence = in.number(), said.end.nextSerial = in.number();
            said.end.entries = in.number(), what = Said::What::end;
            break;
        default:
            break;
    }
    if (in.fine() && in.atEnd()) said.what = what;
    return said;
}

std::string nameOf(FileId file) {
    char name[32];
    snprintf(name, sizeof name, "%s-%08u", kNames[static_cast<uint32_t>(file.sort) & 3], file.number);
    return name;
}
std::optional<FileId> fileNamed(const std::string& name) {
    for (Sort sort : {Sort::log, Sort::kept, Sort::snapshot}) {
        FileId id{sort, 0};
        std::string front = std::string(kNames[static_cast<uint32_t>(sort)]) + "-";
        if (!name.starts_with(front) || name.size() != front.size() + 8) continue;
        id.number = static_cast<uint32_t>(strtoul(name.c_str() + front.size(), nullptr, 10));
        if (nameOf(id) == name) return id;
    }
    return std::nullopt;
}

}  // namespace petrelpond::store
