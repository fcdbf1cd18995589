#include "src/replica/stream.hpp"

#include "src/store/record.hpp"

namespace petrelpond::replica {

namespace {

constexpr size_t kHead = 12;  // four bytes of length, eight of check sum
constexpr std::string_view kKnown = "HWRBrEAPpK";

uint64_t get(std::string_view bytes, size_t at, size_t count) {
    uint64_t n = 0;
    for (size_t i = 0; i < count; ++i)
        n |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    return n;
}

}  // namespace

std::string encode(const Frame& f) {
    std::string inside =
        store::Writer(static_cast<char>(f.what)).number(f.number).number(f.second).text(f.payload).take();
    std::string out;
    uint64_t check = store::checkSum(inside);
    for (size_t i = 0; i < 4; ++i) out += static_cast<char>(inside.size() >> (8 * i));
    for (size_t i = 0; i < 8; ++i) out += static_cast<char>(check >> (8 * i));
    return out + inside;
}

std::optional<Frame> Frames::next() {
    if (at_ > 0 && (at_ == buffer_.size() || at_ > 256 * 1024)) buffer_.erase(0, at_), at_ = 0;
    std::string_view rest = std::string_view(buffer_).substr(at_);
    if (odd_ || rest.size() < kHead) return std::nullopt;
    size_t length = get(rest, 0, 4);
    if (length == 0 || length > kMostFrame) return odd_ = true, std::nullopt;
    if (rest.size() < kHead + length) return std::nullopt;
    std::string_view inside = rest.substr(kHead, length);
    store::Fields in(inside.substr(1));
    Frame f;
    f.what = static_cast<Frame::What>(inside.front());
    f.number = in.number(), f.second = in.number(), f.payload = in.text();
    bool fine = get(rest, 4, 8) == store::checkSum(inside) && in.fine() && in.atEnd() &&
                kKnown.find(inside.front()) != std::string_view::npos;
    if (!fine) return odd_ = true, std::nullopt;
    at_ += kHead + length;
    return f;
}

}  // namespace petrelpond::replica
