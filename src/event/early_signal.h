#pragma once

namespace ferryrock::event {

/// Keeps a signal that arrives before Dispatcher::onSignal() handles it, instead of letting it end the
/// process. onSignal() then calls back once for it. Call this first in main(); not for signals that stop the
/// process.
void keepEarlySignal(int signal);

/// True once if the signal arrived since keepEarlySignal(); used by dispatchers.
bool takeEarlySignal(int signal);

}  // namespace ferryrock::event
