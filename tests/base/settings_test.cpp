#include "base/tealshelf.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
string const settingsText =
    "nodeName=a-1\nrole=control\nipAddress=127.0.0.9\nzone=z\ninternalPorts=7000,7005\nseedNodes=127.0.0.9:8000,127.0."
    "0.10:8000\n"
    "firstBoot=true\nbounds.catchUpS=5.1\nlimits.memoryMb=260\nsurvive.machines=1\n";
}  // namespace

TEST_GROUP(settings){};

TEST(settings, readsTheExample) {
  vector<SettingsFault> f;
  Settings const b = readSettings(settingsText + "some.new.field=7\n", f);
  CHECK(f.empty());
  LONGS_EQUAL(5100, b.bounds.catchUp.count());
  LONGS_EQUAL(7000, b.controlAddress("x").port);
  LONGS_EQUAL(2, b.seeds.size());
  CHECK(b.firstBoot);
  LONGS_EQUAL(1, b.unknownFields.size());
}
/// Fields of matters that aren't open may be empty, known ones and unknown ones.
TEST(settings, emptyFieldsCountAsMissing) {
  vector<SettingsFault> f;
  Settings const b = readSettings(
      settingsText + "some.new.field=\nlimits.networkMbps=\nbounds.cancelWithinMs=\nsurvive.zones=\nentry=\n", f);
  CHECK(f.empty());
  LONGS_EQUAL(3000, b.bounds.cancelWithin.count());
  LONGS_EQUAL(0, b.surviveZones);
}
TEST(settings, aFieldThatIsNeededMustNotBeEmpty) {
  vector<SettingsFault> f;
  readSettings("nodeName=a\nipAddress=\ninternalPorts=\nseedNodes=\n", f);
  LONGS_EQUAL(3, f.size());
}
TEST(settings, listsAllFaultsInOnePass) {
  vector<SettingsFault> f;
  readSettings("nodeName=a\nipAddress=1\ninternalPorts=9,8\nlimits.memoryMb=-4\nfirstBoot=maybe\nbounds.graceS=x\n", f);
  LONGS_EQUAL(6, f.size());  // four bad values, no ports and no seeds
  LONGS_EQUAL(3, f[0].line);
}

TEST(settings, boundsThatAreShorterThanWhatTheyRestOnAreTold) {
  Settings settings;
  settings.bounds.applyWithin = Ms(2500);
  settings.bounds.inTouch = Ms(4000);
  settings.bounds.evacuateWithin = settings.bounds.revertWithin = Ms(5000);
  CHECK(settings.weakBounds().empty());
  settings.bounds.evacuateWithin = Ms(2400);
  LONGS_EQUAL(1, settings.weakBounds().size());
  settings.bounds.revertWithin = Ms(4400);
  LONGS_EQUAL(2, settings.weakBounds().size());
  settings.bounds.merge = Ms(1900);
  LONGS_EQUAL(3, settings.weakBounds().size());
}
