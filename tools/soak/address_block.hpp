#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf::soak {

/// A block of loopback addresses that no other soak on this machine uses, as long as this object lives.
class AddressBlock {
 public:
  /// Begins to look at a place that follows from the process id and the seed. Throws std::runtime_error if no block is
  /// free.
  AddressBlock(asio::io_context& io, std::uint64_t seed);
  /// An address of the block, from 1 to 900.
  string ip(int number) const;

 private:
  bool reserve(std::uint64_t place);

  tcp::acceptor guard_;  ///< holds a port at an address of the block, so that others see that it is taken
  string prefix_;        ///< of its addresses, up to the third number
  int thirdOctet_ = 0;   ///< of the first address
};

}  // namespace tealshelf::soak
