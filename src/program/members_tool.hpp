// `petrelpond members`: the crew as one sender sees it, and where the views of several differ. It asks the
// operators' addresses.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace petrelpond {

// 0: shown, and alike where that is asked; 1: the views differ, or a sender gave none; 2: wrong words.
int membersTool(const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

}  // namespace petrelpond
