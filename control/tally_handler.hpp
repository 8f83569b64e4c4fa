#pragma once
#include "control/tally_forwarder.hpp"

namespace tealshelf {

/// A change that a caller adds to a tally.
struct TallyAddition {
  string serverId;
  std::int64_t changedBy = 0;
};
/// Parses the body of an addition: an object with `serverId`, 1 to 128 bytes, and `changedBy`, an integer from -2^53 to
/// 2^53. Throws ErrorCode::badAddition for anything else.
TallyAddition readAddition(string const& body);

/// Path prefix of tallies.
constexpr string_view tallyPath = "/tallies/";

/// Handles `/tallies/ID`: applications add to tallies and read them, on both sides of a network partition. A node that
/// isn't a member, is still catching up, or lacks what it acknowledged as either forwards the call to a member.
class TallyHandler {
 public:
  TallyHandler(Settings const& settings, RpcClient& rpc, Consensus const& consensus, TallyStore& store);
  Task<CallReply> handle(ForwardedCall call);

 private:
  Task<CallReply> add(string tally, ForwardedCall call);
  Task<CallReply> read(string tally, ForwardedCall call);
  /// True if the own table may answer a read.
  bool canAnswer(ForwardedCall const& call);

  Settings const& settings_;
  TallyStore& store_;
  TallyForwarder forwarder_;
};

}  // namespace tealshelf
