#include "tests/wire/loopback.hpp"
#include "updates/fleet_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr int viewControlPort = 17438;

/// The view of a data-plane node during a rollout, and a control node that collects the tallies that it reports.
struct ReportingView {
  ReportingView()
      : rpc(io, settings.bounds.inTouch / 2),
        control(io, settings.controlAddress(settings.ip), settings.bounds.inTouch),
        publisher(io, settings, 0),
        view(io, settings, rpc, "edge", {settings.ip, 17437}),
        relay(io, {settings.ip, 17437}, settings.bounds.inTouch) {
    rollout.service = "app";
    rollout.target = "v2";
    rollout.order = 4;
    rollout.revision = 4;
    publisher.proof = [] { return UpdatePublisher::Proof{true, 0, Clock::now()}; };
    publisher.setConfiguration(1, configuration);
    publisher.common.put(string(rolloutRowPrefix) + rollout.service, serialize(rollout));
    control.on<UpdateRequest>([this](UpdateRequest request) {
      evidence.add(request.versionTallies);
      return publisher.serve(std::move(request));
    });
    control.start();
    view.start(relay);
    CHECK(runUntil([this] { return view.activeRollout("app") != nullptr; }));
  }
  static Settings makeSettings() {
    Settings made;
    made.nodeName = "e-1";
    made.ip = loopbackOfThisProcess();
    made.zone = "z";
    made.firstInternalPort = 17430;
    made.seeds = {{made.ip, viewControlPort}};
    made.bounds.inTouch = Ms(400);
    return made;
  }
  bool runUntil(std::function<bool()> const& condition) {
    TimePoint const end = Clock::now() + Ms(4000);
    while (!condition() && Clock::now() < end) {
      io.restart();
      io.run_one_for(Ms(5));
    }
    return condition();
  }
  /// Counts answered requests of a route at a version; all take the same time.
  void answer(Route const& route, string const& version, int count, double latencyMs) {
    for (int request = 0; request < count; ++request) tally(route, version, outcomeTally(true, latencyMs));
  }
  void fail(Route const& route, string const& version, int count) {
    for (int request = 0; request < count; ++request) tally(route, version, outcomeTally(false, std::nullopt));
  }
  void tally(Route const& route, string const& version, VersionTally const& outcome) {
    Worker worker;
    worker.service = "app";
    worker.version = version;
    view.tallyVersion(worker, route, outcome);
    succeededOrFailed += 1;
  }
  /// The judgement of the control plane once all outcomes have been reported.
  VersionJudgement judgement() {
    CHECK(runUntil([this] {
      std::uint64_t received = 0;
      for (VersionTally const& tally : evidence.all()) received += tally.succeeded + tally.failed;
      return received == succeededOrFailed;
    }));
    return judgeVersion(rollout, evidence.all());
  }
  Route const& route(string const& host) const { return *view.configuration()->findRoute(host, "/x/1"); }

  string const configuration =
      "{\"version\":1,\"routes\":[{\"name\":\"x\",\"host\":\"a.example\",\"pathStart\":\"/x/\",\"kind\":\"one_shot\","
      "\"timeLimitMs\":900,\"service\":\"app\"},{\"name\":\"x\",\"host\":\"b.example\",\"pathStart\":\"/x/\",\"kind\":"
      "\"one_shot\",\"timeLimitMs\":900,\"service\":\"app\"}],\"services\":[{\"name\":\"app\"}],\"limits\":{}}";
  asio::io_context io{1};
  Settings settings = makeSettings();
  RpcClient rpc;
  RpcServer control;
  UpdatePublisher publisher;
  FleetView view;
  RpcServer relay;
  RolloutRecord rollout;
  VersionEvidence evidence;
  std::uint64_t succeededOrFailed = 0;
};
}  // namespace

/// Versions are compared on the same routes; two hosts' routes are not the same, whatever their names.
TEST_GROUP(versionTallies){};

// Guards against a good version taken for slow, as it serves more of a slow route than of a fast one of the same name.
TEST(versionTallies, aGoodVersionIsNotSlowForARouteOfTheSameName) {
  ReportingView node;
  node.answer(node.route("a.example"), "v1", 180, 10);
  node.answer(node.route("a.example"), "v2", 20, 10);
  node.answer(node.route("b.example"), "v1", 20, 80);
  node.answer(node.route("b.example"), "v2", 180, 80);
  CHECK(node.judgement().verdict == VersionVerdict::undecided);
}
// Guards against a bad version that isn't found, as its failures on one route are lost among another's answers.
TEST(versionTallies, failuresOnOneRouteAreFoundBesideARouteOfTheSameName) {
  ReportingView node;
  node.answer(node.route("a.example"), "v1", 900, 10);
  node.answer(node.route("a.example"), "v2", 300, 10);
  node.answer(node.route("b.example"), "v1", 90, 10);
  node.answer(node.route("b.example"), "v2", 18, 10);
  node.fail(node.route("b.example"), "v2", 12);
  VersionJudgement const judgement = node.judgement();
  CHECK(judgement.verdict == VersionVerdict::bad);
  STRCMP_CONTAINS("on route b.example/x/ ", judgement.reason.c_str());
}
