#pragma once

#include <stdexcept>

// The errors that end an operation. Each text says what was wrong and, where it can, what would be right.
// They are caught where the operator, a client or the log can learn of them.
namespace stonewing {

// The base of all errors of this program.
struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Bytes or text from outside that cannot be read.
struct ParseError : Error {
  using Error::Error;
};

// A start configuration, or an option, that cannot be used.
struct ConfigError : Error {
  using Error::Error;
};

// Settings of a deployment, or an operator's, that cannot be used.
struct SettingsError : Error {
  using Error::Error;
};

// A record of the journal that cannot be used.
struct JournalError : Error {
  using Error::Error;
};

// A peer that breaks the protocol: a client's command, or the simulator's wire.
struct ProtocolError : Error {
  using Error::Error;
};

}  // namespace stonewing
