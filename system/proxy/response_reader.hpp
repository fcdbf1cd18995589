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
struct ExpectedResponse {
    std::string_view attemptId;
    bool isIdempotent = false;
    bool isHeadRequest = false;  // it is a HEAD: no body follows
};

struct ReadResult {
    AttemptOutcome outcome = AttemptOutcome::connectionBroken;
    std::unique_ptr<network::HttpAnswer> response;  // ours, whole; null where nothing of ours came
    bool isReusable = false;                        // the connection may carry another request
    bool isInvalid = false;                         // counted: what came can't be passed on
    std::optional<Span> keepAlive;                  // as the instance told, less a margin
};

// Defects for the tests alone: the model has to find each of them.
enum class ReaderDefect {
    none,
    acceptsAnyId,                 // takes any answer for the one that is due
    reusesAfterExcess,            // uses a connection on which more came than one answer
    acceptsTruncated,             // takes a close for the end of a body
    acceptsUnconfirmedRejection,  // 503 without the instance's word that it has not run passes for a promise
};

// Of one connection.
class ResponseReader {
  public:
    explicit ResponseReader(size_t maxBodyBytes, ReaderDefect defect = ReaderDefect::none)
        : maxBodyBytes_(maxBodyBytes), defect_(defect) {}

    // Takes answers off the front of `in`. Nothing: more has to come. `isClosed`: no more will.
    std::optional<ReadResult> read(std::string& in, bool isClosed, const ExpectedResponse& expected);
    // Bytes came while no request was under way, or an answer in excess was met: it must carry no other
    // request.
    bool mustClose() const { return mustClose_; }
    uint64_t excessCount() const {
        return excessCount_;
    }  // answers, or ends of bytes, that belonged to nobody

  private:
    AttemptOutcome classify(const network::HttpAnswer&, const ExpectedResponse&) const;

    size_t maxBodyBytes_;
    ReaderDefect defect_;
    bool mustClose_ = false;
    uint64_t excessCount_ = 0;
};

}  // namespace petrelpond::proxy
