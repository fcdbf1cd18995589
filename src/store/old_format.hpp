// The one file of records in which texts were kept before there were segments; read once, at the upgrade.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/store/events.hpp"

namespace petrelpond::store {

constexpr const char* kOldName = "texts";

struct OldText {
    Entry entry;
    std::string body;
};
struct OldImage {
    std::vector<OldText> open;  // by serial
    int64_t spoilt = 0;         // bytes passed over between records that could be read
    int64_t torn = 0;           // bytes at the end that are no whole record
};
OldImage readOld(std::string_view bytes);

}  // namespace petrelpond::store
