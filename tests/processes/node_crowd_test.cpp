// Crowds of peers that don't behave, at the listeners of real processes for other nodes.
#include "tests/processes/listener_rig.hpp"

using namespace tealshelf;
using Role = ProcessRig::Role;

TEST_GROUP(nodeCrowds){};

TEST(nodeCrowds, announcedFramesAtARelay) {
  ListenerRig listener;
  listener.playAtInternal(Role::edge, 40, {ListenerRig::frameStart(), "", 0});
}
TEST(nodeCrowds, announcedFramesAtAControlNode) {
  ListenerRig listener;
  listener.playAtInternal(Role::control, 40, {ListenerRig::frameStart(), "", 0});
}
TEST(nodeCrowds, announcedFramesAtAStore) {
  ListenerRig listener;
  listener.playAtInternal(Role::store, 40, {ListenerRig::frameStart(), "", 0});
}
TEST(nodeCrowds, begunFramesBehindAHello) {
  ListenerRig listener;
  string const opening = listener.helloTo(Role::control) + ListenerRig::frameStart();
  listener.playAtInternal(Role::control, 40, {opening, string(1024, 'b'), endlessBytes});
}
TEST(nodeCrowds, moreConnectionsWithoutAHelloThanDescriptors) {
  ListenerRig listener(fewDescriptors());
  listener.playAtInternal(Role::control, 700, idle);
}
TEST(nodeCrowds, moreConnectionsWithoutAHelloThanDescriptorsAtAStore) {
  ListenerRig listener(fewDescriptors());
  listener.playAtInternal(Role::store, 700, idle);
}
TEST(nodeCrowds, moreConnectionsWithAHelloThanDescriptorsAtARelay) {
  ListenerRig listener(fewDescriptors());
  listener.playAtInternal(Role::edge, 700, {listener.helloTo(Role::edge), "", 0});
}
