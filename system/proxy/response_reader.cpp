#include "system/proxy/response_reader.hpp"

namespace petrelpond::proxy {

using network::HttpAnswer;
using network::Reading;

namespace {

// An instance closes a connection that is idle for the announced time. A request sent shortly before that may
// cross the close.
const Span kKeepAliveMargin = Span::millis(300);

std::optional<Span> parseKeepAlive(const http::Head& head) {
    const auto field = head.field("Keep-Alive");
    if (!field) return {};
    const size_t at = field->find("timeout=");
    if (at == std::string_view::npos) return {};
    std::string_view digits = field->substr(at + 8);
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    const auto seconds = http::wholeNumber(digits);
    if (!seconds) return {};
    return std::max(Span(), Span::seconds(static_cast<double>(*seconds)) - kKeepAliveMargin);
}

}  // namespace

AttemptOutcome ResponseReader::classify(const HttpAnswer& answer, const ExpectedResponse& expected) const {
    const int status = answer.status;
    const bool refuses = status == 429 || status == 503 || status == 408;
    // Without an attempt id the response, and its X-Not-Executed, may belong to another request while ours is
    // executing.
    if (!answer.head.field("X-Attempt-Id") && defect_ != ReaderDefect::acceptsAnyId)
        return AttemptOutcome::connectionBroken;
    if (status == 421) return AttemptOutcome::misdirected;
    if (answer.head.field("X-Not-Executed")) return AttemptOutcome::notExecuted;
    if (refuses && defect_ == ReaderDefect::acceptsUnconfirmedRejection) return AttemptOutcome::notExecuted;
    if (status >= 200 && status < 300) {
        const bool whole = answer.head.field("X-Endpoint-Seal") && !answer.head.field("Content-Encoding");
        return whole ? AttemptOutcome::answered
                     : AttemptOutcome::connectionBroken;  // otherwise the body is not the instance's own
    }
    // Without X-Not-Executed the request may have executed. Forwarding the status to a client that may send
    // it only once would wrongly tell it that the request has not been executed.
    if (refuses && !expected.isIdempotent) return AttemptOutcome::connectionBroken;
    if (status >= 500 || refuses) return AttemptOutcome::serverError;
    return AttemptOutcome::answered;
}

std::optional<ReadResult> ResponseReader::read(std::string& in, bool isClosed,
                                               const ExpectedResponse& expected) {
    while (true) {
        ReadResult out;
        auto answer = std::make_unique<HttpAnswer>();
        Reading reading = network::takeAnswer(in, isClosed, maxBodyBytes_, *answer, expected.isHeadRequest);
        if (reading == Reading::malformed && isClosed && defect_ == ReaderDefect::acceptsTruncated &&
            http::headEnd(in)) {
            answer->raw = in.substr(0, *http::headEnd(in));
            http::parseResponse(answer->raw, answer->head);
            answer->body = in.substr(answer->raw.size());
            answer->status = answer->head.status();
            in.clear();
            reading = Reading::whole;
        }
        if (reading == Reading::incomplete) return {};
        if (reading == Reading::malformed) {
            in.clear();
            mustClose_ = out.isInvalid = true;
            return out;
        }
        const auto id = answer->head.field("X-Attempt-Id");
        if (id && *id != expected.attemptId && defect_ != ReaderDefect::acceptsAnyId) {
            // An excess response to an earlier request, received in place of ours, is discarded. Our response
            // is still to come; the connection is closed after it.
            ++excessCount_;
            mustClose_ = true;
            if (!in.empty()) continue;
            if (!isClosed) return {};
            out.isInvalid = true;
            return out;
        }
        out.outcome = classify(*answer, expected);
        out.isInvalid = out.outcome == AttemptOutcome::connectionBroken;
        if (!in.empty()) {
            ++excessCount_;
            mustClose_ = true;
        }
        const bool clean = !mustClose_ || defect_ == ReaderDefect::reusesAfterExcess;
        out.isReusable =
            clean && !answer->closes && !isClosed && out.outcome != AttemptOutcome::connectionBroken;
        out.keepAlive = parseKeepAlive(answer->head);
        out.response = std::move(answer);
        return out;
    }
}

}  // namespace petrelpond::proxy
