#include "wire/rpc_traffic.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

TEST_GROUP(rpcTraffic) {
  Metrics metrics;
  RpcTraffic traffic{metrics};
};

TEST(rpcTraffic, countsByDirectionKindAndZone) {
  traffic.count(TrafficDirection::sent, RpcMethod::heartbeat, "a", 100);
  traffic.count(TrafficDirection::sent, RpcMethod::heartbeat, "a", 50);
  traffic.count(TrafficDirection::received, RpcMethod::updates, "", 7);
  string const text = metrics.text();
  CHECK(text.find("tealshelf_rpc_bytes_total{direction=\"sent\",kind=\"heartbeat\",peer_zone=\"a\"} 150") !=
        string::npos);
  CHECK(text.find("tealshelf_rpc_messages_total{direction=\"sent\",kind=\"heartbeat\",peer_zone=\"a\"} 2") !=
        string::npos);
  CHECK(text.find("tealshelf_rpc_bytes_total{direction=\"received\",kind=\"updates\",peer_zone=\"unknown\"} 7") !=
        string::npos);
}

TEST(rpcTraffic, aSummaryListsTheCountsSinceTheLastLargestFirst) {
  traffic.count(TrafficDirection::sent, RpcMethod::heartbeat, "a", 10);
  traffic.count(TrafficDirection::sent, RpcMethod::updates, "b", 99);
  STRCMP_EQUAL("in 5 s: sent updates b 1 of 99 B; sent heartbeat a 1 of 10 B;", traffic.summary(5).c_str());
  STRCMP_EQUAL("", traffic.summary(5).c_str());
  traffic.count(TrafficDirection::sent, RpcMethod::heartbeat, "a", 3);
  STRCMP_EQUAL("in 5 s: sent heartbeat a 1 of 3 B;", traffic.summary(5).c_str());
}

TEST(rpcTraffic, unknownKindsAndZonesOfPeersAreBounded) {
  for (int number = 0; number < 5000; ++number) {
    traffic.count(TrafficDirection::received, static_cast<RpcMethod>(1000 + number), "z", 1);
    traffic.count(TrafficDirection::received, RpcMethod::updates, "z" + std::to_string(number), 1);
  }
  string const text = metrics.text();
  std::size_t series = 0;
  for (std::size_t at = text.find("tealshelf_rpc_bytes_total{"); at != string::npos;
       at = text.find("tealshelf_rpc_bytes_total{", at + 1))
    ++series;
  CHECK(series <= 2049);
}

TEST(rpcTraffic, everyKindInUseHasAName) {
  for (RpcMethod const method : {RpcMethod::consensusMessages, RpcMethod::compareRegistry, RpcMethod::confirmReplicas})
    CHECK(nameOf(method) != "unknown");
  CHECK(nameOf(RpcMethod()) == "unknown");
}
