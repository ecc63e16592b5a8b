#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "settings/settings_reader.h"
#include "storage/message_store.h"
#include "support/dispatcher_settings.h"
#include "support/temporary_directory.h"

namespace stonewing::testing {

// A message store in its own temporary directory.
struct StoreFixture {
  TemporaryDirectory directory;
  NameTables names = readNameTables(kDispatcherSettings);
  MessageStore store;

  explicit StoreFixture(std::size_t maxBytes = 60000, JournalWriter writer = JournalWriter::callingThread)
      : store(names, directory.path.string(), maxBytes, writer) {}

  std::optional<MessageId> accept(const std::string& reference, std::size_t bodyBytes = 100) {
    return store.accept(
        store.decode("00", reference, "c=order,d=500,dest=7,k=5c", std::string(bodyBytes, 'b'), 1000));
  }
};

}  // namespace stonewing::testing
