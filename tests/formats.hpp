#pragma once
#include "base/log_format.hpp"
#include "configuration/change_history.hpp"
#include "consensus/control_messages.hpp"
#include "control/messages.hpp"
#include "duties/duty_lease.hpp"
#include "duties/usage_ledger.hpp"
#include "fleet/evacuation.hpp"
#include "lots/messages.hpp"
#include "segments/replica_table.hpp"
#include "tallies/tally_messages.hpp"
#include "tallies/tally_records.hpp"
#include "tenants/messages.hpp"
#include "updates/messages.hpp"
#include "wire/frames.hpp"

#include <CppUTest/TestHarness.h>

/// Helpers of the format tests: hex conversion, and sample values for records and messages.
namespace tealshelf::formats {

inline string toHex(string_view bytes) {
  string text;
  for (char const c : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned>(static_cast<unsigned char>(c)));
    text += digits;
  }
  return text;
}

inline string fromHex(string const& text) {
  string bytes;
  for (std::size_t i = 0; i < text.size(); i += 2)
    bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  return bytes;
}

/// Checks that a value serializes to the bytes, and that the bytes survive deserializing and serializing.
template <class T>
void expectBytes(string const& bytes, T const& value) {
  STRCMP_EQUAL(bytes.c_str(), toHex(serialize(value)).c_str());
  STRCMP_EQUAL(bytes.c_str(), toHex(serialize(deserialize<T>(fromHex(bytes)))).c_str());
}

/// Checks that bytes of an older release deserialize to a value whose newer fields have their defaults.
template <class T>
void expectReads(string const& olderBytes, T const& value) {
  STRCMP_EQUAL(toHex(serialize(value)).c_str(), toHex(serialize(deserialize<T>(fromHex(olderBytes)))).c_str());
}

inline Entries const entries{{"a", Entry{{3, NodeId(11)}, 5, "v", false}}, {"b", Entry{{3, NodeId(11)}, 6, "", true}}};
inline Member const founder{NodeId(1), "n1", "10.0.0.1", "z1", true, true, 0};
inline Member const newcomer{NodeId(2), "n2", "10.0.0.2", "z2", false, true, 44};

inline Message message(MessageBody body) {
  return Message{MembershipNumber(7), NodeId(11), NodeId(12), "k", Epoch{3, NodeId(11)}, std::move(body)};
}

inline Membership membership() {
  return Membership{MembershipNumber(2), {founder, newcomer}, {founder}};
}

inline Heartbeat heartbeat() {
  return Heartbeat{founder,  MembershipNumber(2),         true,
                   {5, 600}, {Echo{NodeId(2), {6, 700}}}, {KeyspaceProgress{"k", {3, NodeId(1)}, 6, 5, true}}};
}

inline StoreRef store() {
  return StoreRef{NodeId(9), "st", "z", {"10.0.0.9", 7661}};
}

inline LotRecord lot() {
  LotRecord record;
  record.id = "lot";
  record.host = "h";
  record.route = "r";
  record.service = "s";
  record.tokens = 40;
  record.itemCount = 2;
  record.tries = 3;
  record.submittedAtMs = 1000;
  record.keepForMs = 60000;
  record.dueInMs = 8000;
  record.state = LotState::accepted;
  record.stamp = GenerationStamp(5);
  record.holders = {store()};
  return record;
}

inline Worker worker() {
  Worker w;
  w.id = "i-1";
  w.service = "s";
  w.zone = "z";
  w.version = "v";
  w.address = {"10.0.0.1", 80};
  w.capacity = 4;
  w.heartbeatSequence = 7;
  w.draining = true;
  w.warmupLeftMs = 3;
  w.registrar = NodeId(1);
  w.ejected = true;
  w.ejectionRevision = 2;
  return w;
}

inline DataNode dataNode() {
  return DataNode{"n", "z", "edge", {"10.0.0.1", 7662}, 300, 0, 0};
}

inline UpdateRequest updateRequest() {
  UpdateRequest request;
  request.self = dataNode();
  request.holdMs = 5;
  request.isFirst = true;
  request.configurationVersion = 1;
  request.commonDigest = 2;
  request.zoneDigest = 3;
  request.nodesDigest = 4;
  request.carriesNodes = true;
  request.nodes = {dataNode()};
  request.tallies = {{"i", 1, 2}};
  request.isIntroduction = true;
  return request;
}

inline void expectRecords(vector<string> const& expected, vector<string> const& records) {
  LONGS_EQUAL(expected.size(), records.size());
  for (std::size_t i = 0; i < records.size(); ++i) STRCMP_EQUAL(expected[i].c_str(), toHex(records[i]).c_str());
}

}  // namespace tealshelf::formats
