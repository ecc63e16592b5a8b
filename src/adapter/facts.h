#pragma once

#include <string_view>

#include "core/terms.h"

namespace stonewing {

// Reads the settings text of an instance. Unknown keys are skipped; a missing needed one is named in the
// error.
DeploymentTerms readFacts(std::string_view text);

}  // namespace stonewing
