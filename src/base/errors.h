#pragma once

#include <stdexcept>

// The exceptions that abort an operation. Each text says what was wrong and, where possible, what is allowed.
// They are caught where they can be reported to the operator or a client, or be logged.
namespace stonewing {

// The base of all errors of this program.
struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Malformed input: bytes or text from outside the process that cannot be parsed.
struct ParseError : Error {
  using Error::Error;
};

// An invalid start configuration or command-line option.
struct ConfigError : Error {
  using Error::Error;
};

// Invalid settings of a deployment or of an operator.
struct SettingsError : Error {
  using Error::Error;
};

// An invalid record of the journal.
struct JournalError : Error {
  using Error::Error;
};

// A violation of a protocol: an invalid command of a client, or invalid data on the simulator's wire.
struct ProtocolError : Error {
  using Error::Error;
};

}  // namespace stonewing
