#include "storage/message_identity.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/bytes.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace stonewing {
namespace {

MessageFingerprint hashOf(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.low64, hash.high64};
}

// Empty if the settings list no names at all, and the id is the default.
std::string_view nameAt(const std::vector<std::string>& names, std::size_t index) {
  return index < names.size() ? std::string_view(names[index]) : std::string_view();
}

}  // namespace

const char* nameOf(MessagePart part) {
  switch (part) {
    case MessagePart::type:
      return "type";
    case MessagePart::tenant:
      return "tenant";
    case MessagePart::destination:
      return "destination";
    case MessagePart::orderingKey:
      return "ordering_key";
    case MessagePart::idempotencyKey:
      return "idempotency_key";
    case MessagePart::body:
      return "body";
  }
  return "";
}

std::optional<MessagePart> firstDifference(const StoredMessage& one, const StoredMessage& other) {
  if (one.type != other.type) return MessagePart::type;
  if (one.tenant != other.tenant) return MessagePart::tenant;
  if (one.destination != other.destination) return MessagePart::destination;
  if (one.orderingKey != other.orderingKey) return MessagePart::orderingKey;
  if (one.idempotencyKey != other.idempotencyKey) return MessagePart::idempotencyKey;
  if (*one.body != *other.body) return MessagePart::body;
  return std::nullopt;
}

MessageFingerprint fingerprintOf(const StoredMessage& message, const NameTables& names) {
  const MessageFingerprint body = hashOf(*message.body);
  std::string parts;
  putText(parts, nameAt(names.trafficTypes, message.type.value));
  putText(parts, nameAt(names.tenants, message.tenant.value));
  putBytes(parts, message.destination.value);
  putBytes(parts, message.orderingKey.value);
  putText(parts, message.idempotencyKey);
  putBytes(parts, body.low);
  putBytes(parts, body.high);
  return hashOf(parts);
}

}  // namespace stonewing
