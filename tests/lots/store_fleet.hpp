#pragma once
#include "control/control_node.hpp"
#include "lots/store_node.hpp"
#include "tests/wire/loopback.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>

/// A real control node and several real stores with small disks, on loopback.
namespace tealshelf {

/// Each store has its own event loop, so that halting it simulates a loss of power. There are no workers, so no item
/// finishes.
class StoreFleet {
 public:
  StoreFleet(string folder, std::size_t stores, std::int64_t survive, int firstPort)
      : folder_(std::move(folder)), firstPort_(firstPort), survive_(survive) {
    std::filesystem::remove_all(folder_);
    controlSettings_ = settingsOf("control", 0);
    control_ = std::make_unique<ControlNode>(io_, controlSettings_);
    control_->start();
    for (std::size_t index = 0; index < stores; ++index) {
      stores_.push_back(std::make_unique<Store>());
      stores_.back()->settings = settingsOf("store-" + std::to_string(index), index + 1);
      stores_.back()->node = std::make_unique<StoreNode>(stores_.back()->io, stores_.back()->settings);
      stores_.back()->node->start();
    }
  }

  static string host() { return "shop.example"; }

  /// Submits a lot with one item of a given size, as an edge node does. Returns 0 once it is accepted, else the error
  /// code.
  int submit(string const& id, std::size_t bytes) { return submitFor("", id, bytes, 0); }
  /// The same for a tenant with a limit of queued tokens; 0 means no limit.
  int submitFor(string const& tenant, string const& id, std::size_t bytes, std::uint64_t maxQueuedTokens) {
    return submitTo({"night", "/night/"}, tenant, id, bytes, maxQueuedTokens);
  }
  /// A route of `host()` that lots are submitted to. Without a prefix it is one as edge nodes of older releases tell
  /// it.
  struct LotRoute {
    string name, prefix;
  };
  int submitTo(LotRoute const& route, string const& tenant, string const& id, std::size_t bytes,
               std::uint64_t maxQueuedTokens) {
    string const items = serialize(vector<ItemRecord>{{"item-" + id, "/night/x", string(bytes, 'b'), {}, 10}});
    OpenLot open;
    open.lot.id = id;
    open.lot.host = host();
    open.lot.route = route.name;
    open.lot.routePrefix = route.prefix;
    open.lot.itemCount = 1;
    open.lot.tokens = 10;
    open.lot.keepForMs = 60000;
    open.lot.dueInMs = 30000;
    open.lot.tenant = tenant;
    open.maxQueuedTokens = maxQueuedTokens;
    open.itemBytes = items.size();
    std::pair<int, OpenLotReply> const opened = ask(controlAddress(), open);
    if (opened.first) return opened.first;
    if (opened.second.alreadyAccepted) return 0;
    LotRecord const& record = opened.second.lot;
    int const created = ask(record.holders.at(0).address, CreateReplica{record, items, {}, true}).first;
    if (created) return created;
    return ask(controlAddress(), AcceptLot{host(), id, record.stamp, 0}).first;
  }
  /// The coordinator's record of a lot, if it knows the lot.
  std::optional<LotRecord> find(string const& id) {
    std::pair<int, FindLotReply> const reply = ask(controlAddress(), FindLot{host(), id, 0});
    if (reply.first || !reply.second.known) return std::nullopt;
    return reply.second.lot;
  }
  /// True if the lot's primary answers a read.
  bool isReadable(string const& id) {
    std::optional<LotRecord> const lot = find(id);
    if (!lot || lot->holders.empty()) return false;
    ReadResults const read{host(), id, lot->stamp, 0, 1u << 20, 0};
    return ask(lot->holders[0].address, read).first == 0;
  }

  void halt(std::size_t store) { stores_[store]->halted = true; }
  void resume(std::size_t store) { stores_[store]->halted = false; }
  /// Restarts a store at once with an empty disk, which makes it another store of the same name.
  void replaceDisk(std::size_t store) {
    Settings const settings = stores_[store]->settings;
    stores_[store].reset();
    std::filesystem::remove_all(settings.dataFolder);
    std::filesystem::create_directories(settings.dataFolder);
    stores_[store] = std::make_unique<Store>();
    stores_[store]->settings = settings;
    stores_[store]->node = std::make_unique<StoreNode>(stores_[store]->io, stores_[store]->settings);
    stores_[store]->node->start();
  }
  Address controlAddress() const { return controlSettings_.controlAddress(controlSettings_.ip); }
  StoreNode& store(std::size_t index) { return *stores_[index]->node; }

  /// Runs all event loops until a condition holds; false if it doesn't within the limit.
  bool runUntil(std::function<bool()> const& holds, Ms limit) {
    TimePoint const end = Clock::now() + limit;
    while (!holds()) {
      if (Clock::now() > end) return false;
      runOnce();
    }
    return true;
  }
  /// Fills a store with a replica for a host that no coordinator owns, so that it is never deleted; false if it was
  /// refused. With a higher stamp it may grow past the limit, as replicas of open lots may.
  bool putFiller(std::size_t store, std::size_t bytes, std::uint64_t stamp = 1, string const& id = "filler") {
    LotRecord lot;
    lot.host = "filler.example";
    lot.id = id;
    lot.state = LotState::ended;
    lot.stamp = GenerationStamp(stamp);
    string const items = serialize(vector<ItemRecord>{{"item", "/x", string(bytes, 'f'), {}, 1}});
    Settings const& holder = stores_.at(store)->settings;
    return ask(holder.storeAddress(holder.ip), CreateReplica{lot, items, {}, false}).first == 0;
  }
  /// Error code and reply of a call; the code is 0 on success.
  template <class Request>
  std::pair<int, typename Request::Reply> ask(Address const& to, Request const& request) {
    std::shared_ptr<std::pair<int, typename Request::Reply>> const answer = startCall(to, request);
    runUntil([answer] { return answer->first >= 0; }, 4 * controlSettings_.bounds.inTouch);
    return *answer;
  }
  /// The same without waiting; the code is negative until the reply is there.
  template <class Request>
  std::shared_ptr<std::pair<int, typename Request::Reply>> startCall(Address const& to, Request const& request) {
    using Answer = std::pair<int, typename Request::Reply>;
    std::shared_ptr<Answer> const answer = std::make_shared<Answer>(-1, typename Request::Reply());
    asio::co_spawn(io_, rpc_.call(to, request, controlSettings_.bounds.inTouch / 2),
                   [answer](std::exception_ptr failure, typename Request::Reply reply) {
                     answer->second = std::move(reply);
                     answer->first = 0;
                     try {
                       if (failure) std::rethrow_exception(failure);
                     } catch (Error const& error) {
                       answer->first = static_cast<int>(error.code());
                     }
                   });
    return answer;
  }

 private:
  struct Store {
    asio::io_context io{1};
    Settings settings;
    std::unique_ptr<StoreNode> node;
    bool halted = false;
  };

  /// Differs by process, as test groups run in parallel.
  static string ipOf(std::size_t number) {
    string const own = loopbackOfThisProcess();
    return "127." + std::to_string(40 + number) + own.substr(own.find('.', own.find('.') + 1));
  }
  Settings settingsOf(string const& name, std::size_t number) const {
    Settings settings;
    settings.nodeName = name;
    settings.ip = ipOf(number);
    settings.zone = "zone-" + std::to_string(number % 3);
    settings.firstInternalPort = firstPort_;
    settings.control = {settings.ip, firstPort_ + 8};
    settings.seeds = {{ipOf(0), firstPort_ + 8}};
    settings.firstBoot = true;
    settings.reportEvery = Ms(20000);
    settings.bounds.inTouch = Ms(2400);
    settings.bounds.step = Ms(40);
    settings.surviveMachines = survive_;
    settings.diskMb = 8;
    settings.dataFolder = folder_ + "/" + name;
    std::filesystem::create_directories(settings.dataFolder);
    return settings;
  }
  void runOnce() {
    io_.restart();
    io_.run_one_for(Ms(1));
    io_.poll();
    for (std::unique_ptr<Store> const& store : stores_) {
      if (store->halted) continue;
      store->io.restart();
      store->io.poll();
    }
  }

  string folder_;
  int firstPort_;
  std::int64_t survive_;
  asio::io_context io_{1};
  Settings controlSettings_;
  std::unique_ptr<ControlNode> control_;
  vector<std::unique_ptr<Store>> stores_;
  RpcClient rpc_{io_, Ms(1200)};
};

}  // namespace tealshelf
