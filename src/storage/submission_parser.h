#pragma once

#include <string_view>

#include "base/ids.h"
#include "settings/settings_reader.h"
#include "storage/stored_message.h"

namespace stonewing {

// The words of a client's SUBMIT, as they came. The views have to be valid for the call only.
struct Submission {
  std::string_view orderingKey;  // hexadecimal, 64 bits
  std::string_view reference;    // the client's id of the message
  std::string_view fieldList;    // name=value,name=value,...
  std::string_view body;         // any bytes
};

// Makes the message of a submission received at `receivedWall` (wall time in milliseconds), from which the
// latency objective in the field list counts. Names are looked up in `names`; unknown fields are skipped.
// Throws ProtocolError that says what is wrong.
StoredMessage parseSubmission(const NameTables& names, const Submission& submission, Millis receivedWall);

}  // namespace stonewing
