#include "apps/status_reader.hpp"
#include "lots/coordination/waiting_lots.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
WaitingLot waitingLot(string const& id, RecoveryNeed need, Ms waits) {
  return {id, "shop.example", need, RecoveryOutcome::copiesRefused, 3, waits, "record 2a, holders s1 (intact)"};
}
}  // namespace

TEST_GROUP(waitingLots){};

TEST(waitingLots, areSortedByUrgencyThenByWaitingTime) {
  string const report = waitingLotsReport(
      "control-1",
      {waitingLot("spare", RecoveryNeed::spare, Ms(9000)), waitingLot("short", RecoveryNeed::serve, Ms(1000)),
       waitingLot("long", RecoveryNeed::serve, Ms(2000))},
      2);
  STRCMP_EQUAL(
      "lot    owner      need   last try             tries  waits s  seen\n"
      "long   control-1  serve  copies were refused  3      2.0      record 2a, holders s1 (intact)\n"
      "short  control-1  serve  copies were refused  3      1.0      record 2a, holders s1 (intact)\n",
      waitingLotTable({report}).c_str());
}
TEST(waitingLots, aNodeWithoutWaitingLotsAddsNoRow) {
  STRCMP_EQUAL("lot  owner  need  last try  tries  waits s  seen\n",
               waitingLotTable({waitingLotsReport("control-1", {}, 2)}).c_str());
}
TEST(waitingLots, aMalformedReportIsAnError) {
  CHECK_THROWS(Error, waitingLotTable({"[]"}));
}
