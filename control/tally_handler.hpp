#pragma once
#include "consensus/consensus.hpp"
#include "control/messages.hpp"
#include "tallies/tally_store.hpp"

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
/// isn't a member, or is still catching up, forwards the call to a member.
class TallyHandler {
 public:
  TallyHandler(Settings const& settings, RpcClient& rpc, Consensus const& consensus, TallyStore& store);
  Task<CallReply> handle(ForwardedCall call);

 private:
  /// Tries one member after the other, those of this node's zone first.
  Task<CallReply> forwardToMember(ForwardedCall call);

  Settings const& settings_;
  RpcClient& rpc_;
  Consensus const& consensus_;
  TallyStore& store_;
};

}  // namespace tealshelf
