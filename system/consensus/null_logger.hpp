// A LevelDB logger that discards everything: LevelDB's info log would cost writes and add a file beside the
// database.
#pragma once

#include <leveldb/env.h>

#include <cstdarg>

namespace petrelpond::consensus {

class NullLogger final : public leveldb::Logger {
  public:
    void Logv(const char*, std::va_list) override {}
};

}  // namespace petrelpond::consensus
