#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf::soak {

/// A block of loopback addresses reserved for this soak process while the object lives.
class AddressBlock {
 public:
  /// Probes blocks from an index hashed from process id and seed. Throws std::runtime_error if it finds none free.
  AddressBlock(asio::io_context& io, std::uint64_t seed);
  /// An address of the block, from 1 to 900.
  string ip(int number) const;

 private:
  bool reserve(std::uint64_t index);

  tcp::acceptor guard_;  ///< listens on an address of the block, which marks the block as used for other processes
  string prefix_;        ///< first two octets of the block's addresses, with a dot
  int thirdOctet_ = 0;   ///< of the block's first address
};

}  // namespace tealshelf::soak
