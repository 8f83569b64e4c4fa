#include "consensus/forward_to_owner.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
/// Nodes that each have their own, possibly wrong, view of a keyspace's owner. Calls between them are function calls.
struct Nodes {
  struct Node;
  struct View {
    Node const& node;
    bool owns(string const&) const { return node.owner == node.ip; }
  };
  struct Node {
    string ip, owner;  ///< this node, and the one it considers the owner
    bool silent = false;
    View consensus() const { return View{*this}; }
    std::optional<Address> ownerAddress(string const&) const {
      return owner.empty() ? std::nullopt : std::optional<Address>(Address{owner, 1});
    }
    Ms heartbeatPeriod() const { return Ms(5); }
  };
  struct Reply {
    string by;
    std::int64_t budgetMs = 0;
  };
  struct Message {
    using Reply = Nodes::Reply;
    int hops = 0;
    std::int64_t budgetMs = 0;
  };
  asio::io_context io;
  std::map<string, Node> nodes;
  int calls = 0;

  Task<Reply> call(Address to, Message message, Ms limit) {
    ++calls;
    if (nodes.at(to.ip).silent) {
      co_await sleepFor(limit);
      throw Error(ErrorCode::timedOut);
    }
    co_return co_await handle(to.ip, message);
  }
  Task<Reply> handle(string ip, Message message) {
    ForwardLimits const limits{Ms(10), Ms(message.budgetMs), Ms(message.budgetMs)};
    std::optional<Reply> const other = co_await forwardToOwner(nodes.at(ip), *this, ip, "k", message, limits);
    if (other) co_return *other;
    co_return Reply{ip, message.budgetMs};
  }
  /// The node that answered a call to the first node, or the status and code of the error.
  string result() {
    string text;
    asio::co_spawn(
        io,
        [&]() -> Task<void> {
          try {
            Message const message{0, 40};
            Reply const reply = co_await handle("a", message);
            text = reply.by;
            if (reply.budgetMs > 40) text = "the budget increased";
          } catch (Error const& error) {
            text = std::to_string(error.status()) + " E" + std::to_string(static_cast<int>(error.code()));
          }
        },
        asio::detached);
    io.run();
    return text;
  }
};
}  // namespace

TEST_GROUP(forwardToOwner){};

TEST(forwardToOwner, callsReachTheOwnerOrEndInTime) {
  struct {
    char const *a, *b, *c;  ///< the node that each considers the owner
    bool silent;            ///< b doesn't answer
    char const* result;
    int calls;
  } const table[] = {
      {"a", "a", "a", false, "a", 0},
      {"b", "b", "b", false, "b", 1},
      {"b", "c", "c", false, "c", 2},
      {"b", "a", "c", false, "503 E400", 2},  // each considers the other the owner
      {"b", "c", "b", false, "503 E400", 2},
      {"", "b", "b", false, "503 E400", 0},
      {"b", "b", "b", true, "502 E502", 1},  // shown to the caller as 503
  };
  for (auto const& line : table) {
    Nodes nodes;
    nodes.nodes = {{"a", {"a", line.a}}, {"b", {"b", line.b, line.silent}}, {"c", {"c", line.c}}};
    TimePoint const begin = Clock::now();
    STRCMP_EQUAL(line.result, nodes.result().c_str());
    LONGS_EQUAL(line.calls, nodes.calls);
    CHECK(Clock::now() - begin < std::chrono::seconds(1));
  }
}
