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
  vector<SettingsError> errors;
  Settings const settings = readSettings(settingsText + "some.new.field=7\n", errors);
  CHECK(errors.empty());
  LONGS_EQUAL(5100, settings.bounds.catchUp.count());
  LONGS_EQUAL(7000, settings.controlAddress("x").port);
  LONGS_EQUAL(2, settings.seeds.size());
  CHECK(settings.firstBoot);
  LONGS_EQUAL(1, settings.unknownFields.size());
}
/// Fields of features that the deployment doesn't use may be empty, both known and unknown ones.
TEST(settings, emptyFieldsCountAsMissing) {
  vector<SettingsError> errors;
  Settings const settings = readSettings(
      settingsText + "some.new.field=\nlimits.networkMbps=\nbounds.cancelWithinMs=\nsurvive.zones=\nentry=\n", errors);
  CHECK(errors.empty());
  LONGS_EQUAL(3000, settings.bounds.cancelWithin.count());
  LONGS_EQUAL(0, settings.surviveZones);
}
TEST(settings, readsTheProviderApi) {
  vector<SettingsError> errors;
  Settings const none = readSettings(settingsText, errors);
  CHECK(!none.provider.exists());
  Settings const settings =
      readSettings(settingsText +
                       "providerApi.address=127.0.0.7:8306\nproviderApi.duties=usage,scaling\n"
                       "providerApi.dutiesPerS=50.0\nbounds.checksFences=false\nbounds.leaseMs=2000\n"
                       "bounds.reportWindowS=4\nbounds.usageDelayS=8.5\nbounds.usageError=0.02\n",
                   errors);
  CHECK(errors.empty());
  CHECK(settings.provider.exists() && settings.provider.hasDuty("usage") && settings.provider.hasDuty("scaling"));
  CHECK(!settings.provider.hasDuty("other") && !settings.provider.checksFences);
  DOUBLES_EQUAL(50, settings.provider.dutiesPerSecond, 0);
  LONGS_EQUAL(2000, settings.bounds.lease.count());
  LONGS_EQUAL(4000, settings.bounds.reportWindow.count());
  LONGS_EQUAL(8500, settings.bounds.usageDelay.count());
  DOUBLES_EQUAL(0.02, settings.bounds.usageError, 0);
  readSettings(settingsText + "providerApi.address=nowhere\nproviderApi.dutiesPerS=0\n", errors);
  LONGS_EQUAL(2, errors.size());
}
TEST(settings, aFieldThatIsNeededMustNotBeEmpty) {
  vector<SettingsError> errors;
  readSettings("nodeName=a\nipAddress=\ninternalPorts=\nseedNodes=\n", errors);
  LONGS_EQUAL(3, errors.size());
}
TEST(settings, listsAllFaultsInOnePass) {
  vector<SettingsError> errors;
  readSettings("nodeName=a\nipAddress=1\ninternalPorts=9,8\nlimits.memoryMb=-4\nfirstBoot=maybe\nbounds.graceS=x\n",
               errors);
  LONGS_EQUAL(6, errors.size());  // four bad values, no ports and no seeds
  LONGS_EQUAL(3, errors[0].line);
}

TEST(settings, infeasibleBoundsAreReported) {
  Settings settings;
  settings.bounds.applyWithin = Ms(2500);
  settings.bounds.inTouch = Ms(4000);
  settings.bounds.evacuateWithin = settings.bounds.revertWithin = Ms(5000);
  CHECK(settings.infeasibleBounds().empty());
  settings.bounds.evacuateWithin = Ms(2400);
  LONGS_EQUAL(1, settings.infeasibleBounds().size());
  settings.bounds.revertWithin = Ms(4400);
  LONGS_EQUAL(2, settings.infeasibleBounds().size());
  settings.bounds.merge = Ms(1900);
  LONGS_EQUAL(3, settings.infeasibleBounds().size());
}
