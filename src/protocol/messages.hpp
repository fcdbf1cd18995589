// The protocol's own messages, over HTTP and JSON: what clients hand in, calls to endpoints and their
// answers, discovery's lists and the notices to the platform.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "petrelpond/time.hpp"
#include "src/protocol/http.hpp"
#include "src/protocol/json.hpp"
#include "src/protocol/settings.hpp"

namespace petrelpond {

// ---- clients

constexpr size_t kMostId = 128;

struct Handed {  // a text as a client hands it in
    std::string id, product, destination;
    Span validity;
    std::string mark;  // what a destination knows a repeat by; empty: none
    std::string key;   // of those that go in order; empty: none
};
// Nothing where it is not in the agreed form.
std::optional<Handed> readHanded(const http::Head& head);
std::string retryAfter(Span pause);  // seconds, as a decimal

// ---- endpoints

struct Parcel {  // one text of a call
    std::string id, mark;
    std::shared_ptr<const std::string> body;
};
// How many bytes a text takes in a call of several, so that the call's body stays within bounds.
size_t bundledSize(const Parcel& parcel);
std::string writeCall(std::string_view host, const std::vector<Parcel>& parcels, Span timeout);

// What an answer says of one text, in the protocol's own terms.
enum class Verdict { delivered, error, turnedAway, notSent, over };
struct Answer {
    std::vector<Verdict> verdicts;  // in the order of the parcels
    Span wait;
    std::optional<double> limit, left;
};
// A load report's fields with the limit and with the share of it that is left; empty for none.
struct ReportNames {
    std::string limit, left;
};
// Nothing where the answer can't be read.
std::optional<Answer> readAnswer(const http::Head& head, std::string_view body,
                                 const std::vector<Parcel>& parcels, const ReportNames& names);

// ---- discovery

struct Member {
    std::string id, address, zone, kind, destination;
    ListState state = ListState::active;
    double rate = 0;
};
struct MemberList {
    int64_t revision = 0;
    bool whole = false;
    std::vector<Member> members;
};
std::string writeWatch(std::string_view host, std::optional<int64_t> after, Span wait);
std::optional<MemberList> readMembers(const json::Value& value);
std::optional<MemberList> readMembers(std::string_view body);

// ---- notices

struct Notice {
    std::string id;
    bool nacked = false;  // else undeliverable
    Span pause;
};
std::string writeNotices(std::string_view host, const std::vector<Notice>& notices);

// ---- settings as nested JSON

void flatten(const json::Value& value, Settings& set);

}  // namespace petrelpond
