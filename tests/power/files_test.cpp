// Small files that the sender tells others of: what a loss of power may take back of them.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <cstdlib>

#include "src/files/whole.hpp"
#include "src/replica/standby.hpp"
#include "tests/power/recorded_disk.hpp"

using namespace petrelpond;
namespace fs = std::filesystem;

namespace {

struct Folder {
    fs::path root;
    Folder() {
        std::string name = (fs::temp_directory_path() / "files-XXXXXX").string();
        root = mkdtemp(name.data());
    }
    ~Folder() { fs::remove_all(root); }
};

// holds(moment, folder): whether what is left after a loss of power is at least what was told by then.
template <typename Holds>
void tryAll(RecordedDisk& recorded, const fs::path& left, const Holds& holds) {
    std::mt19937 random(1);
    for (const DiskMoment& moment : recorded.moments()) {
        for (const PowerLoss& loss : RecordedDisk::losses(moment, 64, random)) {
            recorded.leave(moment, loss, left);
            CHECK(holds(moment, left));
        }
    }
}

}  // namespace

TEST_CASE("a file that was replaced whole stays so when power is lost") {
    Folder folder;
    RecordedDisk recorded(folder.root / "disk");
    const std::string path = folder.root / "disk" / "orders";
    for (uint64_t content = 1; content <= 3; ++content) {
        REQUIRE(files::replaceWhole(path, std::to_string(content)).empty());
        recorded.told(content);
    }
    tryAll(recorded, folder.root / "left", [](const DiskMoment& moment, const fs::path& left) {
        std::string read;
        files::readWhole(left / "orders", read, 100);
        return moment.told == 0 || std::strtoull(read.c_str(), nullptr, 10) >= moment.told;
    });
}

TEST_CASE("a standby's mark is what it was last said to be when power is lost") {
    Folder folder;
    RecordedDisk recorded(folder.root / "disk");
    const fs::path disk = folder.root / "disk";
    REQUIRE(replica::mark(disk, false));
    recorded.told(1);
    REQUIRE(replica::mark(disk, true));
    recorded.told(2);
    REQUIRE(replica::unmark(disk));
    recorded.told(3);
    tryAll(recorded, folder.root / "left", [](const DiskMoment& moment, const fs::path& left) {
        const auto marked = replica::marked(left);
        if (moment.told == 3) return !marked.has_value();
        if (moment.told == 2) return !marked.has_value() || *marked;  // perhaps unmarked by now
        return moment.told == 0 || marked.has_value();
    });
}
