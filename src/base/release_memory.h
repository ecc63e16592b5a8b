#pragma once

namespace stonewing {

// Empties a standard container and gives its memory back. Assigning an empty one keeps the memory: a string
// copies a short text into its buffer, and `container = {}` assigns an empty list of elements.
template <class Container>
void releaseMemory(Container& container) {
  Container().swap(container);
}

}  // namespace stonewing
