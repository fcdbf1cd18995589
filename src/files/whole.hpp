// Small files that are read whole and replaced whole.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace petrelpond::files {

// False where it can't be read, or is longer than that.
bool readWhole(const std::string& path, std::string& into, size_t most);
// By way of PATH.new, synced before it takes the name: there stands the old content or the new one, never a part.
// What went wrong; empty: nothing did.
std::string replaceWhole(const std::string& path, std::string_view bytes);

}  // namespace petrelpond::files
