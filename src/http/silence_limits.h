#pragma once

namespace ferryrock::http {

/// Sets the limits after which the kernel ends a connection whose peer shows no sign of life, as an error of
/// the socket: a connection may go silent for good without a reset, while new ones work. False if one of them
/// can't be set.
bool setSilenceLimits(int socket);

}  // namespace ferryrock::http
