// Small files that are read whole and replaced whole.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace petrelpond::files {

// False where it can't be read, or is longer than that.
bool readWhole(const std::string& path, std::string& into, size_t most);
// By way of PATH.new, synced before it takes the name, and the folder after: there stands the old content or the new
// one, never a part, and on return the new one whatever happens. What went wrong, after which it may be either; empty:
// nothing did.
std::string replaceWhole(const std::string& path, std::string_view bytes);
// Removes it, so that no loss of power brings it back. What went wrong; empty: nothing did.
std::string removeWhole(const std::string& path);

}  // namespace petrelpond::files
