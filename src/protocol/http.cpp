#include "src/protocol/http.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace petrelpond::http {

namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool same(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

bool tokenChar(char c) {
    if ((c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z')) return true;
    return c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), tokenChar);
}

bool printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) {
        auto u = static_cast<unsigned char>(c);
        return u == '\t' || (u >= 0x20 && u != 0x7f);
    });
}

// Takes a line off the front, without its end; a bare LF ends one too.
std::string_view takeLine(std::string_view& bytes) {
    size_t end = bytes.find('\n');
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    return line;
}

Fault parse(std::string_view head, bool request, Head& out, size_t most = kMostHead,
            size_t fields = kMostFields) {
    if (head.size() > most) return Fault::headTooLong;
    std::string_view line = takeLine(head);
    size_t a = line.find(' ');
    if (a == std::string_view::npos) return Fault::malformed;
    size_t b = line.find(' ', a + 1);
    out.first = line.substr(0, a);
    out.second = line.substr(a + 1, b == std::string_view::npos ? b : b - a - 1);
    out.third = b == std::string_view::npos ? std::string_view() : line.substr(b + 1);
    std::string_view version = request ? out.third : out.first;
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return Fault::malformed;
    if (request && (!token(out.first) || out.second.empty() || !printable(out.second)))
        return Fault::malformed;
    if (!request && out.status() == 0) return Fault::malformed;
    while (!head.empty()) {
        line = takeLine(head);
        if (line.empty()) break;
        size_t colon = line.find(':');
        if (colon == std::string_view::npos || !token(line.substr(0, colon))) return Fault::malformed;
        std::string_view value = trim(line.substr(colon + 1));
        // A load report that can't be read is as absent, and spoils no answer.
        if (!printable(value) && !request && same(line.substr(0, colon), "Server-Load")) continue;
        if (!printable(value)) return Fault::malformed;
        if (out.fields.size() >= fields) return Fault::headTooLong;
        out.fields.emplace_back(line.substr(0, colon), value);
    }
    return Fault::none;
}

void writeFields(std::string& out, const Fields& fields, std::string_view body) {
    for (const auto& [name, value] : fields) out.append(name).append(": ").append(value).append("\r\n");
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

}  // namespace

std::optional<std::string_view> Head::field(std::string_view name) const {
    for (const auto& [have, value] : fields) {
        if (same(have, name)) return value;
    }
    return std::nullopt;
}

// Connection holds a list, and there may be several: `close` counts wherever it stands.
bool Head::names(std::string_view option) const {
    for (const auto& [have, value] : fields) {
        if (!same(have, "Connection")) continue;
        for (std::string_view rest = value; !rest.empty();) {
            size_t comma = rest.find(',');
            if (same(trim(rest.substr(0, comma)), option)) return true;
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    return false;
}

bool Head::closes() const {
    bool old = first == "HTTP/1.0" || third == "HTTP/1.0";
    return names("close") || (old && !names("keep-alive"));
}

int Head::status() const {
    auto number = wholeNumber(second);
    return second.size() == 3 && number && *number >= 100 && *number < 600 ? static_cast<int>(*number) : 0;
}

std::optional<size_t> headEnd(std::string_view bytes) {
    for (size_t at = bytes.find('\n'); at != std::string_view::npos; at = bytes.find('\n', at + 1)) {
        if (bytes.substr(at + 1, 1) == "\n") return at + 2;
        if (bytes.substr(at + 1, 2) == "\r\n") return at + 3;
    }
    return std::nullopt;
}

Fault parseRequest(std::string_view head, Head& out, size_t most, size_t fields) {
    return parse(head, true, out, most, fields);
}
Fault parseResponse(std::string_view head, Head& out) { return parse(head, false, out); }

Fault bodyLength(const Head& head, std::optional<size_t>& length, size_t most) {
    length.reset();
    if (head.field("Transfer-Encoding")) return Fault::malformed;
    for (const auto& [name, value] : head.fields) {
        if (!same(name, "Content-Length")) continue;
        auto number = wholeNumber(value);
        if (!number || (length && *length != *number)) return Fault::malformed;
        length = static_cast<size_t>(*number);
    }
    return length && *length > most ? Fault::bodyTooLong : Fault::none;
}

Chunks unchunk(std::string_view bytes, std::string& body, size_t& taken, std::optional<size_t> bound) {
    size_t most = bound.value_or(kMostBody);
    std::string_view rest = bytes;
    body.clear();
    while (true) {
        if (rest.find('\n') == std::string_view::npos) {
            return rest.size() > kMostHead ? Chunks::malformed : Chunks::incomplete;
        }
        std::string_view line = takeLine(rest);
        line = trim(line.substr(0, line.find(';')));
        size_t size = 0;
        auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), size, 16);
        if (line.empty() || error != std::errc() || end != line.data() + line.size())
            return Chunks::malformed;
        if (size > most || body.size() + size > most) return bound ? Chunks::tooLong : Chunks::malformed;
        if (size == 0) break;
        if (rest.size() < size + 2) return Chunks::incomplete;
        body.append(rest.substr(0, size));
        rest.remove_prefix(size);
        if (!takeLine(rest).empty()) return Chunks::malformed;
    }
    while (rest.find('\n') != std::string_view::npos) {  // trailers, up to a blank line
        if (!takeLine(rest).empty()) continue;
        taken = bytes.size() - rest.size();
        return Chunks::whole;
    }
    return Chunks::incomplete;
}

int firstLineStatus(std::string_view bytes) {
    if (bytes.find('\n') == std::string_view::npos) return 0;
    Head head;
    std::string_view line = takeLine(bytes);
    return parse(line, false, head) == Fault::none ? head.status() : 0;
}

bool mayBecomeResponse(std::string_view bytes) {
    constexpr std::string_view start = "HTTP/1.";
    size_t n = std::min(bytes.size(), start.size());
    if (bytes.size() > kMostHead || bytes.substr(0, n) != start.substr(0, n)) return false;
    size_t line = bytes.rfind('\n');
    if (line == std::string_view::npos) return true;
    Head head;
    return parse(bytes.substr(0, line + 1), false, head) == Fault::none;
}

bool mayBecomeRequest(std::string_view bytes) {
    for (std::string_view start : {"POST /", "GET /"}) {
        size_t n = std::min(bytes.size(), start.size());
        if (bytes.substr(0, n) == start.substr(0, n)) return true;
    }
    return false;
}

const char* reason(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 202:
            return "Accepted";
        case 204:
            return "No Content";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 411:
            return "Length Required";
        case 413:
            return "Content Too Large";
        case 421:
            return "Misdirected Request";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Failed";
    }
}

bool sameName(std::string_view a, std::string_view b) { return same(a, b); }

std::optional<uint64_t> wholeNumber(std::string_view text) {
    uint64_t value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::optional<double> decimal(std::string_view text) {
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> Target::parameter(std::string_view name) const {
    for (const auto& [have, value] : query) {
        if (have == name) return unescape(value, true);
    }
    return std::nullopt;
}

std::optional<Target> parseTarget(std::string_view target) {
    if (target.empty() || target.front() != '/') return std::nullopt;
    Target out;
    size_t mark = target.find('?');
    std::string_view path = target.substr(0, mark);
    while (!path.empty()) {
        path.remove_prefix(1);
        size_t slash = path.find('/');
        out.path.push_back(path.substr(0, slash));
        path = slash == std::string_view::npos ? std::string_view() : path.substr(slash);
    }
    std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!query.empty()) {
        size_t amp = query.find('&');
        std::string_view pair = query.substr(0, amp);
        query = amp == std::string_view::npos ? std::string_view() : query.substr(amp + 1);
        size_t equals = pair.find('=');
        std::string_view value = equals == std::string_view::npos ? "" : pair.substr(equals + 1);
        out.query.emplace_back(pair.substr(0, equals), value);
    }
    return out;
}

std::optional<std::string> unescape(std::string_view text, bool plusIsSpace) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+' && plusIsSpace) {
            out += ' ';
        } else if (text[i] == '%') {
            unsigned value = 0;
            std::string_view digits = text.substr(i + 1, 2);
            auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
            if (digits.size() != 2 || error != std::errc() || end != digits.data() + 2) return std::nullopt;
            out += static_cast<char>(value);
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::string writeRequest(std::string_view method, std::string_view target, std::string_view host,
                         const Fields& fields, std::string_view body) {
    std::string out;
    out.reserve(256 + body.size());
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
    writeFields(out, fields, body);
    return out;
}

std::string writeResponse(int status, const Fields& fields, std::string_view body, bool last) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
    if (last) out += "Connection: close\r\n";
    writeFields(out, fields, body);
    return out;
}

std::optional<std::string_view> part(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        size_t comma = list.find(',');
        std::string_view pair = trim(list.substr(0, comma));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
        size_t equals = pair.find('=');
        if (equals != std::string_view::npos && trim(pair.substr(0, equals)) == name) {
            return trim(pair.substr(equals + 1));
        }
    }
    return std::nullopt;
}

bool numbers(std::string_view list) {
    while (!list.empty()) {
        size_t comma = list.find(',');
        std::string_view pair = trim(list.substr(0, comma));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
        size_t equals = pair.find('=');
        if (equals == std::string_view::npos || !decimal(trim(pair.substr(equals + 1)))) return false;
    }
    return true;
}

}  // namespace petrelpond::http
