#include "system/network/http_answer.hpp"

namespace petrelpond::network {

Reading takeAnswer(std::string& in, bool ended, size_t mostBody, HttpAnswer& out, bool toHead) {
    for (int interim = 0; interim < 8; ++interim) {
        auto end = http::headEnd(in);
        if (!end) {
            if (ended || !http::mayBecomeResponse(in)) return Reading::malformed;
            return Reading::incomplete;
        }
        http::Head head;
        if (http::parseResponse(std::string_view(in).substr(0, *end), head) != http::Fault::none)
            return Reading::malformed;
        int status = head.status();
        if (status < 200) {
            if (status == 101) return Reading::malformed;
            in.erase(0, *end);
            continue;
        }
        size_t taken = 0;
        std::string body;
        bool bodiless = toHead || status == 204 || status == 304;
        if (bodiless) {
            // Nothing to take. Waited for, the body that is told would be taken from the next answer.
        } else if (auto coding = head.field("Transfer-Encoding")) {
            if (!http::sameName(*coding, "chunked") || head.field("Content-Length"))
                return Reading::malformed;
            http::Chunks found = http::unchunk(std::string_view(in).substr(*end), body, taken, mostBody);
            if (found == http::Chunks::malformed || found == http::Chunks::tooLong) return Reading::malformed;
            if (found == http::Chunks::incomplete) return ended ? Reading::malformed : Reading::incomplete;
        } else {
            std::optional<size_t> length;
            if (http::bodyLength(head, length, mostBody) != http::Fault::none) return Reading::malformed;
            if (!length) return Reading::malformed;
            taken = *length;
            if (in.size() < *end + taken) return ended ? Reading::malformed : Reading::incomplete;
            body = in.substr(*end, taken);
        }
        out.raw = in.substr(0, *end);
        out.head = http::Head();
        http::parseResponse(out.raw, out.head);
        out.body = std::move(body);
        out.status = status, out.bodiless = bodiless;
        out.closes = out.head.closes();
        in.erase(0, *end + taken);
        return Reading::whole;
    }
    return Reading::malformed;
}

}  // namespace petrelpond::network
