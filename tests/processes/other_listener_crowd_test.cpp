// Crowds of peers that don't behave, at the other listeners of real processes for HTTP: readiness, metrics and the
// control node's calls.
#include "tests/processes/listener_rig.hpp"

using namespace tealshelf;

namespace {
string chunkedCall(string const& verb, string const& path) {
  return verb + " " + path + " HTTP/1.1\r\nHost: a\r\nIf-Match: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
}
Behaviour endlessTrailers(string const& verb, string const& path) {
  return {chunkedCall(verb, path) + "3\r\nabc\r\n0\r\n", "X-Trailer: aaaaaaaaaaaaaaaa\r\n", endlessBytes};
}
Behaviour endlessChunkExtensions(string const& verb, string const& path) {
  return {chunkedCall(verb, path) + "3", ";a=b", endlessBytes};
}
}  // namespace

TEST_GROUP(readinessCrowds){};

TEST(readinessCrowds, trailersWithoutEnd) {
  ListenerRig listener;
  listener.playAtReadiness(60, endlessTrailers("POST", "/readiness"));
}
TEST(readinessCrowds, chunkExtensionsWithoutEnd) {
  ListenerRig listener;
  listener.playAtReadiness(60, endlessChunkExtensions("POST", "/readiness"));
}
TEST(readinessCrowds, moreIdleConnectionsThanDescriptors) {
  ListenerRig listener(fewDescriptors());
  listener.playAtReadiness(700, idle);
}

TEST_GROUP(metricsCrowds){};

TEST(metricsCrowds, trailersWithoutEndAtAStore) {
  ListenerRig listener;
  listener.playAtMetrics(ProcessRig::Role::store, 60, endlessTrailers("POST", "/metrics"));
}
TEST(metricsCrowds, moreIdleConnectionsThanDescriptors) {
  ListenerRig listener(fewDescriptors());
  listener.playAtMetrics(ProcessRig::Role::edge, 700, idle);
}
TEST(metricsCrowds, moreIdleConnectionsThanDescriptorsAtAStore) {
  ListenerRig listener(fewDescriptors());
  listener.playAtMetrics(ProcessRig::Role::store, 700, idle);
}

TEST_GROUP(controlCrowds){};

TEST(controlCrowds, trailersWithoutEnd) {
  ListenerRig listener;
  listener.playAtControl(60, endlessTrailers("PUT", "/settings"));
}
TEST(controlCrowds, chunkExtensionsWithoutEnd) {
  ListenerRig listener;
  listener.playAtControl(60, endlessChunkExtensions("PUT", "/settings"));
}
TEST(controlCrowds, largeChunksShortOfTheirEnd) {
  ListenerRig listener;
  constexpr std::size_t chunk = 1u << 16;
  CrowdResult const result =
      listener.playAtControl(60, {chunkedCall("PUT", "/settings"), chunkOf(chunk), 32 * chunkOf(chunk).size()});
  LONGS_EQUAL_TEXT(0, result.closedWithoutAnswer, "a refusal arrives before the close");
}
TEST(controlCrowds, announcedLengthsShortOfTheirEnd) {
  ListenerRig listener;
  string const head = "PUT /settings HTTP/1.1\r\nHost: a\r\nIf-Match: 1\r\nContent-Length: 4000000\r\n\r\n";
  listener.playAtControl(60, {head, string(1024, 'b'), 3'999'999});
}
TEST(controlCrowds, wholeConfigurationsThatCannotBeRead) {
  ListenerRig listener;
  string const text = repeated("[", 4'000'000);
  listener.playAtControl(40, {requestText("PUT", "/settings", "Host: a\r\nIf-Match: 1\r\n", text), "", 0});
}
TEST(controlCrowds, answersThatStayUnread) {
  ListenerRig listener;
  string const request = requestText("GET", "/settings", "Host: a\r\n", "");
  listener.playAtControl(300, {request, request, endlessBytes, false});
}
TEST(controlCrowds, moreIdleConnectionsThanDescriptors) {
  ListenerRig listener(fewDescriptors());
  listener.playAtControl(700, idle);
}
