// A folder's files, as the store needs them: the real ones, or simulated ones that lose and tear what was not
// synced.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace petrelpond::store {

enum class Trouble { none, full, broken };  // full: no room, or none for us; broken: anything else

constexpr int64_t kBlock = 512;  // what a disk writes whole, and what files are counted in

class File {
  public:
    virtual ~File() = default;
    // Bytes read, fewer only at the end of the file; -1 where it can't be read.
    virtual int64_t read(int64_t at, char* to, size_t bytes) const = 0;
    // After trouble any number of the bytes may stand at the file's end.
    virtual Trouble append(std::string_view bytes) = 0;
    // False is final: what was written before may be gone, whatever a later sync says.
    virtual bool sync() = 0;
    virtual bool cut(int64_t bytes) = 0;
    virtual int64_t size() const = 0;
};

class Disk {
  public:
    virtual ~Disk() = default;
    virtual std::vector<std::string> list() = 0;
    virtual std::unique_ptr<File> open(const std::string& name) = 0;  // for reading; null: can't be
    virtual std::unique_ptr<File> create(const std::string& name, Trouble& trouble) = 0;  // empty
    virtual bool rename(const std::string& from, const std::string& to) = 0;
    virtual bool remove(const std::string& name) = 0;
    virtual bool syncFolder() = 0;
    // A file that takes so many bytes and holds nothing; grown or shrunk where it is there. 0: none.
    virtual bool setAside(const std::string& name, int64_t bytes) = 0;
};

// Held for as long as it lives; null where another process has it, or there is no folder.
std::unique_ptr<Disk> realDisk(const std::string& folder, bool writing, std::string& problem);

}  // namespace petrelpond::store
