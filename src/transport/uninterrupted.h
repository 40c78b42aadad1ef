#pragma once

#include <cerrno>
#include <zmq.hpp>

namespace ferryrock::transport {

/// Repeats an operation on a ZeroMQ socket that a signal has interrupted. An interrupted operation has had no
/// effect.
template <class Operation>
auto uninterrupted(const Operation& operation) {
  while (true) {
    try {
      return operation();
    } catch (const zmq::error_t& fault) {
      if (fault.num() != EINTR) {
        throw;
      }
    }
  }
}

}  // namespace ferryrock::transport
