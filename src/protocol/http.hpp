// HTTP/1.1 as this protocol uses it: bounded heads, bodies by Content-Length. Pure: bytes in, words out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace petrelpond::http {

constexpr size_t kMostHead = 16 * 1024;
constexpr size_t kMostBody = 64 * 1024;
constexpr size_t kMostFields = 64;

// Views into the bytes that were parsed.
struct Head {
    std::string_view first, second, third;  // method, target, version; or version, status, reason
    std::vector<std::pair<std::string_view, std::string_view>> fields;

    std::optional<std::string_view> field(std::string_view name) const;  // names compare without case
    bool names(std::string_view option) const;  // whether Connection lists it
    bool closes() const;                        // whether it says that it is the last
    int status() const;   // of a response; 0 if it is none
};

// Where the head ends (one past its blank line), or nothing while it is not whole.
std::optional<size_t> headEnd(std::string_view bytes);

enum class Fault { none, malformed, headTooLong, bodyTooLong };
// Parses a whole head, up to headEnd().
Fault parseRequest(std::string_view head, Head& out, size_t most = kMostHead, size_t fields = kMostFields);
Fault parseResponse(std::string_view head, Head& out);
// The body's length: absent where none is told. Several that differ, odd ones and other codings are faults.
Fault bodyLength(const Head& head, std::optional<size_t>& length, size_t most = kMostBody);
// A body in chunks: decodes it, and tells how many bytes it took once it is whole. Only answers come so.
enum class Chunks { incomplete, malformed, whole, tooLong };  // tooLong: over `most`, where that was given
Chunks unchunk(std::string_view bytes, std::string& body, size_t& taken, std::optional<size_t> most = {});
// Whether a response's first line stands whole in bytes that broke off, and its status.
int firstLineStatus(std::string_view bytes);
// Whether bytes without a whole head can still become one, so that noise is not waited on.
bool mayBecomeResponse(std::string_view bytes);
// Whether these bytes, perhaps none, begin a request of a method that is served here.
bool mayBecomeRequest(std::string_view bytes);

const char* reason(int status);  // "Failed" for one that nobody here says
bool sameName(std::string_view a, std::string_view b);  // without case
std::optional<uint64_t> wholeNumber(std::string_view text);
std::optional<double> decimal(std::string_view text);

struct Target {
    std::vector<std::string_view> path;  // its parts, still escaped
    std::vector<std::pair<std::string_view, std::string_view>> query;
    std::optional<std::string> parameter(std::string_view name) const;  // unescaped
};
std::optional<Target> parseTarget(std::string_view target);
std::optional<std::string> unescape(std::string_view text, bool plusIsSpace);

using Fields = std::vector<std::pair<std::string_view, std::string>>;
std::string writeRequest(std::string_view method, std::string_view target, std::string_view host,
                         const Fields& fields, std::string_view body);
std::string writeResponse(int status, const Fields& fields, std::string_view body, bool last);

// name=value parts set apart by commas, as in `Server-Load` and `Envelope`.
std::optional<std::string_view> part(std::string_view list, std::string_view name);
bool numbers(std::string_view list);  // whether each part is a name and a decimal

}  // namespace petrelpond::http
