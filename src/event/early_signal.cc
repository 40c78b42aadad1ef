#include "event/early_signal.h"

#include <array>
#include <csignal>

namespace ferryrock::event {
namespace {

constexpr std::size_t kSignals = 65;
std::array<volatile std::sig_atomic_t, kSignals> arrived{};

bool isKnown(int signal) {
  return signal > 0 && static_cast<std::size_t>(signal) < kSignals;
}

extern "C" void recordEarlySignal(int signal) {
  arrived.at(static_cast<std::size_t>(signal)) = 1;
}

}  // namespace

void keepEarlySignal(int signal) {
  if (isKnown(signal)) {
    std::signal(signal, &recordEarlySignal);
  }
}

bool takeEarlySignal(int signal) {
  if (!isKnown(signal) || arrived.at(static_cast<std::size_t>(signal)) == 0) {
    return false;
  }
  arrived.at(static_cast<std::size_t>(signal)) = 0;
  return true;
}

}  // namespace ferryrock::event
