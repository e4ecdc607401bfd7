// Position in the history of the platform's store: the era, which rises when the store was restored from an older copy
// of itself, and the revision, which goes back then. One number orders both: era first, then revision.
//
// The two are decimal digits of the number, so that log lines show them: 2000000000000530 is revision 530 of era 2.
// Positions of a store that states no era are its revisions.
#pragma once

#include <cstdint>

namespace wasabicroft {

inline constexpr uint64_t storeEraStep = 1'000'000'000'000'000;
inline constexpr uint64_t maxStoreRevision = storeEraStep - 1;
inline constexpr uint64_t maxStoreEra = UINT64_MAX / storeEraStep - 1; // UINT64_MAX exceeds every position

constexpr uint64_t storePosition(uint64_t era, uint64_t revision) { return era * storeEraStep + revision; }
constexpr uint64_t eraOf(uint64_t position) { return position / storeEraStep; }
constexpr uint64_t revisionOf(uint64_t position) { return position % storeEraStep; }

} // namespace wasabicroft
