// What came back on a connection to an instance: whose answer it is, what it says of the request, and whether
// the connection may carry another one. Bytes in, a conclusion out; no sockets, no clock.
//
// The table that this follows stands in docs/control-safety.md. A connection carries one request at a time.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "system/network/http_answer.hpp"
#include "system/proxy/dispatch.hpp"

namespace petrelpond::proxy {

// The request that is under way on the connection.
struct Expected {
    std::string_view attemptId;
    bool repeatable = false;
    bool toHead = false;  // it is a HEAD: no body follows
};

struct Conclusion {
    Ending how = Ending::broken;
    std::unique_ptr<network::HttpAnswer> answer;  // ours, whole; null where nothing of ours came
    bool keep = false;                            // the connection may carry another request
    bool spoilt = false;                          // counted: what came can't be passed on
    std::optional<Span> keepAlive;                // as the instance told, less a margin
};

// Defects for the tests alone: the model has to find each of them.
enum class ReadingDefect {
    none,
    trustsEveryId,         // takes any answer for the one that is due
    keepsAfterExcess,      // uses a connection on which more came than one answer
    takesCutAnswers,       // takes a close for the end of a body
    believesEveryRefusal,  // 503 without the instance's word that it has not run passes for a promise
};

// Of one connection.
class AnswerReading {
  public:
    explicit AnswerReading(size_t mostBody, ReadingDefect defect = ReadingDefect::none)
        : mostBody_(mostBody), defect_(defect) {}

    // Takes answers off the front of `in`. Nothing: more has to come. `ended`: no more will.
    std::optional<Conclusion> read(std::string& in, bool ended, const Expected& expected);
    // Bytes came while no request was under way, or an answer in excess was met: it must carry no other
    // request.
    bool spoilt() const { return spoilt_; }
    uint64_t excess() const { return excess_; }  // answers, or ends of bytes, that belonged to nobody

  private:
    Ending classify(const network::HttpAnswer&, const Expected&) const;

    size_t mostBody_;
    ReadingDefect defect_;
    bool spoilt_ = false;
    uint64_t excess_ = 0;
};

}  // namespace petrelpond::proxy
