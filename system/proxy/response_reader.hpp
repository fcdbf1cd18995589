// Reads the responses on a connection to an instance: which request a response belongs to, what it means for
// that request, and whether the connection may carry another one. Takes bytes and returns a result; uses no
// sockets and no clock.
//
// docs/control-safety.md has the table of cases that this implements. A connection carries one request at a
// time.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "system/network/http_answer.hpp"
#include "system/proxy/dispatch.hpp"

namespace petrelpond::proxy {

// The request in flight on the connection.
struct ExpectedResponse {
    std::string_view attemptId;
    bool isIdempotent = false;
    bool isHeadRequest = false;  // no body follows a HEAD response
};

struct ReadResult {
    AttemptOutcome outcome = AttemptOutcome::connectionBroken;
    std::unique_ptr<network::HttpAnswer> response;  // complete; null if there is none to this request
    bool isReusable = false;                        // the connection may carry another request
    bool isInvalid = false;                         // the bytes cannot be forwarded; counted
    std::optional<Span> keepAlive;                  // idle time announced by the instance, less a margin
};

// Deliberate defects for tests only: the model test has to detect each of them.
enum class ReaderDefect {
    none,
    acceptsAnyId,                 // takes any response as the expected one
    reusesAfterExcess,            // reuses a connection that delivered more than one response
    acceptsTruncated,             // takes a close as the end of a body
    acceptsUnconfirmedRejection,  // takes a 503 without X-Not-Executed as not executed
};

// Reads the responses of one connection.
class ResponseReader {
  public:
    explicit ResponseReader(size_t maxBodyBytes, ReaderDefect defect = ReaderDefect::none)
        : maxBodyBytes_(maxBodyBytes), defect_(defect) {}

    // Removes complete responses from the front of `in`. Returns nothing while more bytes are needed.
    // `isClosed`: no more will come.
    std::optional<ReadResult> read(std::string& in, bool isClosed, const ExpectedResponse& expected);
    // Whether unexpected bytes or an excess response were received, so that the connection must not carry
    // another request.
    bool mustClose() const { return mustClose_; }
    uint64_t excessCount() const {
        return excessCount_;
    }  // responses or trailing bytes that belong to no request

  private:
    AttemptOutcome classify(const network::HttpAnswer&, const ExpectedResponse&) const;

    size_t maxBodyBytes_;
    ReaderDefect defect_;
    bool mustClose_ = false;
    uint64_t excessCount_ = 0;
};

}  // namespace petrelpond::proxy
