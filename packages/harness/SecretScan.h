// Looks for account keys in the files that daemons and targets leave behind.

#ifndef CAMPHORCLEAT_HARNESS_SECRETSCAN_H_
#define CAMPHORCLEAT_HARNESS_SECRETSCAN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace camphorcleat::harness {

/// Number of occurrences of any secret in the regular files below a folder. Files are read in
/// pieces, so their size doesn't matter. A folder that doesn't exist has none. Thread-safe.
std::uint64_t countSecrets(const std::string& aFolder, const std::vector<std::string>& aSecrets);

} // namespace camphorcleat::harness

#endif // CAMPHORCLEAT_HARNESS_SECRETSCAN_H_
