// `petrelpond store …`: looks at the folder of a sender that has ended, or tidies it.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace petrelpond {

// Exit codes: 0 all can be read; 1 damage was found; 2 wrong words, or no such folder; 3 a format that this
// program does not know, or a folder in use.
int storeTool(const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

// `petrelpond standby`: keeps a copy of a sender's store until it is promoted or ended. The same codes.
int standbyProgram(const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

}  // namespace petrelpond
