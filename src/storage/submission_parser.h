#pragma once

#include <string_view>

#include "base/ids.h"
#include "settings/settings_reader.h"
#include "storage/stored_message.h"

namespace stonewing {

// The arguments of a client's SUBMIT, as received. The views must be valid during the call only.
struct Submission {
  std::string_view orderingKey;  // hexadecimal, 64 bits
  std::string_view reference;    // the client's id of the message
  std::string_view fieldList;    // name=value,name=value,...
  std::string_view body;         // any bytes
};

// Makes the message of a submission. `receivedWall` is the wall time in milliseconds at which the submission
// was received; the latency objective in the field list counts from it. Names are looked up in `names`;
// unknown fields are skipped. Throws ProtocolError with a text that names the invalid field.
StoredMessage parseSubmission(const NameTables& names, const Submission& submission, Millis receivedWall);

}  // namespace stonewing
