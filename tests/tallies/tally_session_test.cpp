#include "tallies/tally_session.hpp"
#include "control/messages.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace tealshelf;

namespace {
constexpr Ms lossTimeout{7000};
OriginId const first(11), second(12);

TallySurvey surveyOf(TallySession const& session, VersionVector const& known) {
  TallySurvey survey;
  survey.required = session.required();
  survey.add(known);
  survey.hasAnswer = true;
  return survey;
}
}  // namespace

TEST_GROUP(tallySession) {
  TallySession session{lossTimeout};
  TimePoint const start{Ms(1000000)};
};

TEST(tallySession, requiresTheLargestAcknowledgedSequenceNumbers) {
  session.noteAcknowledged({{first, 3}});
  session.noteAcknowledged({{first, 2}, {second, 5}});
  CHECK((session.required() == VersionVector{{first, 3}, {second, 5}}));
  CHECK(includes({{first, 4}, {second, 5}}, session.required()));
  CHECK(!includes({{first, 9}, {second, 4}}, session.required()));
  CHECK(!includes({}, session.required()));
}
/// Guards against requirements that grow by origins without any addition.
TEST(tallySession, anOriginWithoutAdditionsIsNotRequired) {
  session.noteAcknowledged({{first, 0}});
  CHECK(session.required().empty());
}
/// Guards against reads that are refused for good since the only disk with an addition is lost.
TEST(tallySession, anAdditionThatAllMembersLackForLongIsLost) {
  session.noteAcknowledged({{first, 3}, {second, 5}});
  LONGS_EQUAL(0, session.noteUnmet(surveyOf(session, {{first, 1}, {second, 5}}), start));
  LONGS_EQUAL(0, session.noteUnmet(surveyOf(session, {{first, 1}, {second, 5}}), start + lossTimeout - Ms(1)));
  LONGS_EQUAL(1, session.noteUnmet(surveyOf(session, {{first, 1}, {second, 5}}), start + lossTimeout));
  CHECK((session.required() == VersionVector{{first, 1}, {second, 5}}));
}
TEST(tallySession, anOriginThatNobodyKnowsIsForgottenOnceLost) {
  session.noteAcknowledged({{first, 3}});
  session.noteUnmet(surveyOf(session, {}), start);
  LONGS_EQUAL(1, session.noteUnmet(surveyOf(session, {}), start + lossTimeout));
  CHECK(session.required().empty());
}
/// Guards against giving up additions that a member which doesn't answer may have.
TEST(tallySession, aMemberThatDoesNotAnswerMayHaveTheAddition) {
  session.noteAcknowledged({{first, 3}});
  session.noteUnmet(surveyOf(session, {}), start);
  TallySurvey incomplete = surveyOf(session, {});
  incomplete.isComplete = false;
  LONGS_EQUAL(0, session.noteUnmet(incomplete, start + lossTimeout));
  LONGS_EQUAL(0, session.noteUnmet(surveyOf(session, {}), start + lossTimeout));
  CHECK((session.required() == VersionVector{{first, 3}}));
}
TEST(tallySession, anOriginThatMakesProgressIsNotLost) {
  session.noteAcknowledged({{first, 3}});
  session.noteUnmet(surveyOf(session, {{first, 1}}), start);
  LONGS_EQUAL(0, session.noteUnmet(surveyOf(session, {{first, 2}}), start + lossTimeout));
  LONGS_EQUAL(0, session.noteUnmet(surveyOf(session, {{first, 2}}), start + 2 * lossTimeout - Ms(1)));
}
TEST(tallySession, aReadThatWasMetEndsTheWait) {
  session.noteAcknowledged({{first, 3}});
  session.noteUnmet(surveyOf(session, {}), start);
  session.noteMet();
  LONGS_EQUAL(0, session.noteUnmet(surveyOf(session, {}), start + lossTimeout));
}
/// Guards against taking an addition for lost that was acknowledged while the members were asked.
TEST(tallySession, whatIsAcknowledgedMeanwhileIsNotMissing) {
  session.noteAcknowledged({{first, 3}});
  session.noteUnmet(surveyOf(session, {}), start);
  TallySurvey const earlier = surveyOf(session, {});
  session.noteAcknowledged({{first, 4}});
  LONGS_EQUAL(0, session.noteUnmet(earlier, start + lossTimeout));
  CHECK((session.required() == VersionVector{{first, 4}}));
}
/// The page's size, 12 control nodes, after a thousand lost disks. A sequence number stands for years of additions.
TEST(tallySession, aReadOfANodeThatOutlivedAThousandDisksIsSmall) {
  constexpr std::size_t origins = 1012, bytesPerOrigin = 18, otherBytes = 64;
  constexpr std::uint64_t sequence = 10'000'000'000;
  VersionVector acknowledged;
  for (std::size_t disk = 1; disk <= origins; ++disk)
    acknowledged[OriginId(~std::uint64_t(0) / origins * disk)] = sequence + disk;
  session.noteAcknowledged(acknowledged);
  LONGS_EQUAL(origins, session.required().size());
  ForwardedCall call{"GET", "/tallies/t", "", "", 1, 800, session.required()};
  std::size_t const largest = serialize(call).size();
  call.requiredAdditions.erase(std::next(call.requiredAdditions.begin(), 12), call.requiredAdditions.end());
  std::printf("a forwarded read: %zu bytes with 12 origins, %zu with %zu\n", serialize(call).size(), largest, origins);
  CHECK(largest <= origins * bytesPerOrigin + otherBytes);
}
