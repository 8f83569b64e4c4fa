// Crowds of clients that don't behave, at the listener for clients of a real edge node.
#include "tests/processes/crowd_checks.hpp"

using namespace tealshelf;

namespace {
string const chunkedHeaders = "Host: shop.example\r\nAttempt-Id: crowd\r\nTransfer-Encoding: chunked\r\n\r\n";
string const chunkedHead = "POST /web/x HTTP/1.1\r\n" + chunkedHeaders;

string headWithLength(string const& path, std::size_t length) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: crowd\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

/// A real edge node, and crowds of its clients.
struct EdgeCrowdRig {
  explicit EdgeCrowdRig(RigLimits const& limits = {}) : rig(limits) {}
  CrowdResult play(std::size_t size, Behaviour const& behaviour, Ms duration = Ms(3000)) {
    CrowdPlay const crowd{ProcessRig::Role::edge, rig.outside(), size, behaviour, duration};
    return playCrowd(rig, crowd, [this] { return rig.servesOrdinaryRequest(); });
  }
  /// Bytes of chunks of one size that stay below the limit of a body.
  std::size_t chunkedBytes(std::size_t chunkSize) const {
    return (rig.limits().maxBodyBytes / chunkSize - 1) * chunkOf(chunkSize).size();
  }
  ProcessRig rig;
};
}  // namespace

TEST_GROUP(edgeCrowds){};

TEST(edgeCrowds, trailersWithoutEnd) {
  EdgeCrowdRig edge;
  Behaviour const behaviour{chunkedHead + "3\r\nabc\r\n0\r\n", "X-Trailer: aaaaaaaaaaaaaaaa\r\n", endlessBytes};
  CrowdResult const result = edge.play(60, behaviour);
  LONGS_EQUAL_TEXT(0, result.closedWithoutAnswer, "a refusal arrives before the close");
  LONGS_EQUAL(60, result.answers.contains(431) ? result.answers.at(431) : 0);
}
TEST(edgeCrowds, aTrailerFieldWithoutEnd) {
  EdgeCrowdRig edge;
  edge.play(60, {chunkedHead + "3\r\nabc\r\n0\r\nX-Trailer: ", "aaaaaaaaaaaaaaaa", endlessBytes});
}
TEST(edgeCrowds, chunkExtensionsWithoutEnd) {
  EdgeCrowdRig edge;
  CrowdResult const result = edge.play(60, {chunkedHead + "3", ";a=b", endlessBytes});
  LONGS_EQUAL_TEXT(0, result.closedWithoutAnswer, "a refusal arrives before the close");
}
TEST(edgeCrowds, aChunkSizeWithoutEnd) {
  EdgeCrowdRig edge;
  edge.play(60, {chunkedHead, "0000", endlessBytes});
}
TEST(edgeCrowds, aHeadWithoutEnd) {
  EdgeCrowdRig edge;
  edge.play(60, {"POST /web/x HTTP/1.1\r\nHost: shop.example\r\n", "X-Header: aaaaaaaaaaaa\r\n", endlessBytes});
}
TEST(edgeCrowds, aRequestLineWithoutEnd) {
  EdgeCrowdRig edge;
  edge.play(60, {"POST /web/", "aaaaaaaaaaaa", endlessBytes});
}
TEST(edgeCrowds, emptyLinesWithoutEnd) {
  EdgeCrowdRig edge;
  edge.play(60, {"", "\r\n", endlessBytes});
}
TEST(edgeCrowds, largeChunksShortOfTheirEnd) {
  EdgeCrowdRig edge;
  constexpr std::size_t chunk = 1u << 16;
  CrowdResult const result = edge.play(100, {chunkedHead, chunkOf(chunk), edge.chunkedBytes(chunk)});
  LONGS_EQUAL_TEXT(0, result.closedWithoutAnswer, "a refusal arrives before the close");
}
TEST(edgeCrowds, smallChunksShortOfTheirEnd) {
  EdgeCrowdRig edge;
  constexpr std::size_t chunk = 3;
  edge.play(60, {chunkedHead, chunkOf(chunk), edge.chunkedBytes(chunk)}, Ms(5000));
}
TEST(edgeCrowds, announcedLengthsShortOfTheirEnd) {
  EdgeCrowdRig edge;
  std::size_t const length = edge.rig.limits().maxBodyBytes;
  CrowdResult const result = edge.play(100, {headWithLength("/web/x", length), string(1024, 'b'), length - 1});
  LONGS_EQUAL_TEXT(0, result.closedWithoutAnswer, "a refusal arrives before the close");
}
TEST(edgeCrowds, clientsThatComeBackAfterARefusal) {
  EdgeCrowdRig edge;
  std::size_t const length = edge.rig.limits().maxBodyBytes;
  edge.play(100, {headWithLength("/web/x", length), string(1024, 'b'), length - 1, true, true});
}
TEST(edgeCrowds, lotsShortOfTheirEnd) {
  EdgeCrowdRig edge;
  std::size_t const length = edge.rig.limits().maxBodyBytes;
  edge.play(100, {headWithLength("/jobs/x", length), string(1024, 'b'), length - 1});
}
TEST(edgeCrowds, wholeLotsThatCannotBeRead) {
  EdgeCrowdRig edge;
  string const items = repeated("[],", edge.rig.limits().maxBodyBytes - 100);
  string const lot = "{\"requests\":[" + items + "[]]}";
  edge.play(60, {headWithLength("/jobs/x", lot.size()) + lot, "", 0});
}
TEST(edgeCrowds, wholeRequestsAtASilentWorker) {
  EdgeCrowdRig edge;
  std::size_t const length = edge.rig.limits().maxBodyBytes;
  edge.play(60, {headWithLength("/web/silent", length), string(1024, 'b'), length});
}
TEST(edgeCrowds, manySmallHeadersBeforeABodyShortOfItsEnd) {
  EdgeCrowdRig edge;
  string const head = "POST /web/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2\r\n";
  string const fields = repeated("a:\r\n", edge.rig.limits().maxHeaderBytes - head.size() - 2);
  edge.play(300, {head + fields + "\r\nb", "", 0});
}
TEST(edgeCrowds, answersThatStayUnread) {
  EdgeCrowdRig edge;
  string const request = requestText("POST", "/web/large", "Host: shop.example\r\nAttempt-Id: crowd\r\n", "");
  edge.play(150, {request, "", 0, false});
}
TEST(edgeCrowds, bytesBehindARequestThatIsUnderWay) {
  EdgeCrowdRig edge;
  string const request = requestText("POST", "/web/silent", "Host: shop.example\r\nAttempt-Id: crowd\r\n", "");
  edge.play(800, {request, request, endlessBytes});
}
TEST(edgeCrowds, moreIdleConnectionsThanDescriptors) {
  EdgeCrowdRig edge(fewDescriptors());
  edge.play(700, {"", "", 0});
}
TEST(edgeCrowds, moreBegunHeadsThanDescriptors) {
  EdgeCrowdRig edge(fewDescriptors());
  edge.play(700, {"POST /web/x HTTP/1.1\r\nHost: shop.example\r\nX-Header: ", "a", 15900});
}
TEST(edgeCrowds, moreRequestsUnderWayThanDescriptors) {
  EdgeCrowdRig edge(fewDescriptors());
  string const request = requestText("POST", "/web/silent", "Host: shop.example\r\nAttempt-Id: crowd\r\n", "");
  edge.play(700, {request, "", 0});
}
TEST(edgeCrowds, requestsOfClientsThatComeBackAtOnce) {
  EdgeCrowdRig edge(fewDescriptors());
  string const request = requestText("POST", "/web/silent", "Host: shop.example\r\nAttempt-Id: crowd\r\n", "");
  edge.play(700, {request, request, endlessBytes, true, true});
}
TEST(edgeCrowds, readsOfLotsThatAreHeld) {
  RigLimits limits = fewDescriptors();
  limits.idleLimitMs = 4000;
  EdgeCrowdRig edge(limits);
  string const lot = R"({"requests":[{"serverId":"item1","urlPath":"/web/silent","payload":"","tokens":10}]})";
  string const headers = "Host: shop.example\r\nAttempt-Id: lot1\r\n";
  CHECK(ProcessRig::answersWith(202, edge.rig.outside(), requestText("POST", "/jobs/x", headers, lot)));
  string const held = headers + "Hold-Read-Ms: 100000000\r\n";
  string const read = requestText("GET", "/lots/lot1?startAfter=0", held, "");
  edge.play(700, {read, read, endlessBytes}, Ms(6000));
}
TEST(edgeCrowds, bodiesOverTheLimitAreRefusedBeforeTheClose) {
  EdgeCrowdRig edge;
  std::size_t const length = edge.rig.limits().maxBodyBytes;
  CrowdResult const chunked = edge.play(40, {chunkedHead, chunkOf(4096), 2 * length});
  LONGS_EQUAL_TEXT(0, chunked.closedWithoutAnswer, "a refusal arrives before the close");
  CrowdResult const announced = edge.play(40, {headWithLength("/web/x", 100'000'000'000), string(1024, 'b'), length});
  LONGS_EQUAL(40, announced.answers.contains(413) ? announced.answers.at(413) : 0);
}
TEST(edgeCrowds, aSingleRequestInsideTheLimitsIsServed) {
  EdgeCrowdRig edge;
  RigLimits const& limits = edge.rig.limits();
  string const headers =
      "Host: shop.example\r\nAttempt-Id: one\r\nX-Large: " + string(limits.maxHeaderBytes - 512, 'a');
  string const request = requestText("POST", "/web/x", headers + "\r\n", string(limits.maxBodyBytes, 'b'));
  LONGS_EQUAL(200, callBlocking(edge.rig.outside(), request, Ms(8000)).status);
  string const chunks = repeated(chunkOf(7), limits.maxBodyBytes) + "0\r\nX-Trailer: a\r\n\r\n";
  LONGS_EQUAL(200, callBlocking(edge.rig.outside(), chunkedHead + chunks, Ms(8000)).status);
}
TEST(edgeCrowds, aSingleLotInsideTheLimitsIsAccepted) {
  RigLimits limits;
  limits.maxBodyBytes = 4 * megabyte;
  EdgeCrowdRig edge(limits);
  string const start = R"({"requests":[{"serverId":"item1","urlPath":"/web/x","tokens":10,"payload":")";
  string const payload((limits.maxBodyBytes - start.size() - 4) / 4 * 4, 'A');
  string const lot = start + payload + "\"}]}";
  string const request = requestText("POST", "/jobs/x", "Host: shop.example\r\nAttempt-Id: lot1\r\n", lot);
  LONGS_EQUAL(202, callBlocking(edge.rig.outside(), request, Ms(8000)).status);
  checkUse(edge.rig, ProcessRig::Role::edge, PeakUse{edge.rig.useOf(ProcessRig::Role::edge).peakBytes, 0});
  checkUse(edge.rig, ProcessRig::Role::store, PeakUse{edge.rig.useOf(ProcessRig::Role::store).peakBytes, 0});
}
