// Base64 with padding, for bodies inside JSON.
#pragma once

#include <string>
#include <string_view>

namespace petrelpond {

inline std::string base64(std::string_view bytes) {
    static constexpr char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    out.reserve((bytes.size() + 2) / 3 * 4);
    for (size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (size_t j = 0; j < 3; ++j) {
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
        }
        for (size_t j = 0; j < 4; ++j) {
            out += j <= bytes.size() - i ? letters[group >> (18 - 6 * j) & 63] : '=';
        }
    }
    return out;
}

}  // namespace petrelpond
