#include "system/cli/changes.hpp"

#include <gtest/gtest.h>

namespace petrelpond::cli {
namespace {

std::string route(const std::string& name, const std::string& rest) {
    return R"({"name":")" + name + R"(","host_name":"h.example","path_prefix":"/)" + name +
           R"(/","route_type":"idempotent",)" + rest + "}";
}
std::string whole(int version, const std::string& routes, const std::string& services,
                  const std::string& more = "") {
    return R"({"config_version":)" + std::to_string(version) + R"(,"route_table":[)" + routes +
           R"(],"service_table":[)" + services + "]" + more + "}";
}
std::shared_ptr<const configuration::Configuration> read(const std::string& text) {
    auto got = configuration::readConfiguration(text);
    if (auto* problem = std::get_if<network::Problem>(&got)) ADD_FAILURE() << problem->line();
    return std::get<0>(got);
}

const std::string kA = R"({"name":"a","max_connections":5})", kB = R"({"name":"b","max_connections":5})";

TEST(Mistakes, EachWithItsPath) {
    auto got =
        configuration::readConfiguration(whole(1,
                                               route("r", R"("timeout_ms":0,"service":"no; such one")") +
                                                   "," + route("r", R"("timeout_ms":5,"service":"a")"),
                                               kA));
    auto all = mistakesOf(std::get<network::Problem>(got));
    ASSERT_EQ(all.size(), 4u);
    EXPECT_EQ(all[0].path, "/route_table/0/timeout_ms");
    EXPECT_EQ(all[0].what, "must be above 0");
    EXPECT_EQ(all[1].path, "/route_table/0/service");
    EXPECT_EQ(all[1].what, "names the unknown service no; such one");  // a name with our own divider in it
    EXPECT_EQ(all[2].path, "/route_table/1/name");
    EXPECT_EQ(all[3].path, "/route_table/1");
    EXPECT_EQ(mistakesOf(std::get<network::Problem>(configuration::readConfiguration("{"))).size(), 1u);
}

TEST(Changes, FieldByField) {
    auto from = read(whole(3,
                           route("gone", R"("timeout_ms":100,"service":"a")") + "," +
                               route("kept", R"("timeout_ms":100,"service":"a")") + "," +
                               route("moved", R"("timeout_ms":100,"service":"a","max_attempts":2)"),
                           kA));
    auto to =
        read(whole(7,
                   route("moved", R"("timeout_ms":250.5,"service_weights":{"a":1,"b":3},"max_attempts":2)") +
                       "," + route("kept", R"("timeout_ms":100,"service":"a")") + "," +
                       route("came", R"("timeout_ms":100,"service":"b")"),
                   kA + "," + kB, R"(,"limits":{"max_body_bytes":1000})"));
    EXPECT_EQ(changesText(from.get(), *to),
              "version 3 -> 7\n"
              "~ limits\n"
              "    max_body_bytes: 262144 -> 1000\n"
              "+ route came: host_name=h.example path_prefix=/came/ route_type=idempotent timeout_ms=100 "
              "target_latency_ms=100 priority=2 max_attempts=1 service=b\n"
              "- route gone: host_name=h.example path_prefix=/gone/ route_type=idempotent timeout_ms=100 "
              "target_latency_ms=100 priority=2 max_attempts=1 service=a\n"
              "~ route moved\n"
              "    timeout_ms: 100 -> 250.5\n"
              "    target_latency_ms: 100 -> 250.5\n"
              "    service: a -> a x 1 + b x 3\n"
              "+ service b: health_path=null max_connections=5 memory_mb=128 boot_ms=1000 max_concurrency=1\n"
              "2 added, 1 removed, 2 changed\n");
    EXPECT_NE(changesJson(from.get(), *to)
                  .find(R"({"how":"changed","kind":"limits","name":"","fields":)"
                        R"([{"field":"max_body_bytes","from":"262144","to":"1000"}]})"),
              std::string::npos);
    EXPECT_EQ(changesText(nullptr, *read(whole(1, "", kA))),
              "version none -> 1\n"
              "+ service a: health_path=null max_connections=5 memory_mb=128 boot_ms=1000 max_concurrency=1\n"
              "1 added, 0 removed, 0 changed\n");
}

TEST(Changes, TextsThatSayTheSameAreToldApartInWords) {
    auto one = read(whole(1, "", kA)), other = read(whole(1, "", kA) + " ");
    EXPECT_NE(changesText(one.get(), *other).find("differ only in what is not read"), std::string::npos);
    EXPECT_EQ(changesText(one.get(), *one).find("differ"), std::string::npos);
}

}  // namespace
}  // namespace petrelpond::cli
